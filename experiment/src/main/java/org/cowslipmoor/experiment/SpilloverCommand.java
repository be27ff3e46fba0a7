package org.cowslipmoor.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.PrintStream;
import org.cowslipmoor.testing.placement.PlacementPolicy;
import org.cowslipmoor.testing.placement.PlacementScenario;
import org.cowslipmoor.testing.placement.PlacementScenario.Disturbance;
import org.cowslipmoor.testing.placement.PlacementSimulation;

/** Shows when requests leave their data centre, by the number of hosts. */
@Command(
    name = "spillover",
    description =
        "Compares the shares of requests that leave their data centre and that are served in time, "
            + "by the rule in force and by the former one, by the number of hosts")
public final class SpilloverCommand implements ExperimentCommand {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Equal demand at three data centres. */
  private static final ImmutableList<Double> EVEN = ImmutableList.of(1.0, 1.0, 1.0);

  /** The first data centre has more demand than its targets serve at 90% of the fleet's load. */
  private static final ImmutableList<Double> UNEVEN = ImmutableList.of(1.3, 1.0, 0.7);

  private static final ImmutableMap<String, PlacementPolicy> POLICIES =
      ImmutableMap.of(
          "before", new PlacementPolicy.FixedPathCost(), "product", new PlacementPolicy.Product());

  @Option(name = "--hosts", description = "Numbers of hosts (default 19,102,300,1000)")
  private String hosts = "19,102,300,1000";

  @Option(name = "--seconds", description = "Virtual duration of each run (default 12)")
  private int seconds = 12;

  @Option(name = "--seeds", description = "Number of runs, by seeds from 1 (default 1)")
  private int seeds = 1;

  @Option(name = "--load", description = "Loads to run: those whose name has this text (all)")
  private String onlyLoad = "";

  private record Load(
      String name, double utilization, ImmutableList<Double> weights, Disturbance disturbance) {}

  private static final ImmutableList<Load> LOADS =
      ImmutableList.of(
          new Load("calm, 0.58", 0.58, EVEN, new Disturbance.None()),
          new Load("burst of 1.7 for 3 s, 0.58", 0.58, EVEN, burst(1.7, 3)),
          new Load("burst of 2.0 for 4 s, 0.58", 0.58, EVEN, burst(2.0, 4)),
          new Load("burst of 2.3 for 6 s, 0.58", 0.58, EVEN, burst(2.3, 6)),
          new Load(
              "half of the targets lost, 0.58",
              0.58,
              EVEN,
              new Disturbance.Loss(0.5, 2 * NANOS_PER_SECOND)),
          new Load(
              "all targets lost, 0.58", 0.58, EVEN, new Disturbance.Loss(1, 2 * NANOS_PER_SECOND)),
          new Load("uneven, 0.90", 0.90, UNEVEN, new Disturbance.None()),
          new Load("even, 1.10", 1.10, EVEN, new Disturbance.None()));

  private static Disturbance burst(double factor, int length) {
    return new Disturbance.Burst(factor, 2 * NANOS_PER_SECOND, (2L + length) * NANOS_PER_SECOND);
  }

  @Override
  public int run(PrintStream out) {
    for (String count : Splitter.on(',').trimResults().split(hosts)) {
      for (Load load : LOADS) {
        if (!load.name().contains(onlyLoad)) {
          continue;
        }
        PlacementScenario scenario =
            PlacementScenario.orders(
                    Integer.parseInt(count), load.utilization(), load.utilization())
                .withDemandWeights(load.weights())
                .withDisturbance(load.disturbance());
        out.printf("%n%s hosts, %d targets, %s%n", count, scenario.targets(), load.name());
        out.printf(
            "  %-10s %9s %9s %9s %9s %9s  %s%n",
            "rule", "in time", "rejected", "late", "lost", "left", "left of the first, by 0.5 s");
        POLICIES.forEach((name, policy) -> print(out, name, scenario, policy));
      }
    }
    return 0;
  }

  private void print(
      PrintStream out, String name, PlacementScenario scenario, PlacementPolicy policy) {
    double inTime = 0;
    double rejected = 0;
    double late = 0;
    double lost = 0;
    double left = 0;
    StringBuilder periods = new StringBuilder();
    for (int seed = 1; seed <= seeds; seed++) {
      PlacementSimulation.Result r = new PlacementSimulation(scenario, policy, seed).run(seconds);
      inTime += r.inTime() / seeds;
      rejected += r.rejected() / seeds;
      late += r.late() / seeds;
      lost += r.lost() / seeds;
      left += r.left() / seeds;
      if (seed == 1) {
        r.leftOfFirst().forEach(share -> periods.append(String.format("%3.0f", 100 * share)));
      }
    }
    out.printf(
        "  %-10s %8.2f%% %8.2f%% %8.2f%% %8.2f%% %8.2f%% %s%n",
        name, 100 * inTime, 100 * rejected, 100 * late, 100 * lost, 100 * left, periods);
    out.flush();
  }
}
