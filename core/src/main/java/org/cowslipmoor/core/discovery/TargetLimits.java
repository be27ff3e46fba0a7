package org.cowslipmoor.core.discovery;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The limits that a deployment sets on the use of its targets. A limit that is 0 is not in force.
 *
 * @param coldRateFactor allowed requests to a cold target in any second, of all hosts together, as
 *     a multiple of the rate that its service states for cold targets; 0 for no limit
 * @param coldRateSlack requests that are allowed beyond that product
 * @param evacuationMillis maximum time in milliseconds from the operator's request to evacuate a
 *     data centre until the last request to a target there; 0 if evacuations are not in force
 */
public record TargetLimits(double coldRateFactor, double coldRateSlack, long evacuationMillis) {
  /** The limits of a deployment that sets none. */
  public static final TargetLimits NONE = new TargetLimits(0, 0, 0);

  /**
   * Checks the limits.
   *
   * @throws IllegalArgumentException if one is negative
   */
  public TargetLimits {
    checkArgument(
        coldRateFactor >= 0, "coldRateFactor must be at least 0, but is %s", coldRateFactor);
    checkArgument(coldRateSlack >= 0, "coldRateSlack must be at least 0, but is %s", coldRateSlack);
    checkArgument(
        evacuationMillis >= 0, "evacuationMillis must be at least 0, but is %s", evacuationMillis);
  }
}
