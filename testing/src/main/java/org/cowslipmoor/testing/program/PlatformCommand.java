package org.cowslipmoor.testing.program;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.concurrent.CountDownLatch;
import org.cowslipmoor.testing.platform.PlatformStandIn;

/** Runs the stand-in for the platform until the process is terminated. */
@Command(name = "platform", description = "Runs the stand-in for the platform's service")
public final class PlatformCommand implements ProgramCommand {
  @Option(name = "--ip", description = "IP address to listen on")
  private String ip = "127.0.0.1";

  @Option(name = "--port", description = "Port to listen on")
  private int port = 7400;

  @Option(name = "--seed", description = "Seed of the faults' random choices")
  private long seed = 1;

  @Override
  public int run() throws InterruptedException {
    try (PlatformStandIn standIn = PlatformStandIn.start(ip, port, seed)) {
      System.err.println("platform stand-in listens on " + ip + ":" + standIn.port());
      new CountDownLatch(1).await();
    }
    return 0;
  }
}
