package org.cowslipmoor.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A service in the routing configuration.
 *
 * @param name identifies the service
 * @param connectionLimit maximum number of connections that each of its targets accepts from all
 *     hosts together
 * @param keyed whether each key of the service is owned by one target at a time
 * @param healthPath path of its targets' health check; empty if they have none
 * @param warmUpMillis time in milliseconds for which its targets are cold after a start; 0 if they
 *     never are
 * @param coldRequestsPerSecond requests per second that a cold target can bear; 0 for no limit
 */
public record ServiceDescription(
    String name,
    int connectionLimit,
    boolean keyed,
    String healthPath,
    long warmUpMillis,
    double coldRequestsPerSecond) {

  /**
   * Checks the limits.
   *
   * @throws IllegalArgumentException if a limit is out of range
   */
  public ServiceDescription {
    checkArgument(
        connectionLimit >= 1, "connectionLimit must be at least 1, but is %s", connectionLimit);
    checkArgument(warmUpMillis >= 0, "warmUpMillis must be at least 0, but is %s", warmUpMillis);
    checkArgument(
        coldRequestsPerSecond >= 0,
        "coldRequestsPerSecond must be at least 0, but is %s",
        coldRequestsPerSecond);
  }

  /** Creates a service whose targets have no health check and are never cold. */
  public ServiceDescription(String name, int connectionLimit, boolean keyed) {
    this(name, connectionLimit, keyed, "", 0, 0);
  }
}
