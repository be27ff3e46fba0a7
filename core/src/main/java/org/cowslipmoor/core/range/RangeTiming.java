package org.cowslipmoor.core.range;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The durations that govern grants, in nanoseconds.
 *
 * @param holdNanos time for which a grant is valid from its arrival at the target
 * @param longHoldNanos time for which a grant is valid if it is sent while the coordinator's lease
 *     can't be renewed
 * @param renewalIntervalNanos time between renewals of a grant, at most half of {@code holdNanos}
 * @param retryIntervalNanos time until a release, or a grant that was not accepted, is retried
 * @param settlingNanos time for which a service's set of targets must be unchanged before its keys
 *     are first assigned
 * @param rebalanceIntervalNanos time between two rebalancing rounds
 * @param overlapNanos time from the start of a term for which grants of a former coordinator, whose
 *     lease the store ended early, may still arrive
 * @param commandTimeoutNanos maximum time from the sending of a command to its arrival or its
 *     outcome
 */
public record RangeTiming(
    long holdNanos,
    long longHoldNanos,
    long renewalIntervalNanos,
    long retryIntervalNanos,
    long settlingNanos,
    long rebalanceIntervalNanos,
    long overlapNanos,
    long commandTimeoutNanos) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Maximum relative rate error of a target's clock; the platform states 0.02, the rest is a
   * reserve.
   */
  private static final double MAX_CLOCK_RATE_ERROR = 0.03;

  /** Allowance for a request that a process sent just before a stall. */
  private static final long STALL_MARGIN_NANOS = 100 * NANOS_PER_MILLI;

  /** Checks that grants are renewed before they expire. */
  public RangeTiming {
    checkArgument(
        2 * renewalIntervalNanos <= holdNanos,
        "renewalIntervalNanos %s must be at most half of holdNanos %s",
        renewalIntervalNanos,
        holdNanos);
    checkArgument(
        holdNanos <= longHoldNanos,
        "holdNanos %s must not be larger than longHoldNanos %s",
        holdNanos,
        longHoldNanos);
  }

  /**
   * Returns the durations for the given settings.
   *
   * @param maxHoldMillis maximum hold that the targets allow, in milliseconds
   * @param leaseMillis duration of the coordinator's lease in milliseconds
   * @param commandTimeoutMillis maximum time until a command has an outcome, in milliseconds
   */
  public static RangeTiming standard(
      long maxHoldMillis, long leaseMillis, long commandTimeoutMillis) {
    long maxHoldNanos = maxHoldMillis * NANOS_PER_MILLI;
    return new RangeTiming(
        Math.min(3_000 * NANOS_PER_MILLI, maxHoldNanos),
        maxHoldNanos,
        Math.min(800 * NANOS_PER_MILLI, maxHoldNanos / 4),
        400 * NANOS_PER_MILLI,
        700 * NANOS_PER_MILLI,
        500 * NANOS_PER_MILLI,
        (leaseMillis + commandTimeoutMillis) * NANOS_PER_MILLI,
        commandTimeoutMillis * NANOS_PER_MILLI);
  }

  /**
   * Returns the time from the beginning of a term until all grants of former coordinators have
   * certainly expired.
   */
  public long formerGrantsNanos() {
    return expiry(overlapNanos, longHoldNanos);
  }

  /**
   * Returns the time at which a grant that arrived no later than {@code arrival} has certainly
   * expired, whatever the error of the target's clock.
   */
  long expiry(long arrival, long holdNanos) {
    return arrival + (long) (holdNanos * (1 + MAX_CLOCK_RATE_ERROR)) + STALL_MARGIN_NANOS;
  }
}
