package org.cowslipmoor.core.ownership;

import java.util.Comparator;

/**
 * Fencing token that orders the grants of a shard: a higher fence supersedes every lower one.
 *
 * @param epoch epoch of the coordinator that assigned the shard
 * @param sequence version of the ownership table in which it was assigned
 */
public record Fence(long epoch, long sequence) implements Comparable<Fence> {
  private static final Comparator<Fence> ORDER =
      Comparator.comparingLong(Fence::sequence).thenComparingLong(Fence::epoch);

  @Override
  public int compareTo(Fence other) {
    return ORDER.compare(this, other);
  }
}
