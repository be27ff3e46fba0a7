package org.cowslipmoor.daemon.coordination;

import java.util.concurrent.TimeUnit;

/**
 * Notices that this process stood still for a time that its steady clock does not count, as when
 * the machine was suspended: the time of day then gains on the steady clock. Not thread-safe.
 */
public final class SuspensionDetector {
  /** Gain that is taken for a suspension; smaller ones may be corrections of the time of day. */
  private static final long LEAST_GAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private long steady;
  private long timeOfDay;

  /**
   * Creates a clock from a first reading.
   *
   * @param steadyNanos the steady clock, in nanoseconds
   * @param timeOfDayNanos the time of day, in nanoseconds
   */
  public SuspensionDetector(long steadyNanos, long timeOfDayNanos) {
    this.steady = steadyNanos;
    this.timeOfDay = timeOfDayNanos;
  }

  /** Takes a reading; returns whether the process was suspended since the last one. */
  public boolean wasSuspended(long steadyNanos, long timeOfDayNanos) {
    long gain = (timeOfDayNanos - timeOfDay) - (steadyNanos - steady);
    steady = steadyNanos;
    timeOfDay = timeOfDayNanos;
    return gain >= LEAST_GAIN_NANOS;
  }
}
