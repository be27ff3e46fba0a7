package org.cowslipmoor.testing.placement;

/** How a simulated host chooses the target of a request. */
public sealed interface PlacementPolicy {

  /** The load balancer of the hosts. */
  record Product() implements PlacementPolicy {}

  /**
   * The load balancer of the hosts as it was before it kept requests in the data centre: the path
   * to another data centre counts as waiting.
   */
  record FixedPathCost() implements PlacementPolicy {}

  /** Any target, with equal probability. */
  record Random() implements PlacementPolicy {}

  /** The target with the fewest requests of the same host. */
  record LeastInFlight() implements PlacementPolicy {}

  /** Of two random targets, the one with the lower load as last reported. */
  record PowerOfTwo() implements PlacementPolicy {}

  /**
   * The target with the shortest response time by the loads last reported, assuming that the other
   * hosts have sent as many requests to it since then as this host.
   */
  record ShortestReported() implements PlacementPolicy {}

  /** The target with the shortest response time by its present load, which no host can know. */
  record FullKnowledge() implements PlacementPolicy {}
}
