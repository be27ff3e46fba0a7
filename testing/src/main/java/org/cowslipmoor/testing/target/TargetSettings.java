package org.cowslipmoor.testing.target;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a target stand-in.
 *
 * @param id id of the target
 * @param ip IP address to listen on
 * @param port port to listen on; 0 for any free port
 * @param slots maximum number of requests in progress, at least 1
 * @param queue maximum number of queued requests, at least 0; further ones are shed
 * @param connections maximum number of connections, at least 1
 * @param checksGrants whether requests that no grant covers are rejected
 * @param workMicros mean processing time of a request in microseconds, at least 0
 * @param seed seed of the processing times
 */
public record TargetSettings(
    String id,
    String ip,
    int port,
    int slots,
    int queue,
    int connections,
    boolean checksGrants,
    int workMicros,
    long seed) {

  /**
   * Checks the limits.
   *
   * @throws IllegalArgumentException if a limit or the processing time is out of range
   */
  public TargetSettings {
    checkArgument(slots >= 1, "slots must be at least 1, but is %s", slots);
    checkArgument(queue >= 0, "queue must not be negative, but is %s", queue);
    checkArgument(connections >= 1, "connections must be at least 1, but is %s", connections);
    checkArgument(workMicros >= 0, "workMicros must not be negative, but is %s", workMicros);
  }
}
