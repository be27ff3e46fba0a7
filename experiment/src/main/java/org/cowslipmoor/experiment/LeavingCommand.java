package org.cowslipmoor.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.common.base.Splitter;
import java.io.PrintStream;
import java.util.Locale;
import org.cowslipmoor.daemon.codec.FleetCodec;
import org.cowslipmoor.testing.leaving.LeavingScenario;
import org.cowslipmoor.testing.leaving.LeavingSimulation;

/** Measures how the hosts learn of leaving targets, by the number of hosts. */
@Command(
    name = "leaving",
    description =
        "Measures how the hosts learn that targets leave and which requests still reach these, by "
            + "the number of hosts, with and without the store")
public final class LeavingCommand implements ExperimentCommand {
  @Option(name = "--hosts", description = "Numbers of hosts (default 19,102,300,1000)")
  private String hosts = "19,102,300,1000";

  @Option(name = "--seconds", description = "Virtual duration of each run (default 10)")
  private int seconds = 10;

  @Option(name = "--seed", description = "Seed of each run (default 1)")
  private long seed = 1;

  @Override
  public int run(PrintStream out) {
    out.printf(
        "%6s %6s %-9s %9s %9s %9s %9s %9s %9s %12s%n",
        "hosts",
        "store",
        "statement",
        "reached",
        "after it",
        "too late",
        "all ms",
        "messages",
        "bytes/s",
        "coord. B/s");
    for (String count : Splitter.on(',').trimResults().split(hosts)) {
      for (boolean isStoreAvailable : new boolean[] {true, false}) {
        for (LeavingScenario.Use use : LeavingScenario.Use.values()) {
          print(out, LeavingScenario.ofHosts(Integer.parseInt(count), isStoreAvailable, use));
        }
      }
    }
    return 0;
  }

  private void print(PrintStream out, LeavingScenario scenario) {
    LeavingSimulation.Result r =
        new LeavingSimulation(
                scenario,
                report -> FleetCodec.encodeReport(report).getSerializedSize(),
                state -> FleetCodec.encodeState(state).getSerializedSize(),
                seed)
            .run(seconds);
    out.printf(
        "%6d %6s %-9s %9d %9d %9d %9.0f %9d %9d %12d%n",
        scenario.hosts(),
        scenario.isStoreAvailable() ? "up" : "down",
        scenario.use().name().toLowerCase(Locale.ROOT),
        r.reached(),
        r.reachedAfterStatement(),
        r.reachedTooLate(),
        r.allKnowMillis(),
        r.messages(),
        r.bytesPerSecond(),
        r.coordinatorBytesPerSecond());
    out.flush();
  }
}
