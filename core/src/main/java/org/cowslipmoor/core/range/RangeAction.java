package org.cowslipmoor.core.range;

/** A side effect that the coordinator requests. The caller performs it and reports the outcome. */
public sealed interface RangeAction {

  /**
   * Grants the entry's keys to its owner, or renews the grant.
   *
   * @param entry the keys, the owner and the fence of the grant
   * @param holdNanos nanoseconds for which the grant is valid, from its arrival at the target
   */
  record Grant(RangeEntry entry, long holdNanos) implements RangeAction {}

  /** Asks the owner to release the entry's keys. */
  record Release(RangeEntry entry) implements RangeAction {}

  /** Writes the table to the store, on condition that the store still has its predecessor. */
  record Write(RangeTable table) implements RangeAction {}
}
