package org.cowslipmoor.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One of the services over which the requests of a route are split.
 *
 * @param service name of the service
 * @param weight relative share of the route's requests, at least 0
 */
public record Destination(String service, int weight) {

  /**
   * Checks the weight.
   *
   * @throws IllegalArgumentException if the weight is negative
   */
  public Destination {
    checkArgument(weight >= 0, "weight must not be negative, but is %s", weight);
  }
}
