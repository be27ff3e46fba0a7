package org.cowslipmoor.testing.platform;

import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.grpc.GrpcService;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** A stand-in for the platform, run in this process; closing it stops it. */
public final class PlatformStandIn implements AutoCloseable {
  private final Server server;
  private final ScheduledExecutorService timer;

  private PlatformStandIn(Server server, ScheduledExecutorService timer) {
    this.server = server;
    this.timer = timer;
  }

  /**
   * Starts the stand-in.
   *
   * @param ip IP address to listen on
   * @param port port to listen on; 0 for any free port
   * @param seed seed of the random choices of faults
   */
  public static PlatformStandIn start(String ip, int port, long seed) {
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    KeyValueService store = new KeyValueService(timer, seed);
    Server server =
        Server.builder()
            .http(new InetSocketAddress(ip, port))
            .service(
                GrpcService.builder()
                    .addService(store)
                    .addService(new KeyValueFaultService(store))
                    .build())
            .requestTimeoutMillis(0)
            .build();
    server.start().join();
    return new PlatformStandIn(server, timer);
  }

  /** Returns the port that the stand-in listens on. */
  public int port() {
    return server.activeLocalPort();
  }

  @Override
  public void close() {
    server.stop();
    timer.shutdownNow();
  }
}
