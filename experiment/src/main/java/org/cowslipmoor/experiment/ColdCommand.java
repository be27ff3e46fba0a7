package org.cowslipmoor.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.common.base.Splitter;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.cowslipmoor.core.coldstart.Allowance;
import org.cowslipmoor.core.coldstart.AllowanceRequest;
import org.cowslipmoor.daemon.codec.FleetCodec;
import org.cowslipmoor.schema.member.Envelope;
import org.cowslipmoor.testing.coldstart.ColdStartScenario;
import org.cowslipmoor.testing.coldstart.ColdStartScenario.Start;
import org.cowslipmoor.testing.coldstart.ColdStartScenario.Variant;
import org.cowslipmoor.testing.coldstart.ColdStartSimulation;

/** Measures the requests to cold targets and the traffic for them, by the number of hosts. */
@Command(
    name = "cold",
    description =
        "Measures the requests to cold targets in a second, and the traffic of the allowances for "
            + "them, by the number of hosts")
public final class ColdCommand implements ExperimentCommand {
  /** Bytes that precede each frame on a link. */
  private static final int LENGTH_BYTES = 4;

  @Option(name = "--hosts", description = "Numbers of hosts (default 19,102,300,1000)")
  private String hosts = "19,102,300,1000";

  @Option(name = "--rate", description = "Requests per second and host (default 20)")
  private double rate = 20;

  @Option(name = "--seconds", description = "Virtual duration of each run (default 10)")
  private int seconds = 10;

  @Option(name = "--seed", description = "Seed of each run (default 1)")
  private long seed = 1;

  @Override
  public int run(PrintStream out) {
    out.printf(
        "%6s %6s %6s %-9s %9s %9s %9s %9s %9s %9s %12s%n",
        "hosts",
        "start",
        "keyed",
        "variant",
        "busiest",
        "cold",
        "served",
        "rejected",
        "first ms",
        "bytes/s",
        "coord. B/s");
    for (String count : Splitter.on(',').trimResults().split(hosts)) {
      int h = Integer.parseInt(count);
      for (boolean keyed : new boolean[] {false, true}) {
        for (Start start : List.of(Start.THIRD, Start.ALL)) {
          for (Variant variant : List.of(Variant.NO_LIMIT, Variant.CORRECT)) {
            print(out, new ColdStartScenario(h, 7 * h / 10, rate, keyed, start, variant));
          }
        }
      }
    }
    return 0;
  }

  private void print(PrintStream out, ColdStartScenario scenario) {
    ColdStartSimulation.Result r =
        new ColdStartSimulation(scenario, ColdCommand::bytes, ColdCommand::bytes, seed)
            .run(seconds);
    out.printf(
        "%6d %6s %6s %-9s %9d %9d %9d %9d %9d %9d %12d%n",
        scenario.hosts(),
        scenario.start().name().toLowerCase(Locale.ROOT),
        scenario.keyed(),
        scenario.variant().name().toLowerCase(Locale.ROOT),
        r.busiest(),
        r.reachedCold(),
        r.served(),
        r.rejected(),
        r.firstWorkMillis(),
        r.bytesPerSecond(),
        r.coordinatorBytesPerSecond());
    out.flush();
  }

  private static int bytes(AllowanceRequest request) {
    return LENGTH_BYTES
        + Envelope.newBuilder()
            .setColdAllowanceRequest(FleetCodec.encodeAllowanceRequest(request))
            .build()
            .getSerializedSize();
  }

  private static int bytes(Allowance allowance) {
    return LENGTH_BYTES
        + Envelope.newBuilder()
            .setColdAllowance(FleetCodec.encodeAllowance(allowance))
            .build()
            .getSerializedSize();
  }
}
