package org.cowslipmoor.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.PrintStream;
import java.util.List;
import org.cowslipmoor.core.balance.LoadBalancingPolicy;

/** Measures goodput and the latency of urgent requests under overload, with and without limits. */
@Command(
    name = "overload",
    description =
        "Offers 0.8, 1, 2 and 5 times the capacity, with limits and, as a baseline, sending "
            + "everything at once; medians over the seeds")
public final class OverloadCommand implements ExperimentCommand {
  private static final double[] UTILIZATIONS = {0.8, 1, 2, 5};

  @Option(name = "--seeds", description = "Number of seeds per run (default 5)")
  private int seeds = 5;

  @Option(name = "--seconds", description = "Virtual duration of each run (default 20)")
  private int seconds = 20;

  @Override
  public int run(PrintStream out) {
    out.printf(
        "%-10s %6s %9s %9s %9s %12s %14s%n",
        "variant", "load", "goodput", "refused", "late", "p99 ms", "urgent p99 ms");
    for (double utilization : UTILIZATIONS) {
      runAndPrint(out, "baseline", utilization, false);
      runAndPrint(out, "limits", utilization, true);
    }
    return 0;
  }

  private void runAndPrint(
      PrintStream out, String variant, double utilization, boolean limitsRequests) {
    LoadScenario scenario =
        new LoadScenario(
            new LoadScenario.Fleet(17, 8, 4, 5_000, 300, 0.1),
            utilization,
            LoadScenario.Faults.NONE,
            new LoadScenario.HostSettings(
                300, limitsRequests, limitsRequests, new LoadBalancingPolicy.WeightedLeast(4)),
            seconds);
    List<LoadSimulation.Result> results = LoadSimulation.runAll(scenario, seeds);
    out.printf(
        "%-10s %6.1f %8.1f%% %8.1f%% %8.1f%% %12.1f %14.1f%n",
        variant,
        utilization,
        100 * Statistics.median(results, LoadSimulation.Result::goodput),
        100 * Statistics.median(results, LoadSimulation.Result::rejectedShare),
        100 * Statistics.median(results, LoadSimulation.Result::lateShare),
        Statistics.median(results, LoadSimulation.Result::p99Millis),
        Statistics.median(results, LoadSimulation.Result::urgentP99Millis));
  }
}
