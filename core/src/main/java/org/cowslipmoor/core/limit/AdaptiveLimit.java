package org.cowslipmoor.core.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits one host's requests in progress at one target to what the target can take. The limit grows
 * by about one for each round of answers while it is used to the full, and shrinks when the target
 * sheds load or misses deadlines. Not thread-safe; the present time, in nanoseconds, is an
 * argument.
 *
 * <pre>{@code
 * AdaptiveLimit limit = AdaptiveLimit.of(2, 16);
 * if (limit.tryAcquire()) {
 *   limit.onResponse();
 * }
 * }</pre>
 */
public final class AdaptiveLimit {
  private static final double SHRINK = 0.7;
  private static final long SHRINK_INTERVAL = 100_000_000L;

  private final double largest;
  private double limit;
  private int inProgress;
  private boolean hasShrunk;
  private long shrunkAt;

  private AdaptiveLimit(double initial, double largest) {
    this.limit = initial;
    this.largest = largest;
  }

  /**
   * Creates a limit.
   *
   * @param initial requests in progress allowed at first, from 1 to {@code largest}
   * @param largest most requests in progress ever allowed
   * @throws IllegalArgumentException if a number is out of range
   */
  public static AdaptiveLimit of(double initial, double largest) {
    checkArgument(
        initial >= 1 && initial <= largest, "initial must be 1 to %s, but is %s", largest, initial);
    return new AdaptiveLimit(initial, largest);
  }

  /** Takes a place; returns whether there was one. */
  public boolean tryAcquire() {
    if (!hasCapacity()) {
      return false;
    }
    inProgress++;
    return true;
  }

  /** Gives a place back after an answer. */
  public void onResponse() {
    if (!hasCapacity()) {
      limit = Math.min(largest, limit + 1 / limit);
    }
    inProgress--;
  }

  /** Gives a place back after the target shed the request or missed its deadline. */
  public void onOverload(long now) {
    inProgress--;
    if (!hasShrunk || now - shrunkAt >= SHRINK_INTERVAL) {
      hasShrunk = true;
      shrunkAt = now;
      limit = Math.max(1, limit * SHRINK);
    }
  }

  /** Gives a place back when nothing was learned of the target's capacity. */
  public void onRelease() {
    inProgress--;
  }

  /** Tells whether a request may be sent now. */
  public boolean hasCapacity() {
    return inProgress < (int) limit;
  }

  /** Returns the requests in progress. */
  public int inProgress() {
    return inProgress;
  }

  /** Returns the present limit, at least 1. */
  public double limit() {
    return limit;
  }
}
