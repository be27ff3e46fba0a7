package org.cowslipmoor.core.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits the concurrency of one host's requests at one target by additive increase and
 * multiplicative decrease: the limit grows by about one for each round of responses while it is
 * exhausted, and shrinks when the target sheds load or misses deadlines. Not thread-safe; times are
 * nanoseconds.
 *
 * <pre>{@code
 * AdaptiveLimit limit = AdaptiveLimit.of(2, 16);
 * if (limit.tryAcquire()) {
 *   limit.onResponse();
 * }
 * }</pre>
 */
public final class AdaptiveLimit {
  private static final double DECREASE_FACTOR = 0.7;
  private static final long DECREASE_INTERVAL_NANOS = 100_000_000L;

  private final double max;
  private double limit;
  private int inProgress;
  private boolean hasDecreased;
  private long decreasedAt;

  private AdaptiveLimit(double initial, double max) {
    this.limit = initial;
    this.max = max;
  }

  /**
   * Creates a limit.
   *
   * @param initial initial limit on the requests in progress, from 1 to {@code max}
   * @param max maximum of the limit
   * @throws IllegalArgumentException if a number is out of range
   */
  public static AdaptiveLimit of(double initial, double max) {
    checkArgument(
        initial >= 1 && initial <= max, "initial must be 1 to %s, but is %s", max, initial);
    return new AdaptiveLimit(initial, max);
  }

  /** Acquires a permit for one request; returns whether one was available. */
  public boolean tryAcquire() {
    if (!hasCapacity()) {
      return false;
    }
    inProgress++;
    return true;
  }

  /** Releases a permit after a response; raises the limit if it was exhausted. */
  public void onResponse() {
    if (!hasCapacity()) {
      limit = Math.min(max, limit + 1 / limit);
    }
    inProgress--;
  }

  /**
   * Releases a permit after the target shed the request or missed its deadline; lowers the limit,
   * at most once in an interval.
   */
  public void onOverload(long now) {
    inProgress--;
    if (!hasDecreased || now - decreasedAt >= DECREASE_INTERVAL_NANOS) {
      hasDecreased = true;
      decreasedAt = now;
      limit = Math.max(1, limit * DECREASE_FACTOR);
    }
  }

  /** Releases a permit without adjusting the limit. */
  public void onRelease() {
    inProgress--;
  }

  /** Returns whether a permit is available. */
  public boolean hasCapacity() {
    return inProgress < (int) limit;
  }

  /** Returns the number of requests in progress. */
  public int inProgress() {
    return inProgress;
  }

  /** Returns the current limit, at least 1. */
  public double limit() {
    return limit;
  }
}
