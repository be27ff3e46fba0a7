package org.cowslipmoor.core.balance;

/** A load-balancing policy: the rule by which a target is chosen. */
public sealed interface LoadBalancingPolicy {

  /** Chooses uniformly at random. */
  record Random() implements LoadBalancingPolicy {}

  /** Chooses the targets in rotation. */
  record RoundRobin() implements LoadBalancingPolicy {}

  /** Chooses the target with the fewest requests in progress of this host; ties at random. */
  record LeastInFlight() implements LoadBalancingPolicy {}

  /** Chooses the target with the fewest requests in progress of this host; ties in rotation. */
  record LeastInFlightRoundRobin() implements LoadBalancingPolicy {}

  /**
   * Chooses the least loaded of some targets sampled at random (power of d choices).
   *
   * @param choices number of samples
   */
  record PowerOfChoices(int choices) implements LoadBalancingPolicy {}

  /** Chooses the target with the lowest estimated load; ties at random. */
  record JoinShortestQueue() implements LoadBalancingPolicy {}

  /** Chooses a target whose estimated load is zero; if there is none, any target. */
  record IdleFirst() implements LoadBalancingPolicy {}

  /**
   * Chooses a target whose estimated load is zero; if there is none, one whose load is below its
   * slots; otherwise any target. With one slot this is the idle-one-first policy of Gupta and
   * Walton, "Load Balancing in the Non-Degenerate Slowdown Regime".
   */
  record IdleOneFirst() implements LoadBalancingPolicy {}

  /**
   * Chooses the target with the least {@code (ownInFlight * ownWeight + reportedInFlight) / slots}.
   * The host's own requests weigh more since their count is current, whereas reports are delayed.
   *
   * @param ownWeight weight of the host's own requests
   */
  record WeightedLeast(double ownWeight) implements LoadBalancingPolicy {}
}
