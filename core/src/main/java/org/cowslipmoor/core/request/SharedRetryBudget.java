package org.cowslipmoor.core.request;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.random.RandomGenerator;

/**
 * One host's part of the budget for retries to a service that bounds the retries of all hosts
 * together in any time window. The hosts do not communicate: whatever the size of the fleet, their
 * parts add up to the allowed number. Not thread-safe; times are nanoseconds.
 *
 * <p>The budget is a token bucket: requests add tokens up to a limit, and each retry takes one. A
 * host that restarts has few tokens, so that restarts do not add up to many retries. Only whole
 * tokens are added; a fraction is rounded up with its own probability, so that hosts with few
 * requests get their part as well.
 *
 * <p>The tokens that the hosts hold when a window begins come on top of those that are added during
 * the window. They stay below the slack as long as it allows each host to hold one token. In a
 * larger fleet, tokens expire after a window, so that they never exceed what one more window adds,
 * and the ratio is reduced to compensate for them.
 */
public final class SharedRetryBudget {
  /** Share of the ratio that is used, since a request and its retries may be in two windows. */
  private static final double RATIO_SHARE = 0.85;

  /**
   * Share of the slack for the tokens that all hosts together hold when a window begins. The shares
   * leave a fifth of the slack unused, since hosts may temporarily differ in the size of the fleet
   * that they assume.
   */
  private static final double HELD_SHARE = 0.5;

  /** Share of the slack that is added over the time of a window, for services with few requests. */
  private static final double TIMED_SHARE = 0.15;

  /** Share of the slack that all hosts together hold if all of them have just started. */
  private static final double INITIAL_SHARE = 0.15;

  private final RandomGenerator random;
  private Limits limits;
  private int hosts;
  private double tokens;
  private long lastAddedAt;
  private long lastAdvancedAt;

  /**
   * Limits on the retries of all hosts together.
   *
   * @param ratio maximum retries per request in a window, from 0 to 1
   * @param slack retries in a window that are allowed beyond the ratio, at least 0
   * @param windowNanos length of a window in nanoseconds, above 0
   */
  public record Limits(double ratio, double slack, long windowNanos) {
    /** Checks the ranges. */
    public Limits {
      checkArgument(ratio >= 0 && ratio <= 1, "ratio must be 0 to 1, but is %s", ratio);
      checkArgument(slack >= 0, "slack must be at least 0, but is %s", slack);
      checkArgument(windowNanos > 0, "windowNanos must be above 0, but is %s", windowNanos);
    }
  }

  private SharedRetryBudget(Limits limits, int hosts, RandomGenerator random, long now) {
    this.limits = limits;
    this.random = random;
    this.lastAddedAt = now;
    this.lastAdvancedAt = now;
    onHostCount(hosts);
    addTokens(limits.slack() * INITIAL_SHARE / hosts, now);
  }

  /**
   * Creates the budget of a host that has just started.
   *
   * @param hosts number of hosts that share the retries, at least 1
   */
  public static SharedRetryBudget create(
      Limits limits, int hosts, RandomGenerator random, long now) {
    return new SharedRetryBudget(limits, hosts, random, now);
  }

  /** Sets the limits; tokens beyond those that a smaller limit allows are dropped. */
  public void onLimits(Limits newLimits) {
    limits = newLimits;
    tokens = Math.min(tokens, maxTokens());
  }

  /** Sets the number of hosts that share the retries, at least 1. */
  public void onHostCount(int hostCount) {
    checkArgument(hostCount >= 1, "hostCount must be at least 1, but is %s", hostCount);
    hosts = hostCount;
    tokens = Math.min(tokens, maxTokens());
  }

  /** Adds the tokens for the first attempt of a request. */
  public void onRequest(long now) {
    advance(now);
    addTokens(limits.ratio() * RATIO_SHARE * ratioFactor(), now);
  }

  /** Takes the token for one retry; returns whether there was one. */
  public boolean tryAcquire(long now) {
    advance(now);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  private void advance(long now) {
    if (hosts > maxFleetTokens() && now - lastAddedAt >= limits.windowNanos()) {
      tokens = 0;
    }
    double windows = (double) (now - lastAdvancedAt) / limits.windowNanos();
    lastAdvancedAt = now;
    addTokens(windows * limits.slack() * TIMED_SHARE / hosts, now);
  }

  /** Adds tokens, rounded at random to a whole number with the same expected value. */
  private void addTokens(double expected, long now) {
    double whole = Math.floor(expected);
    double added = random.nextDouble() < expected - whole ? whole + 1 : whole;
    if (added > 0) {
      tokens = Math.min(maxTokens(), tokens + added);
      lastAddedAt = now;
    }
  }

  /** Returns the number of tokens that all hosts together may hold without expiry. */
  private double maxFleetTokens() {
    return limits.slack() * HELD_SHARE;
  }

  private double maxTokens() {
    return Math.max(1, maxFleetTokens() / hosts);
  }

  /**
   * Returns the factor that reduces the ratio. The hosts hold at most one token each, and at most
   * as many as the requests of one window add. Their excess over the share of the slack is largest
   * where both bounds are equal; with this factor, the unused part of the ratio equals it there.
   */
  private double ratioFactor() {
    return hosts <= maxFleetTokens() ? 1 : 1 / (2 - maxFleetTokens() / hosts);
  }
}
