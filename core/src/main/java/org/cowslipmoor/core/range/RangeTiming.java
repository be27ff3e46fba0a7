package org.cowslipmoor.core.range;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The durations of grants, in nanoseconds.
 *
 * @param hold time for which a grant holds from its arrival at the target
 * @param longHold time for which a grant holds while the coordinator's lease can't be renewed
 * @param renewal time between renewals of a grant, well under {@code hold}
 * @param releaseRetry time between two releases of the same keys
 * @param settling time for which the set of targets must be unchanged before keys are first given
 * @param rebalance time between looks for a better balance
 * @param overlap time for which grants of a former coordinator, whose lease the store ended early,
 *     may go on arriving after its successor has begun
 * @param order longest time from the sending of an order to its arrival, or to its outcome
 */
public record RangeTiming(
    long hold,
    long longHold,
    long renewal,
    long releaseRetry,
    long settling,
    long rebalance,
    long overlap,
    long order) {
  private static final long MS = 1_000_000L;

  /** Longest rate error of a target's clock, with a reserve; the platform states 2 in 100. */
  private static final double CLOCK_ERROR = 0.03;

  /** Time for which a request that was sent by a process just before a stall is allowed for. */
  private static final long MARGIN = 100 * MS;

  /** Checks that renewals come before grants lapse. */
  public RangeTiming {
    checkArgument(2 * renewal <= hold, "renewal %s is too long for hold %s", renewal, hold);
    checkArgument(hold <= longHold, "hold %s is longer than longHold %s", hold, longHold);
  }

  /**
   * Returns the durations in use.
   *
   * @param longestHoldMillis longest hold in milliseconds that the targets allow
   * @param leaseMillis duration of the coordinator's lease in milliseconds
   * @param orderMillis longest time in milliseconds until an order has an outcome
   */
  public static RangeTiming standard(long longestHoldMillis, long leaseMillis, long orderMillis) {
    long longest = longestHoldMillis * MS;
    return new RangeTiming(
        Math.min(3_000 * MS, longest),
        longest,
        Math.min(800 * MS, longest / 4),
        400 * MS,
        700 * MS,
        500 * MS,
        (leaseMillis + orderMillis) * MS,
        orderMillis * MS);
  }

  /** Returns when a grant that arrived at {@code arrival} at the latest has surely lapsed. */
  long lapse(long arrival, long holdNanos) {
    return arrival + (long) (holdNanos * (1 + CLOCK_ERROR)) + MARGIN;
  }
}
