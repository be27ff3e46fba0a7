package org.cowslipmoor.core.balance;

/** A rule for choosing among targets. */
public sealed interface LoadBalancingPolicy {

  /** Any target, evenly at random. */
  record Random() implements LoadBalancingPolicy {}

  /** Each target in turn. */
  record RoundRobin() implements LoadBalancingPolicy {}

  /** The target with the fewest requests of this host, at random among equals. */
  record LeastInFlight() implements LoadBalancingPolicy {}

  /** The target with the fewest requests of this host, in turn among equals. */
  record LeastInFlightRoundRobin() implements LoadBalancingPolicy {}

  /** The less loaded of some targets drawn at random. */
  record PowerOfChoices(int choices) implements LoadBalancingPolicy {}

  /** The target with the shortest queue by estimate, at random among equals. */
  record JoinShortestQueue() implements LoadBalancingPolicy {}

  /** An idle target by estimate; otherwise any. */
  record IdleFirst() implements LoadBalancingPolicy {}

  /**
   * An idle target by estimate; otherwise one whose load is below its slots; otherwise any. With
   * one slot this is the idle-one-first rule of Gupta and Walton, "Load Balancing in the
   * Non-Degenerate Slowdown Regime".
   */
  record IdleOneFirst() implements LoadBalancingPolicy {}

  /**
   * The least of {@code own * weight + reported}: a host's own requests are fresh, reports are old,
   * so own ones weigh more.
   */
  record WeightedLeast(double ownWeight) implements LoadBalancingPolicy {}
}
