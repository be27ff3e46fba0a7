package org.cowslipmoor.core.request;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits retries to a share of the requests, so that they do not multiply the load. Thread-safe.
 *
 * <p>The budget is a token bucket: each request adds a fraction of a token, and each retry takes
 * one token.
 */
public final class RetryBudget {
  private final double ratio;
  private final double maxTokens;
  private double tokens;

  private RetryBudget(double ratio, double maxTokens) {
    this.ratio = ratio;
    this.maxTokens = maxTokens;
    this.tokens = maxTokens;
  }

  /**
   * Creates a budget whose bucket is full.
   *
   * @param ratio tokens that each request adds, which bounds the retries per request in the long
   *     run; from 0 to 1
   * @param maxTokens capacity of the bucket, at least 1
   * @throws IllegalArgumentException if a number is out of range
   */
  public static RetryBudget of(double ratio, double maxTokens) {
    checkArgument(ratio >= 0 && ratio <= 1, "ratio must be 0 to 1, but is %s", ratio);
    checkArgument(maxTokens >= 1, "maxTokens must be at least 1, but is %s", maxTokens);
    return new RetryBudget(ratio, maxTokens);
  }

  /** Adds the tokens for the first attempt of a request. */
  public synchronized void onRequest() {
    tokens = Math.min(maxTokens, tokens + ratio);
  }

  /** Takes the token for one retry; returns whether there was one. */
  public synchronized boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
