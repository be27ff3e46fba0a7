package org.cowslipmoor.testing.placement;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A fleet and its load.
 *
 * @param hosts number of hosts, at least 1
 * @param targets number of targets of the service, at least 1
 * @param otherTargets number of targets of other services, whose states share the coordinator's
 *     link
 * @param slots requests that a target runs at the same time
 * @param queueLength requests that a target queues beyond its slots
 * @param serviceNanos mean service time of a request at a target of mean speed
 * @param objectiveNanos response time objective of the requests
 * @param linkBytesPerSecond capacity of the coordinator's network link
 * @param utilization offered load as a fraction of the capacity of all targets
 * @param rushUtilization offered load in every other second
 * @param failingTargets number of targets that fail all requests at once, for ever
 */
public record PlacementScenario(
    int hosts,
    int targets,
    int otherTargets,
    int slots,
    int queueLength,
    long serviceNanos,
    long objectiveNanos,
    double linkBytesPerSecond,
    double utilization,
    double rushUtilization,
    int failingTargets) {

  /** Checks the numbers of hosts and targets. */
  public PlacementScenario {
    checkArgument(hosts >= 1, "hosts must be at least 1, but is %s", hosts);
    checkArgument(targets >= 1, "targets must be at least 1, but is %s", targets);
  }

  /**
   * Returns a service whose number of targets grows with the fleet: seven for ten hosts, with long
   * requests, as of a service that records orders.
   *
   * @param hosts number of hosts
   */
  public static PlacementScenario orders(int hosts, double utilization, double rushUtilization) {
    int targets = Math.max(8, hosts * 7 / 10);
    return new PlacementScenario(
        hosts,
        targets,
        4 * targets,
        4,
        16,
        670_000_000L,
        2_500_000_000L,
        25_000_000,
        utilization,
        rushUtilization,
        0);
  }

  /** Returns this scenario with targets that fail all requests at once. */
  public PlacementScenario withFailingTargets(int count) {
    return new PlacementScenario(
        hosts,
        targets,
        otherTargets,
        slots,
        queueLength,
        serviceNanos,
        objectiveNanos,
        linkBytesPerSecond,
        utilization,
        rushUtilization,
        count);
  }
}
