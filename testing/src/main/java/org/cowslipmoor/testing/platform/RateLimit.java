package org.cowslipmoor.testing.platform;

/** A token bucket that limits calls to a rate, with a burst of one second's calls. Thread-safe. */
final class RateLimit {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double tokensPerSecond;
  private double tokens;
  private long refilledAt;

  RateLimit(double tokensPerSecond, long now) {
    this.tokensPerSecond = tokensPerSecond;
    this.tokens = tokensPerSecond;
    this.refilledAt = now;
  }

  synchronized boolean tryAcquire(long now) {
    tokens =
        Math.min(tokensPerSecond, tokens + (now - refilledAt) / NANOS_PER_SECOND * tokensPerSecond);
    refilledAt = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
