package org.cowslipmoor.testing.program;

import static com.google.common.base.Preconditions.checkArgument;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.concurrent.CountDownLatch;
import org.cowslipmoor.testing.target.TargetSettings;
import org.cowslipmoor.testing.target.TargetStandIn;

/** Runs stand-ins for targets until the process is terminated. */
@Command(name = "target", description = "Runs stand-ins for targets with the same settings")
public final class TargetCommand implements ProgramCommand {
  private static final int MAX_COUNT = 100;

  @Option(name = "--id", description = "Id of the target")
  private String id = "target";

  @Option(name = "--ip", description = "IP address to listen on")
  private String ip = "127.0.0.1";

  @Option(name = "--port", description = "Port to listen on")
  private int port = 7500;

  @Option(
      name = "--count",
      description =
          "Number of targets to run, on consecutive ports from --port (default 1, at most 100)")
  private int count = 1;

  @Option(name = "--slots", description = "Maximum number of requests in progress")
  private int slots = 4;

  @Option(
      name = "--queue",
      description = "Maximum number of queued requests; further ones are shed")
  private int queue = 64;

  @Option(name = "--connections", description = "Maximum number of connections")
  private int connections = 230;

  @Option(
      name = "--checks-grants",
      description = "Whether to reject requests that no grant covers: true or false")
  private String checksGrants = "true";

  @Option(
      name = "--work-micros",
      description = "Mean processing time of a request, in microseconds")
  private int workMicros = 2_000;

  @Option(name = "--seed", description = "Seed of the processing times")
  private long seed = 1;

  @Override
  public int run() throws InterruptedException {
    checkArgument(count >= 1 && count <= MAX_COUNT, "count must be 1 to 100, but is %s", count);
    for (int i = 0; i < count; i++) {
      TargetStandIn standIn = TargetStandIn.start(settings(i));
      System.err.println("target stand-in " + id + " listens on " + ip + ":" + standIn.port());
    }
    new CountDownLatch(1).await();
    return 0;
  }

  private TargetSettings settings(int index) {
    return new TargetSettings(
        id,
        ip,
        port + index,
        slots,
        queue,
        connections,
        Boolean.parseBoolean(checksGrants),
        workMicros,
        seed + index);
  }
}
