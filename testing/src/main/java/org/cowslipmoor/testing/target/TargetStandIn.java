package org.cowslipmoor.testing.target;

import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.grpc.GrpcService;
import java.net.InetSocketAddress;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** A stand-in for one target, run in this process; closing it stops it. */
public final class TargetStandIn implements AutoCloseable {
  private static final int TIMER_THREADS = 2;

  private final Server server;
  private final ScheduledExecutorService timer;

  private TargetStandIn(Server server, ScheduledExecutorService timer) {
    this.server = server;
    this.timer = timer;
  }

  /** Starts the stand-in. */
  public static TargetStandIn start(TargetSettings settings) {
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);
    TargetRequestExecutor executor =
        new TargetRequestExecutor(settings, UUID.randomUUID().toString(), timer);
    Server server =
        Server.builder()
            .http(new InetSocketAddress(settings.ip(), settings.port()))
            .service(
                GrpcService.builder().addService(new TargetControlService(executor, timer)).build())
            .serviceUnder("/", new TargetRequestService(executor, timer))
            .maxNumConnections(settings.connections())
            .maxRequestLength(0)
            .requestTimeoutMillis(0)
            .build();
    server.start().join();
    return new TargetStandIn(server, timer);
  }

  /** Returns the port that the stand-in listens on. */
  public int port() {
    return server.activeLocalPort();
  }

  @Override
  public void close() {
    server.stop().join();
    timer.shutdownNow();
  }
}
