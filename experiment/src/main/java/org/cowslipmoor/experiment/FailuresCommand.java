package org.cowslipmoor.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.common.collect.ImmutableMap;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.ConfigurationChange;
import org.cowslipmoor.core.configuration.ConfigurationEditor;
import org.cowslipmoor.core.control.Timing;
import org.cowslipmoor.testing.control.ControlSimulation;
import org.cowslipmoor.testing.control.SampleSetups;

/**
 * Measures, for each kind of failure, how long keys are not served and how many store calls are
 * made.
 */
@Command(
    name = "failures",
    description =
        "Injects each kind of failure into fakes in virtual time: time until keys are served "
            + "again, shards affected and reassigned, store calls; median and maximum over seeds")
public final class FailuresCommand implements ExperimentCommand {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long OBSERVED_NANOS = 20 * NANOS_PER_SECOND;
  private static final int HOSTS = 4;
  private static final int TARGETS = 4;
  private static final int SHARDS = 64;

  @Option(name = "--seeds", description = "Number of seeds per failure (default 9)")
  private int seeds = 9;

  private record Result(
      double longestUnservedMillis,
      double unservedShardSeconds,
      double affectedShards,
      double reassignments,
      double writes,
      double storeCallsPerSecond,
      boolean invariantsHeld,
      int unservedShards) {}

  @Override
  public int run(PrintStream out) {
    out.printf(
        "fakes in virtual time; one data centre of %d hosts, %d targets, %d shards; %d seeds%n",
        HOSTS, TARGETS, SHARDS, seeds);
    out.printf(
        "%-44s %9s %9s %9s %8s %6s %7s %8s %9s%n",
        "failure",
        "median ms",
        "worst ms",
        "shard-s",
        "affected",
        "moves",
        "writes",
        "calls/s",
        "unserved");
    boolean invariantsHeld = true;
    for (Map.Entry<String, Consumer<ControlSimulation>> f : failures().entrySet()) {
      List<Result> results = new ArrayList<>();
      for (int seed = 1; seed <= seeds; seed++) {
        results.add(measure(f.getValue(), seed));
      }
      invariantsHeld &= results.stream().allMatch(Result::invariantsHeld);
      out.printf(
          "%-44s %9.0f %9.0f %9.1f %8.0f %6.0f %7.0f %8.1f %9.0f%n",
          f.getKey(),
          Statistics.median(results, Result::longestUnservedMillis),
          Statistics.max(results, Result::longestUnservedMillis),
          Statistics.median(results, Result::unservedShardSeconds),
          Statistics.median(results, Result::affectedShards),
          Statistics.median(results, Result::reassignments),
          Statistics.median(results, Result::writes),
          Statistics.median(results, Result::storeCallsPerSecond),
          Statistics.max(results, Result::unservedShards));
    }
    out.println(invariantsHeld ? "no invariant was violated" : "AN INVARIANT WAS VIOLATED");
    return invariantsHeld ? 0 : 1;
  }

  private static Result measure(Consumer<ControlSimulation> failure, long seed) {
    ControlSimulation simulation =
        ControlSimulation.create(
            SampleSetups.keyed(1, HOSTS, TARGETS, SHARDS, true), Timing.standard(), seed);
    simulation.run(5 * NANOS_PER_SECOND + seed * 37_000_000L);
    simulation.checker().resetMeasurements();
    long writesBefore = simulation.store().writes();
    long callsBefore = storeCalls(simulation);
    failure.accept(simulation);
    simulation.run(OBSERVED_NANOS);
    Map<?, Long> unservedNanos = simulation.checker().longestUnserved();
    return new Result(
        unservedNanos.values().stream().mapToLong(Long::longValue).max().orElse(0) / 1e6,
        simulation.checker().unservedShardSeconds(),
        unservedNanos.size(),
        simulation.checker().reassignments(),
        simulation.store().writes() - writesBefore,
        (storeCalls(simulation) - callsBefore) / (OBSERVED_NANOS / 1e9),
        simulation.checker().violations().isEmpty(),
        simulation.checker().unserved());
  }

  private static long storeCalls(ControlSimulation simulation) {
    return simulation.store().reads()
        + simulation.store().writes()
        + simulation.store().keepAlives();
  }

  private static Map<String, Consumer<ControlSimulation>> failures() {
    return ImmutableMap.<String, Consumer<ControlSimulation>>builder()
        .put("none", s -> {})
        .put("target lost", s -> s.stopTarget("stock-1-2"))
        .put("target frozen for 6 s", s -> s.pause("stock-1-2", 6 * NANOS_PER_SECOND))
        .put("target restarted at once", s -> s.restartTarget("stock-1-2"))
        .put("target drained", s -> drain(s, "stock-1-2"))
        .put("host lost", s -> s.stopHost("host-1-3"))
        .put("coordinator lost", s -> s.stopHost("host-1-1"))
        .put("coordinator paused for 6 s", s -> s.pause("host-1-1", 6 * NANOS_PER_SECOND))
        .put(
            "rack: coordinator and target lost",
            s -> {
              s.stopHost("host-1-1");
              s.stopTarget("stock-1-2");
            })
        .put("store down", s -> s.setStoreDown(true))
        .put(
            "store down, then coordinator lost",
            s -> {
              s.setStoreDown(true);
              s.run(2 * NANOS_PER_SECOND);
              s.stopHost("host-1-1");
            })
        .put(
            "store down for 6 s, target lost at 1 s",
            s -> {
              s.setStoreDown(true);
              s.run(NANOS_PER_SECOND);
              s.stopTarget("stock-1-2");
              s.run(5 * NANOS_PER_SECOND);
              s.setStoreDown(false);
            })
        .put(
            "host and target cut off together",
            s -> s.partition(1, List.of("host-1-2", "stock-1-2")))
        .put(
            "data centre cut off from the store",
            s -> s.partition(1, List.of(ControlSimulation.STORE)))
        .put(
            "all hosts replaced at once",
            s -> {
              for (int h = 1; h <= HOSTS; h++) {
                s.restartHost("host-1-" + h);
              }
            })
        .put(
            "all hosts replaced, store down for 6 s",
            s -> {
              s.setStoreDown(true);
              for (int h = 1; h <= HOSTS; h++) {
                s.restartHost("host-1-" + h);
              }
              s.run(6 * NANOS_PER_SECOND);
              s.setStoreDown(false);
            })
        .buildOrThrow();
  }

  private static void drain(ControlSimulation s, String target) {
    Configuration base = s.store().configuration();
    if (base != null) {
      s.accept(
          ConfigurationEditor.apply(
              base, new ConfigurationChange.DrainTarget("stock", target, true), "drain"));
    }
  }
}
