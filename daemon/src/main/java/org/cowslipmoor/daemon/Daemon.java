package org.cowslipmoor.daemon;

import static com.google.common.base.Preconditions.checkState;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.grpc.GrpcService;
import com.linecorp.armeria.server.healthcheck.HealthCheckService;
import com.linecorp.armeria.server.healthcheck.SettableHealthChecker;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.cowslipmoor.core.control.HostController;
import org.cowslipmoor.core.control.HostIdentity;
import org.cowslipmoor.core.control.Timing;
import org.cowslipmoor.core.request.RetryBudget;
import org.cowslipmoor.daemon.caller.CallerDrain;
import org.cowslipmoor.daemon.caller.CallerService;
import org.cowslipmoor.daemon.caller.HostSelector;
import org.cowslipmoor.daemon.caller.RequestDependencies;
import org.cowslipmoor.daemon.member.MemberLinks;
import org.cowslipmoor.daemon.operator.MetricsService;
import org.cowslipmoor.daemon.operator.OperatorService;
import org.cowslipmoor.daemon.operator.StateDump;
import org.cowslipmoor.daemon.platform.GrpcPlatformStore;
import org.cowslipmoor.daemon.platform.PlatformStore;
import org.cowslipmoor.daemon.target.RequestSender;
import org.cowslipmoor.daemon.target.TargetControlClient;
import org.cowslipmoor.daemon.target.TargetLimiter;
import org.cowslipmoor.schema.member.Hello;
import org.tinylog.Logger;

/** A running entry host with all its components. */
public final class Daemon implements AutoCloseable {
  private static final int WORKERS = 2;
  private static final int REQUEST_LOOPS = 2;
  private static final long EXPIRY_INTERVAL_MILLIS = 20;
  private static final double RETRY_FRACTION = 0.1;
  private static final double RETRY_RESERVE = 50;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  /** Time between pings of an idle connection; a connection without a response is replaced. */
  private static final Duration PING_INTERVAL = Duration.ofSeconds(1);

  /** Time for which a closing server may still write responses that are complete. */
  private static final long FINAL_RESPONSE_MILLIS = 1_000;

  private final ScheduledExecutorService workers;
  private final ClientFactory requestConnections;
  private final ClientFactory controlConnections;
  private final PlatformStore store;
  private final MemberLinks links;
  private final ControlLoop loop;
  private final CallerDrain drain = new CallerDrain();
  private final Duration balancerLag;
  private final Duration stopLimit;
  private final SettableHealthChecker ready;
  private final Server callers;
  private final Server operators;
  private boolean stopping;

  private Daemon(DaemonSettings settings) {
    final long now = System.nanoTime();
    final MetricRegistry metrics = new MetricRegistry();
    balancerLag = settings.balancerLag();
    stopLimit = settings.stopLimit();
    workers = Executors.newScheduledThreadPool(WORKERS);
    requestConnections = connections(REQUEST_LOOPS);
    controlConnections = connections(1);
    store = GrpcPlatformStore.create(settings.platform().toString(), settings.setup());
    HostIdentity identity =
        new HostIdentity(settings.id(), settings.dataCentre(), UUID.randomUUID().toString());
    HostController controller =
        HostController.create(identity, Timing.standard(), RandomGenerator.getDefault(), now);
    ShardActivity activity = new ShardActivity(now);
    TargetControlClient targetControl = new TargetControlClient(controlConnections);
    TargetLimiter limiter = new TargetLimiter();
    loop =
        new ControlLoop(
            controller,
            settings,
            store,
            targetControl,
            activity,
            workers,
            limiter::onOwnersChanged);
    Hello hello =
        Hello.newBuilder()
            .setSetup(settings.setup())
            .setMemberId(settings.id())
            .setDataCentre(settings.dataCentre())
            .build();
    links = new MemberLinks(hello, loop::memberAddress, loop);
    RequestDependencies dependencies =
        new RequestDependencies(
            loop::view,
            new RequestSender(requestConnections),
            limiter,
            new HostSelector(new SplittableRandom()),
            drain,
            activity,
            RetryBudget.of(RETRY_FRACTION, RETRY_RESERVE),
            new Semaphore(settings.waitingLimit()),
            workers,
            metrics);
    ready = new SettableHealthChecker(false);
    callers = callerServer(settings, dependencies);
    StateDump dump = new StateDump(settings, identity, loop, links, metrics);
    OperatorService operator =
        new OperatorService(store, loop, settings.dataCentre(), dump, workers, controlConnections);
    operators = operatorServer(settings, operator, metrics);
    loop.start(links);
    loop.ready().thenRun(this::becomeReady);
    workers.scheduleWithFixedDelay(
        () -> limiter.expire(System.nanoTime()),
        EXPIRY_INTERVAL_MILLIS,
        EXPIRY_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Starts a host.
   *
   * @throws InterruptedException if the thread is interrupted while the ports are opened
   */
  public static Daemon start(DaemonSettings settings) throws InterruptedException {
    Daemon daemon = new Daemon(settings);
    daemon.links.listen(settings.ip(), settings.memberPort());
    daemon.operators.start().join();
    daemon.callers.start().join();
    Logger.info(
        "host {} of {} serves callers on {}, operators on {}, members on {}",
        settings.id(),
        settings.dataCentre(),
        settings.callerPort(),
        settings.operatorPort(),
        settings.memberPort());
    return daemon;
  }

  /**
   * Stops gracefully: ends readiness, serves the requests that the balancer still sends during its
   * lag, waits for the requests in progress, then closes everything.
   *
   * @throws IllegalStateException if requests were still in progress at the stop limit and were cut
   *     off
   */
  @Override
  public void close() {
    endReadiness();
    drain.rejectForwarded();
    loop.resign();
    Executor afterLag = delayed(balancerLag);
    CompletableFuture<Void> idle =
        CompletableFuture.supplyAsync(drain::rejectAll, afterLag)
            .thenCompose(Function.identity())
            .orTimeout(stopLimit.toMillis(), TimeUnit.MILLISECONDS);
    final boolean finished = awaitIdle(idle);
    callers.stop().join();
    operators.stop();
    links.close();
    store.close();
    workers.shutdownNow();
    requestConnections.closeAsync();
    controlConnections.closeAsync();
    checkState(finished, "requests were still in progress after %s", stopLimit);
  }

  private synchronized void becomeReady() {
    if (!stopping) {
      ready.setHealthy(true);
    }
  }

  private synchronized void endReadiness() {
    stopping = true;
    ready.setHealthy(false);
  }

  private static Executor delayed(Duration delay) {
    return CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static boolean awaitIdle(CompletableFuture<Void> idle) {
    try {
      idle.join();
      return true;
    } catch (CompletionException e) {
      Logger.warn("requests were still in progress at the stop limit");
      return false;
    }
  }

  private Server callerServer(DaemonSettings settings, RequestDependencies dependencies) {
    return Server.builder()
        .http(new InetSocketAddress(settings.ip(), settings.callerPort()))
        .service("/health/ready", HealthCheckService.of(ready))
        .service("/health/live", HealthCheckService.of())
        .serviceUnder("/", new CallerService(dependencies))
        .maxRequestLength(0)
        .gracefulShutdownTimeoutMillis(0, FINAL_RESPONSE_MILLIS)
        .build();
  }

  private static Server operatorServer(
      DaemonSettings settings, OperatorService operator, MetricRegistry metrics) {
    return Server.builder()
        .http(new InetSocketAddress(settings.ip(), settings.operatorPort()))
        .service(GrpcService.builder().addService(operator).build())
        .service("/metrics", new MetricsService(metrics))
        .gracefulShutdownTimeoutMillis(0, FINAL_RESPONSE_MILLIS)
        .build();
  }

  private static ClientFactory connections(int loops) {
    return ClientFactory.builder()
        .workerGroup(loops)
        .connectTimeout(CONNECT_TIMEOUT)
        .pingInterval(PING_INTERVAL)
        .idleTimeout(Duration.ofMinutes(1))
        .build();
  }
}
