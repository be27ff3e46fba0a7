package org.cowslipmoor.core.control;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Durations used in control decisions, in nanoseconds of a monotonic clock.
 *
 * @param storeLeaseNanos TTL of the lease in the store that makes a host the coordinator
 * @param grantNanos validity of grants, from the issue of the target's token
 * @param attestationNanos validity of an attestation, from its request
 * @param clockDriftMarginNanos allowance for differences between the clock rates of hosts
 * @param pollIntervalNanos interval between a poller's polls of a member
 * @param renewalIntervalNanos interval between renewals of a target's grants
 * @param silenceTimeoutNanos time without a poll after which a member may become the poller itself,
 *     and time without a response after which a member is not live
 * @param targetFailureTimeoutNanos time without a response after which a target is regarded as lost
 * @param releaseTimeoutNanos time after which a requested release is overdue
 */
public record Timing(
    long storeLeaseNanos,
    long grantNanos,
    long attestationNanos,
    long clockDriftMarginNanos,
    long pollIntervalNanos,
    long renewalIntervalNanos,
    long silenceTimeoutNanos,
    long targetFailureTimeoutNanos,
    long releaseTimeoutNanos) {

  /**
   * Checks that at least two polls or renewals fit into the duration that they extend.
   *
   * @throws IllegalArgumentException if an interval is too long for its duration, the poll interval
   *     is not positive or the margin is negative
   */
  public Timing {
    checkArgument(
        pollIntervalNanos > 0, "poll interval must be positive, but is %s ns", pollIntervalNanos);
    checkArgument(
        2 * pollIntervalNanos <= attestationNanos,
        "attestations of %s ns are too short for a poll every %s ns",
        attestationNanos,
        pollIntervalNanos);
    checkArgument(
        2 * renewalIntervalNanos <= grantNanos,
        "grants of %s ns are too short for a renewal every %s ns",
        grantNanos,
        renewalIntervalNanos);
    checkArgument(
        clockDriftMarginNanos >= 0,
        "clock drift margin must not be negative, but is %s ns",
        clockDriftMarginNanos);
  }

  /** Returns the durations with which a lost owner's keys are served again within 4 seconds. */
  public static Timing standard() {
    return new Timing(
        millisToNanos(1000),
        millisToNanos(1200),
        millisToNanos(500),
        millisToNanos(200),
        millisToNanos(150),
        millisToNanos(300),
        millisToNanos(450),
        millisToNanos(600),
        millisToNanos(15_000));
  }

  /**
   * Returns the time in nanoseconds after which no grant or request of the former owner is in
   * effect, from the time at which a majority has acknowledged the revocation.
   *
   * @param maxUseNanos maximum duration of one use of an authority, in nanoseconds
   */
  public long revocationWaitNanos(long maxUseNanos) {
    return attestationNanos + maxUseNanos + clockDriftMarginNanos;
  }

  private static long millisToNanos(long value) {
    return Duration.ofMillis(value).toNanos();
  }
}
