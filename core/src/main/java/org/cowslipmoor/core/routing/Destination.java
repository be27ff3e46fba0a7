package org.cowslipmoor.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One of the services that share a route.
 *
 * @param service name of the service
 * @param weight its part of the requests, relative to the other destinations; at least 0
 */
public record Destination(String service, int weight) {

  /** Checks the weight. */
  public Destination {
    checkArgument(weight >= 0, "weight must not be negative, but is %s", weight);
  }
}
