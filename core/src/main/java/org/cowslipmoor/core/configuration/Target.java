package org.cowslipmoor.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A server that processes the requests of a service.
 *
 * @param id unique name of the target within the setup
 * @param dataCentre name of its data centre
 * @param ip IP address of its service and control interface
 * @param port port of its service and control interface, 1 to 65535
 * @param slots number of requests that it processes concurrently, at least 1
 * @param connections number of connections that it accepts from all hosts together, at least 1
 * @param draining whether it is leaving: it receives no new requests, and its shards are reassigned
 */
public record Target(
    String id,
    String dataCentre,
    String ip,
    int port,
    int slots,
    int connections,
    boolean draining) {

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if a name, the IP address, the port or a count is invalid
   */
  public Target {
    FieldChecks.checkName("target id", id);
    FieldChecks.checkName("data centre of target " + id, dataCentre);
    FieldChecks.checkIp("ip of target " + id, ip);
    FieldChecks.checkPort("port of target " + id, port);
    checkArgument(slots >= 1, "slots of target %s must be at least 1, but is %s", id, slots);
    checkArgument(
        connections >= 1,
        "connections of target %s must be at least 1, but is %s",
        id,
        connections);
  }

  /** Returns a copy of this target with the given draining state. */
  public Target withDraining(boolean value) {
    return new Target(id, dataCentre, ip, port, slots, connections, value);
  }
}
