package org.cowslipmoor.experiment;

import org.cowslipmoor.core.balance.LoadBalancingPolicy;

/**
 * Describes one run of the model of a service without keys.
 *
 * @param fleet the hosts, the targets and the requests
 * @param utilization offered load as a share of the capacity
 * @param faults what is wrong with some of the targets
 * @param rules how the hosts decide
 * @param seconds virtual time of the run
 */
record LoadScenario(Fleet fleet, double utilization, Faults faults, Rules rules, int seconds) {

  /**
   * The hosts, the targets and the requests.
   *
   * @param hosts entry hosts, each with its own view
   * @param targets targets
   * @param slots requests each target works on at the same time
   * @param meanWorkMicros mean time of work, exponentially distributed
   * @param deadlineMillis deadline of each request
   * @param urgentShare share of urgent requests
   */
  record Fleet(
      int hosts,
      int targets,
      int slots,
      int meanWorkMicros,
      int deadlineMillis,
      double urgentShare) {}

  /**
   * Counts the targets with each fault.
   *
   * @param lying targets whose reports always say idle
   * @param slow targets that work four times slower, as after a cold start
   * @param frozen targets that stop working for a while in the middle of the run
   * @param lost targets that refuse connections for a while in the middle of the run
   * @param breaking targets that break off every request for a while in the middle of the run
   */
  record Faults(int lying, int slow, int frozen, int lost, int breaking) {
    static final Faults NONE = new Faults(0, 0, 0, 0, 0);
  }

  /**
   * How the hosts decide.
   *
   * @param reportMillis age that reports of load reach before they are renewed; 0 for live ones
   * @param limits whether hosts limit, queue and refuse early, rather than send everything at once
   * @param ejects whether hosts take targets that keep failing out of the choice
   * @param policy rule for choosing targets
   */
  record Rules(int reportMillis, boolean limits, boolean ejects, LoadBalancingPolicy policy) {}

  /** Returns a copy with another policy. */
  LoadScenario with(LoadBalancingPolicy policy) {
    return withRules(new Rules(rules.reportMillis(), rules.limits(), rules.ejects(), policy));
  }

  /** Returns a copy whose hosts take failing targets out, or do not. */
  LoadScenario withEjection(boolean ejects) {
    return withRules(new Rules(rules.reportMillis(), rules.limits(), ejects, rules.policy()));
  }

  /** Returns a copy with other faults. */
  LoadScenario withFaults(Faults others) {
    return new LoadScenario(fleet, utilization, others, rules, seconds);
  }

  /** Returns a copy whose hosts know every queue at every moment, as the best they could do. */
  LoadScenario withFullKnowledge() {
    Faults honest = new Faults(0, faults.slow(), faults.frozen(), faults.lost(), faults.breaking());
    return withFaults(honest)
        .withRules(
            new Rules(
                0, rules.limits(), rules.ejects(), new LoadBalancingPolicy.JoinShortestQueue()));
  }

  private LoadScenario withRules(Rules others) {
    return new LoadScenario(fleet, utilization, faults, others, seconds);
  }
}
