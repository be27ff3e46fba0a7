package org.cowslipmoor.core.control;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Holds the durations that control decisions depend on, in nanoseconds of a monotonic clock.
 *
 * @param storeLeaseNanos time for which the store's lease makes a host the coordinator
 * @param grantNanos time from a target's token for which its grants hold
 * @param attestationNanos time from its request for which an attestation holds
 * @param clockDriftMarginNanos allowance for differing clock rates
 * @param pollIntervalNanos time between a hub's polls of a member
 * @param renewalIntervalNanos time between renewals of a target's grants
 * @param silenceTimeoutNanos time without a poll after which a member looks for another hub
 * @param targetFailureTimeoutNanos time without an answer after which a target counts as lost
 * @param releaseTimeoutNanos time after which a release that was asked for is no longer waited for
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
   * Checks that renewals and polls fit into the durations they prolong.
   *
   * @throws IllegalArgumentException if an interval is too long for its duration
   */
  public Timing {
    checkArgument(
        pollIntervalNanos > 0, "poll interval must be positive, but is %s", pollIntervalNanos);
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
        "margin must not be negative, but is %s",
        clockDriftMarginNanos);
  }

  /** Returns the durations with which a lost owner's keys are served again within 4 seconds. */
  public static Timing standard() {
    return new Timing(
        millis(1000),
        millis(1200),
        millis(500),
        millis(200),
        millis(150),
        millis(300),
        millis(450),
        millis(600),
        millis(15_000));
  }

  /**
   * Returns the time from a majority's acknowledgement of a revocation after which no grant or
   * request of the former owner is in force.
   *
   * @param lastUse longest time for which one use of an authority lasts, in nanoseconds
   */
  public long revocationWaitNanos(long lastUse) {
    return attestationNanos + lastUse + clockDriftMarginNanos;
  }

  private static long millis(long value) {
    return Duration.ofMillis(value).toNanos();
  }
}
