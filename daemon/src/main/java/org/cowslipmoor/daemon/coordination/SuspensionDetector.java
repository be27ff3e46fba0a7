package org.cowslipmoor.daemon.coordination;

import java.util.concurrent.TimeUnit;

/**
 * Detects that this process was suspended for a time that its steady clock doesn't count, for
 * instance because the whole host was: the time of day then gains on the steady clock. Not
 * thread-safe.
 */
public final class SuspensionDetector {
  /** A smaller gain may be a correction of the time of day. */
  private static final long MIN_GAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private long lastSteadyNanos;
  private long lastTimeOfDayNanos;

  /**
   * Creates a detector with first readings of both clocks.
   *
   * @param steadyNanos the steady clock, in nanoseconds
   * @param timeOfDayNanos the time of day, in nanoseconds
   */
  public SuspensionDetector(long steadyNanos, long timeOfDayNanos) {
    this.lastSteadyNanos = steadyNanos;
    this.lastTimeOfDayNanos = timeOfDayNanos;
  }

  /** Returns whether the process was suspended between the previous readings and these. */
  public boolean wasSuspended(long steadyNanos, long timeOfDayNanos) {
    long gainNanos = (timeOfDayNanos - lastTimeOfDayNanos) - (steadyNanos - lastSteadyNanos);
    lastSteadyNanos = steadyNanos;
    lastTimeOfDayNanos = timeOfDayNanos;
    return gainNanos >= MIN_GAIN_NANOS;
  }
}
