package org.cowslipmoor.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Tracks the number of hosts that share a limit of the whole fleet, as the maximum over a recent
 * time window. While hosts join or are removed, counts lag and differ between hosts; with the
 * maximum, a count that is too small for a moment gives no host too large a share. Not thread-safe;
 * times are nanoseconds.
 */
public final class FleetSize {
  /** Length of a window; a count is used for one to two windows. */
  static final long WINDOW_NANOS = Membership.MEMBER_TIMEOUT_NANOS;

  private int currentMax = 1;
  private int previousMax = 1;
  private long windowStartedAt;

  private FleetSize(long now) {
    this.windowStartedAt = now;
  }

  /** Creates the size of a fleet without any count, which is one host. */
  public static FleetSize create(long now) {
    return new FleetSize(now);
  }

  /** Records a count of the hosts, at least 0. */
  public void onCount(int hosts, long now) {
    checkArgument(hosts >= 0, "hosts must be at least 0, but is %s", hosts);
    advance(now);
    currentMax = Math.max(currentMax, hosts);
  }

  /** Returns the largest recent count, at least 1. */
  public int hosts(long now) {
    advance(now);
    return Math.max(currentMax, previousMax);
  }

  private void advance(long now) {
    if (now - windowStartedAt < WINDOW_NANOS) {
      return;
    }
    previousMax = now - windowStartedAt < 2 * WINDOW_NANOS ? currentMax : 1;
    currentMax = 1;
    windowStartedAt = now;
  }
}
