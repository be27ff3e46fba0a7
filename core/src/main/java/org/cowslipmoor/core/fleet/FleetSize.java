package org.cowslipmoor.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The number of hosts that share what is allowed to all of them. Counts lag behind, and differ
 * between hosts, while hosts join and are removed; so the largest count of some time is used, and a
 * count that is too small for a moment gives no host too large a part. Not thread-safe; times are
 * nanoseconds.
 */
public final class FleetSize {
  /** Time for which a count is remembered at least, and at most twice. */
  static final long MEMORY = Membership.LOST_AFTER;

  private int largest = 1;
  private int largestBefore = 1;
  private long periodBeganAt;

  private FleetSize(long now) {
    this.periodBeganAt = now;
  }

  /** Creates the size of a fleet of which nothing is known: one host. */
  public static FleetSize create(long now) {
    return new FleetSize(now);
  }

  /** Takes a count of the hosts, at least 0. */
  public void onCount(int hosts, long now) {
    checkArgument(hosts >= 0, "hosts must be at least 0, but are %s", hosts);
    advance(now);
    largest = Math.max(largest, hosts);
  }

  /** Returns the number of hosts, at least 1. */
  public int hosts(long now) {
    advance(now);
    return Math.max(largest, largestBefore);
  }

  private void advance(long now) {
    if (now - periodBeganAt < MEMORY) {
      return;
    }
    largestBefore = now - periodBeganAt < 2 * MEMORY ? largest : 1;
    largest = 1;
    periodBeganAt = now;
  }
}
