package org.cowslipmoor.experiment;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.common.collect.ImmutableMap;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cowslipmoor.core.balance.LoadBalancingPolicy;

/** Compares load-balancing policies, each with the same seeds. */
@Command(
    name = "balance",
    description =
        "Compares load-balancing policies for services without keys, for both users' sizes, "
            + "under several faults; medians over the seeds")
public final class BalanceCommand implements ExperimentCommand {
  @Option(name = "--seeds", description = "Number of seeds per policy and fault (default 5)")
  private int seeds = 5;

  @Option(name = "--seconds", description = "Virtual duration of each run (default 30)")
  private int seconds = 30;

  @Option(
      name = "--utilization",
      description = "Offered load as a fraction of the capacity (default 0.8)")
  private double utilization = 0.8;

  @Option(
      name = "--report-ms",
      description = "Interval between load reports in milliseconds (default 300)")
  private int reportIntervalMillis = 300;

  @Option(name = "--output", description = "text or json (default text)")
  private String output = "text";

  /** Returns the policies by name. */
  static ImmutableMap<String, LoadBalancingPolicy> policies() {
    return ImmutableMap.<String, LoadBalancingPolicy>builder()
        .put("random", new LoadBalancingPolicy.Random())
        .put("round-robin", new LoadBalancingPolicy.RoundRobin())
        .put("least-in-flight", new LoadBalancingPolicy.LeastInFlight())
        .put("least-in-flight-turn", new LoadBalancingPolicy.LeastInFlightRoundRobin())
        .put("power-of-two", new LoadBalancingPolicy.PowerOfChoices(2))
        .put("shortest-queue", new LoadBalancingPolicy.JoinShortestQueue())
        .put("idle-queue-first", new LoadBalancingPolicy.IdleFirst())
        .put("idle-one-first", new LoadBalancingPolicy.IdleOneFirst())
        .put("weighted-least", new LoadBalancingPolicy.WeightedLeast(4))
        .put("weighted-least-16", new LoadBalancingPolicy.WeightedLeast(16))
        .buildOrThrow();
  }

  @Override
  public int run(PrintStream out) {
    ArrayNode json = JsonNodeFactory.instance.arrayNode();
    boolean text = !output.equals("json");
    Map<String, LoadScenario> users =
        ImmutableMap.of(
            "sobhy sheets", scenario(17, 8, 4), "stroypas dossiers", scenario(17, 8, 3));
    users.forEach(
        (user, scenario) ->
            faults(scenario)
                .forEach(
                    (fault, faultScenario) ->
                        compare(out, json, text, user, fault, faultScenario)));
    if (!text) {
      out.println(json.toPrettyString());
    }
    return 0;
  }

  private LoadScenario scenario(int hosts, int targets, int slots) {
    return new LoadScenario(
        new LoadScenario.Fleet(hosts, targets, slots, 5_000, 2_000, 0.1),
        utilization,
        LoadScenario.Faults.NONE,
        new LoadScenario.HostSettings(
            reportIntervalMillis, true, false, new LoadBalancingPolicy.Random()),
        seconds);
  }

  private static Map<String, LoadScenario> faults(LoadScenario s) {
    Map<String, LoadScenario> faults = new LinkedHashMap<>();
    faults.put("none", s);
    faults.put("lying report", s.withFaults(new LoadScenario.Faults(1, 0, 0, 0, 0)));
    faults.put("cold target", s.withFaults(new LoadScenario.Faults(0, 1, 0, 0, 0)));
    faults.put("frozen target", s.withFaults(new LoadScenario.Faults(0, 0, 1, 0, 0)));
    faults.put("lost target", s.withFaults(new LoadScenario.Faults(0, 0, 0, 1, 0)));
    faults.put("breaking target", s.withFaults(new LoadScenario.Faults(0, 0, 0, 0, 1)));
    return faults;
  }

  /** Returns the scenario with the policy and the ejection of targets that the daemon uses. */
  private static LoadScenario withDaemonSettings(LoadScenario s) {
    return s.withPolicy(new LoadBalancingPolicy.LeastInFlightRoundRobin()).withEjection(true);
  }

  private void compare(
      PrintStream out,
      ArrayNode json,
      boolean text,
      String user,
      String fault,
      LoadScenario scenario) {
    if (text) {
      out.printf("%n%s, fault: %s, utilization %.2f%n", user, fault, utilization);
      out.printf(
          "  %-20s %9s %9s %9s %9s %9s %9s %9s%n",
          "policy", "imbalance", "p50 ms", "p99 ms", "refused", "late", "failed", "retries");
    }
    Map<String, LoadScenario> rows = new LinkedHashMap<>();
    policies().forEach((name, policy) -> rows.put(name, scenario.withPolicy(policy)));
    rows.put("in turn, ejecting", withDaemonSettings(scenario));
    rows.put("full knowledge", scenario.withPerfectInformation());
    rows.forEach(
        (name, row) -> {
          List<LoadSimulation.Result> results = LoadSimulation.runAll(row, seeds);
          double imbalance = Statistics.median(results, LoadSimulation.Result::imbalance99);
          double p50Millis = Statistics.median(results, LoadSimulation.Result::p50Millis);
          double p99Millis = Statistics.median(results, LoadSimulation.Result::p99Millis);
          double rejectedShare = Statistics.median(results, LoadSimulation.Result::rejectedShare);
          double lateShare = Statistics.median(results, LoadSimulation.Result::lateShare);
          double failedShare = Statistics.median(results, LoadSimulation.Result::failedShare);
          double retriesPerRequest =
              Statistics.median(results, LoadSimulation.Result::retriesPerRequest);
          if (text) {
            out.printf(
                "  %-20s %9.3f %9.2f %9.2f %8.3f%% %8.3f%% %8.3f%% %9.4f%n",
                name,
                imbalance,
                p50Millis,
                p99Millis,
                100 * rejectedShare,
                100 * lateShare,
                100 * failedShare,
                retriesPerRequest);
          }
          ObjectNode object = json.addObject();
          object.put("user", user);
          object.put("fault", fault);
          object.put("policy", name);
          object.put("imbalance99", imbalance);
          object.put("p50Millis", p50Millis);
          object.put("p99Millis", p99Millis);
          object.put("refusedShare", rejectedShare);
          object.put("lateShare", lateShare);
          object.put("failedShare", failedShare);
          object.put("retriesPerRequest", retriesPerRequest);
        });
  }
}
