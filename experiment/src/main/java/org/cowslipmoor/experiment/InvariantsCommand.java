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

/**
 * Checks the invariants over random fault schedules, and that deliberately broken protocol variants
 * (mutants) violate them.
 */
@Command(
    name = "invariants",
    description =
        "Runs random fault schedules, counts steps and faults by kind, and checks that "
            + "each protocol mutant is detected; exit code 1 if a check fails")
public final class InvariantsCommand implements ExperimentCommand {
  private static final int FAULTS_PER_SCHEDULE = 30;

  @Option(name = "--seeds", description = "Number of schedules to run (default 200)")
  private int seeds = 200;

  @Option(name = "--search", description = "Maximum number of seeds tried per mutant (default 500)")
  private int maxSeeds = 500;

  @Override
  public int run(PrintStream out) {
    boolean passed = checkSchedules(out, true);
    passed &= checkSchedules(out, false);
    out.println();
    out.println("protocol mutants:");
    for (ProtocolMutants.Mutant mutant : ProtocolMutants.all()) {
      OptionalLong seed = mutant.findViolatingSeed(maxSeeds);
      boolean passesUnmodified =
          seed.isPresent()
              && mutant.runUnmodified(seed.getAsLong()).checker().violations().isEmpty();
      out.printf(
          "  %-62s %s%n",
          mutant.name(), seed.isPresent() ? "found with seed " + seed.getAsLong() : "NOT FOUND");
      passed &= passesUnmodified;
    }
    return passed ? 0 : 1;
  }

  private boolean checkSchedules(PrintStream out, boolean checksGrants) {
    Map<String, Integer> faults = new TreeMap<>();
    long steps = 0;
    long requests = 0;
    int violatingSchedules = 0;
    int unservedSchedules = 0;
    for (long seed = 1; seed <= seeds; seed++) {
      ControlSimulation simulation =
          FaultSchedule.run(seed, FAULTS_PER_SCHEDULE, checksGrants, ProtocolMutation.NONE);
      simulation.faultCounts().forEach((kind, n) -> faults.merge(kind, n, Integer::sum));
      steps += simulation.steps();
      requests += simulation.requestsSent();
      if (!simulation.checker().violations().isEmpty()) {
        violatingSchedules++;
        out.println("seed " + seed + ": " + simulation.checker().violations().get(0));
      }
      unservedSchedules += simulation.checker().served() == FaultSchedule.SHARDS ? 0 : 1;
    }
    out.printf(
        "targets %s: %d schedules, %d steps checked, %d requests, %d schedules with violations, "
            + "%d schedules with shards left unserved%n",
        checksGrants ? "check grants" : "do not check grants",
        seeds,
        steps,
        requests,
        violatingSchedules,
        unservedSchedules);
    faults.forEach((kind, n) -> out.printf("  %-24s %d%n", kind, n));
    return violatingSchedules == 0 && unservedSchedules == 0;
  }
}
