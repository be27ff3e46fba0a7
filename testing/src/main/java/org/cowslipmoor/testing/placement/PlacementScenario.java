package org.cowslipmoor.testing.placement;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

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
 * @param demandWeights by data centre, the demand of its hosts in relation to the capacity of its
 *     targets; hosts and targets are spread evenly over the data centres
 * @param disturbance what happens in the first data centre
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
    int failingTargets,
    ImmutableList<Double> demandWeights,
    Disturbance disturbance) {

  /** What happens in the first data centre; times count from the end of the warm-up. */
  public sealed interface Disturbance {

    /** Nothing. */
    record None() implements Disturbance {}

    /**
     * The demand of its hosts rises.
     *
     * @param factor factor on the demand
     * @param fromNanos time of the rise
     * @param untilNanos time at which it ends
     */
    record Burst(double factor, long fromNanos, long untilNanos) implements Disturbance {}

    /**
     * Some of its targets are no longer usable, and the hosts know.
     *
     * @param share share of its targets, the fastest and the slowest alike
     * @param atNanos time of the loss
     */
    record Loss(double share, long atNanos) implements Disturbance {}
  }

  /** Checks the numbers of hosts, targets and data centres. */
  public PlacementScenario {
    checkArgument(hosts >= 1, "hosts must be at least 1, but is %s", hosts);
    checkArgument(targets >= 1, "targets must be at least 1, but is %s", targets);
    checkArgument(!demandWeights.isEmpty(), "there must be at least one data centre");
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
        0,
        ImmutableList.of(1.0),
        new Disturbance.None());
  }

  /** Returns this scenario with several data centres, by the weights of their demand. */
  public PlacementScenario withDemandWeights(ImmutableList<Double> newWeights) {
    return with(failingTargets, newWeights, disturbance);
  }

  /** Returns this scenario with a disturbance of the first data centre. */
  public PlacementScenario withDisturbance(Disturbance newDisturbance) {
    return with(failingTargets, demandWeights, newDisturbance);
  }

  /** Returns this scenario with targets that fail all requests at once. */
  public PlacementScenario withFailingTargets(int count) {
    return with(count, demandWeights, disturbance);
  }

  private PlacementScenario with(
      int count, ImmutableList<Double> newWeights, Disturbance newDisturbance) {
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
        count,
        newWeights,
        newDisturbance);
  }
}
