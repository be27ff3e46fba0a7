package org.cowslipmoor.core.range;

/** Something that the coordinator's decisions ask for; the outcome is reported back. */
public sealed interface RangeAction {

  /**
   * Grants the entry's keys to its owner, or renews the grant.
   *
   * @param entry what is granted
   * @param holdNanos nanoseconds for which the grant holds from its arrival
   */
  record Grant(RangeEntry entry, long holdNanos) implements RangeAction {}

  /** Takes the entry's keys back from its owner. */
  record Release(RangeEntry entry) implements RangeAction {}

  /** Writes the table, provided that the store still has the one that it follows. */
  record Write(RangeTable table) implements RangeAction {}
}
