package org.cowslipmoor.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import java.io.PrintStream;
import org.cowslipmoor.testing.placement.PlacementPolicy;
import org.cowslipmoor.testing.placement.PlacementScenario;
import org.cowslipmoor.testing.placement.PlacementSimulation;

/** Compares ways to place requests on targets, by the number of hosts. */
@Command(
    name = "placement",
    description =
        "Compares ways to place the requests of a service on its targets while hosts see each "
            + "other's load late, by the number of hosts and the load")
public final class PlacementCommand implements ExperimentCommand {
  @Option(name = "--hosts", description = "Numbers of hosts (default 19,102,300,1000)")
  private String hosts = "19,102,300,1000";

  @Option(name = "--seconds", description = "Virtual duration of each run (default 12)")
  private int seconds = 12;

  @Option(name = "--seed", description = "Seed of each run (default 1)")
  private long seed = 1;

  private static final ImmutableMap<String, PlacementPolicy> POLICIES =
      ImmutableMap.<String, PlacementPolicy>builder()
          .put("random", new PlacementPolicy.Random())
          .put("least in flight", new PlacementPolicy.LeastInFlight())
          .put("power of two", new PlacementPolicy.PowerOfTwo())
          .put("shortest reported", new PlacementPolicy.ShortestReported())
          .put("product", new PlacementPolicy.Product())
          .put("full knowledge", new PlacementPolicy.FullKnowledge())
          .buildOrThrow();

  /** Offered loads, as a fraction of the capacity: usual and in every other second. */
  private static final double[][] LOADS = {{0.58, 0.58}, {0.75, 0.95}, {0.95, 1.3}};

  @Override
  public int run(PrintStream out) {
    for (String count : Splitter.on(',').trimResults().split(hosts)) {
      for (double[] load : LOADS) {
        PlacementScenario scenario =
            PlacementScenario.orders(Integer.parseInt(count), load[0], load[1]);
        out.printf(
            "%n%s hosts, %d targets, load %.2f and %.2f%n",
            count, scenario.targets(), load[0], load[1]);
        out.printf(
            "  %-18s %9s %9s %9s %9s %9s %9s%n",
            "policy", "no place", "lost", "refused", "late", "p50 ms", "p99 ms");
        POLICIES.forEach((name, policy) -> print(out, name, scenario, policy));
      }
    }
    return 0;
  }

  private void print(
      PrintStream out, String name, PlacementScenario scenario, PlacementPolicy policy) {
    PlacementSimulation.Result r = new PlacementSimulation(scenario, policy, seed).run(seconds);
    out.printf(
        "  %-18s %8.2f%% %8.2f%% %8.2f%% %8.2f%% %9.0f %9.0f%n",
        name,
        100 * r.unplaced(),
        100 * r.lost(),
        100 * r.rejected(),
        100 * r.late(),
        r.p50Millis(),
        r.p99Millis());
    out.flush();
  }
}
