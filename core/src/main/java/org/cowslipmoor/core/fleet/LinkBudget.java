package org.cowslipmoor.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/**
 * Limits the traffic that a coordinator puts on its network link, so that store updates don't queue
 * behind less urgent frames. Times are nanoseconds. Not thread-safe.
 */
public final class LinkBudget {
  /** Fraction of the link's capacity that fleet state may use. */
  private static final double STATE_FRACTION = 0.25;

  /** Longest time that the link may need to send what is queued. */
  private static final long MAX_QUEUE_NANOS = 200_000_000L;

  private final double bytesPerNano;
  private long nextBroadcastAt;

  private LinkBudget(double bytesPerNano, long now) {
    this.bytesPerNano = bytesPerNano;
    this.nextBroadcastAt = now;
  }

  /**
   * Creates the budget of an unused link.
   *
   * @param bytesPerSecond capacity of the link, above 0
   */
  public static LinkBudget create(double bytesPerSecond, long now) {
    checkArgument(bytesPerSecond > 0, "bytesPerSecond must be above 0, but is %s", bytesPerSecond);
    return new LinkBudget(bytesPerSecond / TimeUnit.SECONDS.toNanos(1), now);
  }

  /** Returns whether another frame may be queued behind the given number of unsent bytes. */
  public boolean hasCapacity(long unsentBytes) {
    return unsentBytes < bytesPerNano * MAX_QUEUE_NANOS;
  }

  /** Returns whether fleet state may be sent to all hosts now. */
  public boolean mayBroadcast(long unsentBytes, long now) {
    return now - nextBroadcastAt >= 0 && hasCapacity(unsentBytes);
  }

  /** Records that fleet state was sent to all hosts, with this number of bytes in total. */
  public void onBroadcast(long bytes, long now) {
    nextBroadcastAt = now + (long) (bytes / (bytesPerNano * STATE_FRACTION));
  }
}
