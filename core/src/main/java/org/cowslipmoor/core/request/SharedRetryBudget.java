package org.cowslipmoor.core.request;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.random.RandomGenerator;

/**
 * One host's part of the retries to a service that all hosts together may make in any window of
 * time. No host asks another: the parts add up to what is allowed, however large the fleet is. Not
 * thread-safe; times are nanoseconds.
 *
 * <p>Requests earn retries, which may be saved up to a limit. A host that starts again has few, so
 * that starts do not add up. Earnings are whole retries, drawn with the share's probability, so
 * that hosts with few requests get their part as well.
 *
 * <p>What the hosts have saved when a window begins comes on top of what is earned in it. It stays
 * below the slack as long as every host can save one retry within it. In a larger fleet the savings
 * lapse after a window, so that they never exceed what one more window earns, and the share is
 * lowered to make room for them.
 */
public final class SharedRetryBudget {
  /** Part of the allowed share that is used; requests and retries cross a window's edges. */
  private static final double SHARE_PART = 0.85;

  /**
   * Part of the slack that the hosts may have saved when a window begins. The parts leave a fifth
   * of the slack, since hosts may know different sizes of the fleet for a time.
   */
  private static final double SAVED_PART = 0.5;

  /** Part of the slack that time earns in a window, for services with few requests. */
  private static final double TIMED_PART = 0.15;

  /** Part of the slack that all hosts have together when all of them start. */
  private static final double START_PART = 0.15;

  private final Limits limits;
  private final RandomGenerator random;
  private int hosts;
  private double saved;
  private long earnedAt;
  private long timedAt;

  /**
   * What all hosts together may do.
   *
   * @param ratio retries per request in a window, from 0 to 1
   * @param slack retries in a window beyond that, at least 0
   * @param window length of a window in nanoseconds, above 0
   */
  public record Limits(double ratio, double slack, long window) {
    /** Checks the ranges. */
    public Limits {
      checkArgument(ratio >= 0 && ratio <= 1, "ratio must be 0 to 1, but is %s", ratio);
      checkArgument(slack >= 0, "slack must be at least 0, but is %s", slack);
      checkArgument(window > 0, "window must be above 0, but is %s", window);
    }
  }

  private SharedRetryBudget(Limits limits, int hosts, RandomGenerator random, long now) {
    this.limits = limits;
    this.random = random;
    this.earnedAt = now;
    this.timedAt = now;
    onHostCount(hosts);
    earn(limits.slack() * START_PART / hosts, now);
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

  /** Takes the number of hosts that share the retries, at least 1. */
  public void onHostCount(int newHosts) {
    checkArgument(newHosts >= 1, "hosts must be at least 1, but are %s", newHosts);
    hosts = newHosts;
    saved = Math.min(saved, limit());
  }

  /** Notes a request's first attempt. */
  public void onRequest(long now) {
    advance(now);
    earn(limits.ratio() * SHARE_PART * shareFactor(), now);
  }

  /** Takes one retry from the savings; returns whether there was one. */
  public boolean tryAcquire(long now) {
    advance(now);
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }

  private void advance(long now) {
    if (hosts > savable() && now - earnedAt >= limits.window()) {
      saved = 0;
    }
    double windows = (double) (now - timedAt) / limits.window();
    timedAt = now;
    earn(windows * limits.slack() * TIMED_PART / hosts, now);
  }

  /** Earns a number of retries, rounded to a whole one at random without a bias. */
  private void earn(double retries, long now) {
    double whole = Math.floor(retries);
    double earned = random.nextDouble() < retries - whole ? whole + 1 : whole;
    if (earned > 0) {
      saved = Math.min(limit(), saved + earned);
      earnedAt = now;
    }
  }

  /** Returns the retries that all hosts together may save without a lapse. */
  private double savable() {
    return limits.slack() * SAVED_PART;
  }

  private double limit() {
    return Math.max(1, savable() / hosts);
  }

  /**
   * Returns the factor by which the share is lowered. Savings are at most one retry a host, and at
   * most what a window of requests earns; with this factor the larger excess of either over the
   * slack is what the share leaves.
   */
  private double shareFactor() {
    return hosts <= savable() ? 1 : 1 / (2 - savable() / hosts);
  }
}
