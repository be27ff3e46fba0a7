package org.cowslipmoor.core.request;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds retries to a share of the requests, so that they never multiply load. Thread-safe.
 *
 * <p>Each request adds its share to a reserve of limited size; each retry takes one from it.
 */
public final class RetryBudget {
  private final double share;
  private final double limit;
  private double reserve;

  private RetryBudget(double share, double limit) {
    this.share = share;
    this.limit = limit;
    this.reserve = limit;
  }

  /**
   * Creates a budget whose reserve is full.
   *
   * @param share retries per request in the long run, from 0 to 1
   * @param limit most retries that may be saved up, at least 1
   * @throws IllegalArgumentException if a number is out of range
   */
  public static RetryBudget of(double share, double limit) {
    checkArgument(share >= 0 && share <= 1, "share must be 0 to 1, but is %s", share);
    checkArgument(limit >= 1, "limit must be at least 1, but is %s", limit);
    return new RetryBudget(share, limit);
  }

  /** Notes a request's first attempt. */
  public synchronized void onRequest() {
    reserve = Math.min(limit, reserve + share);
  }

  /** Takes one retry from the reserve; returns whether there was one. */
  public synchronized boolean tryAcquire() {
    if (reserve < 1) {
      return false;
    }
    reserve -= 1;
    return true;
  }
}
