package org.cowslipmoor.experiment;

import org.cowslipmoor.core.balance.LoadBalancingPolicy;

/**
 * Describes one run of the simulation of a service without keys.
 *
 * @param fleet the hosts, the targets and the requests
 * @param utilization offered load as a fraction of the capacity
 * @param faults number of targets with each fault
 * @param hostSettings how the hosts limit requests and choose targets
 * @param seconds virtual duration of the run
 */
record LoadScenario(
    Fleet fleet, double utilization, Faults faults, HostSettings hostSettings, int seconds) {

  /**
   * The hosts, the targets and the requests.
   *
   * @param hosts number of hosts, each with its own view of the targets
   * @param targets number of targets
   * @param slots maximum number of requests that a target processes concurrently
   * @param meanWorkMicros mean service time, which is exponentially distributed
   * @param deadlineMillis time from the arrival of a request to its deadline
   * @param urgentShare fraction of urgent requests
   */
  record Fleet(
      int hosts,
      int targets,
      int slots,
      int meanWorkMicros,
      int deadlineMillis,
      double urgentShare) {}

  /**
   * Number of targets with each fault.
   *
   * @param misreporting targets that always report themselves as idle
   * @param slow targets whose service time is four times as long, as after a cold start
   * @param frozen targets that stop working for a while in the middle of the run
   * @param unreachable targets that refuse connections for a while in the middle of the run
   * @param disconnecting targets that abort every request for a while in the middle of the run
   */
  record Faults(int misreporting, int slow, int frozen, int unreachable, int disconnecting) {
    static final Faults NONE = new Faults(0, 0, 0, 0, 0);
  }

  /**
   * How the hosts limit requests and choose targets.
   *
   * @param reportIntervalMillis interval between load reports of the targets; with 0, hosts read
   *     the current load
   * @param limitsRequests whether hosts limit the requests in progress, and queue or reject the
   *     others, rather than send everything at once
   * @param ejectsFailingTargets whether hosts temporarily stop choosing targets that keep failing
   * @param policy load-balancing policy
   */
  record HostSettings(
      int reportIntervalMillis,
      boolean limitsRequests,
      boolean ejectsFailingTargets,
      LoadBalancingPolicy policy) {}

  /** Returns a copy with the given policy. */
  LoadScenario withPolicy(LoadBalancingPolicy policy) {
    return withHostSettings(
        new HostSettings(
            hostSettings.reportIntervalMillis(),
            hostSettings.limitsRequests(),
            hostSettings.ejectsFailingTargets(),
            policy));
  }

  /** Returns a copy whose hosts eject failing targets, or do not. */
  LoadScenario withEjection(boolean ejectsFailingTargets) {
    return withHostSettings(
        new HostSettings(
            hostSettings.reportIntervalMillis(),
            hostSettings.limitsRequests(),
            ejectsFailingTargets,
            hostSettings.policy()));
  }

  /** Returns a copy with the given faults. */
  LoadScenario withFaults(Faults newFaults) {
    return new LoadScenario(fleet, utilization, newFaults, hostSettings, seconds);
  }

  /** Returns a copy whose hosts always read the current queue lengths, as an upper bound. */
  LoadScenario withPerfectInformation() {
    Faults withoutMisreporting =
        new Faults(0, faults.slow(), faults.frozen(), faults.unreachable(), faults.disconnecting());
    return withFaults(withoutMisreporting)
        .withHostSettings(
            new HostSettings(
                0,
                hostSettings.limitsRequests(),
                hostSettings.ejectsFailingTargets(),
                new LoadBalancingPolicy.JoinShortestQueue()));
  }

  private LoadScenario withHostSettings(HostSettings newSettings) {
    return new LoadScenario(fleet, utilization, faults, newSettings, seconds);
  }
}
