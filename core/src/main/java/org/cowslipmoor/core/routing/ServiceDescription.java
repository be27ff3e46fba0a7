package org.cowslipmoor.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A service in the routing configuration.
 *
 * @param name identifies the service
 * @param connectionLimit maximum number of connections that each of its targets accepts from all
 *     hosts together
 * @param keyed whether each key of the service is owned by one target at a time
 */
public record ServiceDescription(String name, int connectionLimit, boolean keyed) {

  /**
   * Checks the limit.
   *
   * @throws IllegalArgumentException if the limit is less than 1
   */
  public ServiceDescription {
    checkArgument(
        connectionLimit >= 1, "connectionLimit must be at least 1, but is %s", connectionLimit);
  }
}
