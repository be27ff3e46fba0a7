package org.cowslipmoor.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/**
 * Bounds what a coordinator puts on its network link, so that news never wait behind what could
 * have waited. Times are nanoseconds. Not thread-safe.
 */
public final class LinkBudget {
  /** Part of the link that states of the fleet may use. */
  private static final double STATES_PART = 0.25;

  /** Time within which what is queued shall have left the link. */
  private static final long LONGEST_QUEUE = 200_000_000L;

  private final double bytesPerNano;
  private long statesAt;

  private LinkBudget(double bytesPerNano, long now) {
    this.bytesPerNano = bytesPerNano;
    this.statesAt = now;
  }

  /**
   * Creates the budget of an unused link.
   *
   * @param bytesPerSecond what the link carries, above 0
   */
  public static LinkBudget create(double bytesPerSecond, long now) {
    checkArgument(bytesPerSecond > 0, "the link must carry more than %s bytes/s", bytesPerSecond);
    return new LinkBudget(bytesPerSecond / TimeUnit.SECONDS.toNanos(1), now);
  }

  /** Tells whether more may be queued behind bytes that are not sent yet. */
  public boolean hasRoom(long unsentBytes) {
    return unsentBytes < bytesPerNano * LONGEST_QUEUE;
  }

  /** Tells whether a state may be sent to all hosts now. */
  public boolean mayBroadcast(long unsentBytes, long now) {
    return now - statesAt >= 0 && hasRoom(unsentBytes);
  }

  /** Notes that a state was sent to all hosts, with this number of bytes together. */
  public void onBroadcast(long bytes, long now) {
    statesAt = now + (long) (bytes / (bytesPerNano * STATES_PART));
  }
}
