package org.cowslipmoor.core.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds how often an event is logged, and counts the events that are not. Not thread-safe; times
 * are nanoseconds.
 *
 * <pre>{@code
 * if (limit.tryAcquire(now)) {
 *   Logger.info("event=rejection suppressed={}", limit.drainSuppressed());
 * }
 * }</pre>
 */
public final class LogLimit {
  private final int maxLines;
  private final long periodNanos;
  private long periodStartedAt;
  private int lines;
  private long suppressed;

  private LogLimit(int maxLines, long periodNanos, long now) {
    this.maxLines = maxLines;
    this.periodNanos = periodNanos;
    this.periodStartedAt = now;
  }

  /**
   * Creates a limit.
   *
   * @param maxLines maximum number of lines in a period, at least 1
   * @param periodNanos length of a period, greater than 0
   * @throws IllegalArgumentException if an argument is out of range
   */
  public static LogLimit create(int maxLines, long periodNanos, long now) {
    checkArgument(maxLines >= 1, "maxLines must be at least 1, but is %s", maxLines);
    checkArgument(periodNanos > 0, "periodNanos must be greater than 0, but is %s", periodNanos);
    return new LogLimit(maxLines, periodNanos, now);
  }

  /** Records an event; returns whether it may be logged. */
  public boolean tryAcquire(long now) {
    if (now - periodStartedAt >= periodNanos) {
      periodStartedAt = now;
      lines = 0;
    }
    if (lines >= maxLines) {
      suppressed++;
      return false;
    }
    lines++;
    return true;
  }

  /** Returns the number of events since the last call that were not to be logged. */
  public long drainSuppressed() {
    long count = suppressed;
    suppressed = 0;
    return count;
  }
}
