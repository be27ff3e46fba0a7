package org.cowslipmoor.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.PrintStream;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.cowslipmoor.testing.control.ControlSimulation;
import org.cowslipmoor.testing.control.FaultSchedule;
import org.cowslipmoor.testing.control.ProtocolMutants;
import org.cowslipmoor.testing.control.ProtocolMutation;

/** Counts steps and faults of random schedules, and shows which broken rules are found. */
@Command(
    name = "invariants",
    description =
        "Runs random fault schedules, counts steps and faults by kind, and shows that "
            + "each rule broken on purpose is found; exit code 1 when an invariant was violated")
public final class InvariantsCommand implements ExperimentCommand {
  private static final int FAULTS = 30;

  @Option(name = "--seeds", description = "Schedules to run (default 200)")
  private int seeds = 200;

  @Option(name = "--search", description = "Most seeds tried for a broken rule (default 500)")
  private int search = 500;

  @Override
  public int run(PrintStream out) {
    boolean sound = runSound(out, true);
    sound &= runSound(out, false);
    out.println();
    out.println("rules broken on purpose:");
    for (ProtocolMutants.Mutant v : ProtocolMutants.all()) {
      OptionalLong seed = v.findViolatingSeed(search);
      boolean soundOtherwise =
          seed.isPresent() && v.runUnmodified(seed.getAsLong()).checker().violations().isEmpty();
      out.printf(
          "  %-62s %s%n",
          v.name(), seed.isPresent() ? "found with seed " + seed.getAsLong() : "NOT FOUND");
      sound &= soundOtherwise;
    }
    return sound ? 0 : 1;
  }

  private boolean runSound(PrintStream out, boolean checksGrants) {
    Map<String, Integer> faults = new TreeMap<>();
    long steps = 0;
    long requests = 0;
    int violated = 0;
    int unserved = 0;
    for (long seed = 1; seed <= seeds; seed++) {
      ControlSimulation simulation =
          FaultSchedule.run(seed, FAULTS, checksGrants, ProtocolMutation.NONE);
      simulation.faultCounts().forEach((kind, n) -> faults.merge(kind, n, Integer::sum));
      steps += simulation.steps();
      requests += simulation.requestsSent();
      if (!simulation.checker().violations().isEmpty()) {
        violated++;
        out.println("seed " + seed + ": " + simulation.checker().violations().get(0));
      }
      unserved += simulation.checker().served() == FaultSchedule.SHARDS ? 0 : 1;
    }
    out.printf(
        "targets %s: %d schedules, %d steps checked, %d requests, %d schedules with violations, "
            + "%d not serving again%n",
        checksGrants ? "check grants" : "check nothing",
        seeds,
        steps,
        requests,
        violated,
        unserved);
    faults.forEach((kind, n) -> out.printf("  %-24s %d%n", kind, n));
    return violated == 0 && unserved == 0;
  }
}
