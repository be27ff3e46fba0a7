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

/** Shows for each kind of failure how long keys go unserved and what it costs. */
@Command(
    name = "failures",
    description =
        "Brings about each kind of failure over fakes in virtual time: time until keys are served "
            + "again, shards affected and moved, store calls; median and worst of the seeds")
public final class FailuresCommand implements ExperimentCommand {
  private static final long SECOND = 1_000_000_000L;
  private static final long WATCHED = 20 * SECOND;
  private static final int HOSTS = 4;
  private static final int TARGETS = 4;
  private static final int SHARDS = 64;

  @Option(name = "--seeds", description = "Runs of each (default 9)")
  private int seeds = 9;

  private record Result(
      double longestMillis,
      double shardSeconds,
      double affected,
      double moves,
      double writes,
      double calls,
      boolean sound,
      int unserved) {}

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
    boolean sound = true;
    for (Map.Entry<String, Consumer<ControlSimulation>> f : failures().entrySet()) {
      List<Result> results = new ArrayList<>();
      for (int seed = 1; seed <= seeds; seed++) {
        results.add(measure(f.getValue(), seed));
      }
      sound &= results.stream().allMatch(Result::sound);
      out.printf(
          "%-44s %9.0f %9.0f %9.1f %8.0f %6.0f %7.0f %8.1f %9.0f%n",
          f.getKey(),
          Medians.of(results, Result::longestMillis),
          Medians.worst(results, Result::longestMillis),
          Medians.of(results, Result::shardSeconds),
          Medians.of(results, Result::affected),
          Medians.of(results, Result::moves),
          Medians.of(results, Result::writes),
          Medians.of(results, Result::calls),
          Medians.worst(results, Result::unserved));
    }
    out.println(sound ? "no invariant was violated" : "AN INVARIANT WAS VIOLATED");
    return sound ? 0 : 1;
  }

  private static Result measure(Consumer<ControlSimulation> failure, long seed) {
    ControlSimulation simulation =
        ControlSimulation.create(
            SampleSetups.keyed(1, HOSTS, TARGETS, SHARDS, true), Timing.standard(), seed);
    simulation.run(5 * SECOND + seed * 37_000_000L);
    simulation.checker().resetMeasurements();
    long writes = simulation.store().writes();
    long calls = calls(simulation);
    failure.accept(simulation);
    simulation.run(WATCHED);
    Map<?, Long> unserved = simulation.checker().longestUnserved();
    return new Result(
        unserved.values().stream().mapToLong(Long::longValue).max().orElse(0) / 1e6,
        simulation.checker().unservedShardSeconds(),
        unserved.size(),
        simulation.checker().reassignments(),
        simulation.store().writes() - writes,
        (calls(simulation) - calls) / (WATCHED / 1e9),
        simulation.checker().violations().isEmpty(),
        simulation.checker().unserved());
  }

  private static long calls(ControlSimulation simulation) {
    return simulation.store().reads()
        + simulation.store().writes()
        + simulation.store().keepAlives();
  }

  private static Map<String, Consumer<ControlSimulation>> failures() {
    return ImmutableMap.<String, Consumer<ControlSimulation>>builder()
        .put("none", w -> {})
        .put("target lost", w -> w.stopTarget("stock-1-2"))
        .put("target frozen for 6 s", w -> w.pause("stock-1-2", 6 * SECOND))
        .put("target restarted at once", w -> w.restartTarget("stock-1-2"))
        .put("target drained", w -> drain(w, "stock-1-2"))
        .put("host lost", w -> w.stopHost("host-1-3"))
        .put("coordinator lost", w -> w.stopHost("host-1-1"))
        .put("coordinator paused for 6 s", w -> w.pause("host-1-1", 6 * SECOND))
        .put(
            "rack: coordinator and target lost",
            w -> {
              w.stopHost("host-1-1");
              w.stopTarget("stock-1-2");
            })
        .put("store down", w -> w.setStoreDown(true))
        .put(
            "store down, then coordinator lost",
            w -> {
              w.setStoreDown(true);
              w.run(2 * SECOND);
              w.stopHost("host-1-1");
            })
        .put(
            "store down for 6 s, target lost at 1 s",
            w -> {
              w.setStoreDown(true);
              w.run(SECOND);
              w.stopTarget("stock-1-2");
              w.run(5 * SECOND);
              w.setStoreDown(false);
            })
        .put(
            "host and target cut off together",
            w -> w.partition(1, List.of("host-1-2", "stock-1-2")))
        .put(
            "data centre cut off from the store",
            w -> w.partition(1, List.of(ControlSimulation.STORE)))
        .put(
            "all hosts replaced at once",
            w -> {
              for (int h = 1; h <= HOSTS; h++) {
                w.restartHost("host-1-" + h);
              }
            })
        .put(
            "all hosts replaced, store down for 6 s",
            w -> {
              w.setStoreDown(true);
              for (int h = 1; h <= HOSTS; h++) {
                w.restartHost("host-1-" + h);
              }
              w.run(6 * SECOND);
              w.setStoreDown(false);
            })
        .buildOrThrow();
  }

  private static void drain(ControlSimulation w, String target) {
    Configuration base = w.store().configuration();
    if (base != null) {
      w.accept(
          ConfigurationEditor.apply(
              base, new ConfigurationChange.DrainTarget("stock", target, true), "drain"));
    }
  }
}
