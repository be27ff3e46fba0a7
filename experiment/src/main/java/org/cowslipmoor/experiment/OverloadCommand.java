package org.cowslipmoor.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.PrintStream;
import java.util.List;
import org.cowslipmoor.core.balance.LoadBalancingPolicy;

/** Shows goodput and urgent requests' times under overload, with and without limits. */
@Command(
    name = "overload",
    description =
        "Offers 0.8, 1, 2 and 5 times the capacity, with the limits and, as the baseline, sending "
            + "everything at once; medians over the seeds")
public final class OverloadCommand implements ExperimentCommand {
  private static final double[] LOADS = {0.8, 1, 2, 5};

  @Option(name = "--seeds", description = "Runs of each (default 5)")
  private int seeds = 5;

  @Option(name = "--seconds", description = "Virtual time of each run (default 20)")
  private int seconds = 20;

  @Override
  public int run(PrintStream out) {
    out.printf(
        "%-10s %6s %9s %9s %9s %12s %14s%n",
        "variant", "load", "goodput", "refused", "late", "p99 ms", "urgent p99 ms");
    for (double load : LOADS) {
      print(out, "baseline", load, false);
      print(out, "limits", load, true);
    }
    return 0;
  }

  private void print(PrintStream out, String name, double load, boolean limits) {
    LoadScenario scenario =
        new LoadScenario(
            new LoadScenario.Fleet(17, 8, 4, 5_000, 300, 0.1),
            load,
            LoadScenario.Faults.NONE,
            new LoadScenario.Rules(300, limits, limits, new LoadBalancingPolicy.WeightedLeast(4)),
            seconds);
    List<LoadModel.Result> results = LoadModel.runAll(scenario, seeds);
    out.printf(
        "%-10s %6.1f %8.1f%% %8.1f%% %8.1f%% %12.1f %14.1f%n",
        name,
        load,
        100 * Medians.of(results, LoadModel.Result::goodput),
        100 * Medians.of(results, LoadModel.Result::refusedShare),
        100 * Medians.of(results, LoadModel.Result::lateShare),
        Medians.of(results, LoadModel.Result::p99Millis),
        Medians.of(results, LoadModel.Result::urgentP99Millis));
  }
}
