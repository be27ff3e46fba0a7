package org.cowslipmoor.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What the configuration says of a service.
 *
 * @param name identifies the service
 * @param connectionLimit most connections that one of its targets accepts from all hosts together
 * @param keyed whether each key of the service is held by one target at a time
 */
public record ServiceDescription(String name, int connectionLimit, boolean keyed) {

  /** Checks the limit. */
  public ServiceDescription {
    checkArgument(
        connectionLimit >= 1, "connectionLimit must be at least 1, but is %s", connectionLimit);
  }
}
