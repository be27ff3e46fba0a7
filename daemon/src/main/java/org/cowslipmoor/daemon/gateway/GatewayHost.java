package org.cowslipmoor.daemon.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.Server;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;
import org.cowslipmoor.core.admission.TargetLoadBalancer;
import org.cowslipmoor.core.fleet.CoordinationLoad;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.range.KeyCounts;
import org.cowslipmoor.core.range.Leadership;
import org.cowslipmoor.core.range.RangeTiming;
import org.cowslipmoor.core.range.ServiceLoad;
import org.cowslipmoor.core.request.SharedRetryBudget;
import org.cowslipmoor.daemon.coordination.Coordination;
import org.cowslipmoor.daemon.coordination.FleetExchange;
import org.cowslipmoor.daemon.coordination.SharedStore;
import org.cowslipmoor.daemon.coordination.StoreView;
import org.cowslipmoor.daemon.coordination.TargetCommands;
import org.cowslipmoor.daemon.http.HttpConnections;
import org.tinylog.Logger;

/**
 * A running host that routes by the configuration of a shared store. Its tables are confined to one
 * event loop, since a host has one core.
 */
public final class GatewayHost {
  private static final String METRICS_PATH = "/metrics";
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

  /** Longest time that an unused connection to a target is kept when the target tells nothing. */
  private static final Duration IDLE_LIMIT = Duration.ofSeconds(4);

  private static final Duration CALLER_IDLE_LIMIT = Duration.ofSeconds(60);
  private static final long TICK_MS = 50;

  /** Time between reports to the coordinator, in milliseconds. */
  private static final long REPORT_MS = 250;

  private static final long CLEANING_MS = 1_000;

  /**
   * Time after which a host takes callers although it knows no configuration. Until then a refused
   * connection sends them elsewhere, and the host has its processor for its own start.
   */
  private static final long OPENING_MS = 2_500;

  /** Time for which the balancer may still send new connections to a host that is not ready. */
  private static final long BALANCER_LAG_MS = 2_800;

  /**
   * Part of the grace that is left for the requests in progress. A balancer that has no other host
   * goes on sending to one that is not ready.
   */
  private static final long LAST_REQUESTS_MS = 2_300;

  /** Part of the grace that is left for the end of the process. */
  private static final long END_MS = 500;

  private final GatewaySettings settings;
  private final EventLoop loop;
  private final SharedStore store;
  private final Gateway gateway;
  private final Coordination coordination;
  private final KeyCounts keyCounts;
  private final FleetExchange fleet;
  private final TargetLoadBalancer book;
  private final MetricsPage page;
  private final Server server;
  private final CompletableFuture<Void> configured = new CompletableFuture<>();
  private StoreView view = StoreView.unknown();
  private volatile boolean ready;
  private boolean stopping;
  private long lastTickAt = System.nanoTime();

  private GatewayHost(
      GatewaySettings settings,
      EventLoopGroup group,
      EventLoop loop,
      SharedStore store,
      TargetCommands orders,
      HeaderCodec headerCodec,
      RandomGenerator random) {
    this.settings = settings;
    this.loop = loop;
    this.store = store;
    MetricRegistry metrics = new MetricRegistry();
    HttpConnections connections = new HttpConnections(loop, CONNECT_TIMEOUT, IDLE_LIMIT);
    book = TargetLoadBalancer.create(settings.dataCentre(), random);
    keyCounts = new KeyCounts();
    SharedRetryBudget.Limits retries =
        new SharedRetryBudget.Limits(
            settings.retryShare(),
            settings.retryReserve(),
            TimeUnit.MILLISECONDS.toNanos(settings.retryWindowMillis()));
    gateway =
        new Gateway(
            () -> view, connections, headerCodec, book, keyCounts, retries, random, metrics);
    coordination =
        new Coordination(
            store,
            orders,
            Leadership.create(settings.leaseMillis(), random),
            RangeTiming.standard(
                settings.longestHoldMillis(),
                settings.leaseMillis(),
                TargetCommands.GRANT_TIMEOUT_MILLIS),
            () -> view,
            this::load,
            new CoordinationLoad(settings.linkBytesPerSecond(), settings.cores()));
    fleet =
        new FleetExchange(
            group,
            settings.host(),
            settings.dataCentre(),
            settings.linkBytesPerSecond(),
            store,
            coordination,
            () -> view,
            this::report,
            this::onFleet);
    metrics.registerGauge(
        GatewayMetric.COORDINATOR.name(), () -> coordination.isCoordinator() ? 1 : 0);
    page = new MetricsPage(metrics);
    server = server(group);
    loop.execute(() -> store.watch(this::onView));
    loop.scheduleWithFixedDelay(() -> guarded(this::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        () -> guarded(fleet::tick), REPORT_MS, REPORT_MS, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        connections::closeStale, CLEANING_MS, CLEANING_MS, TimeUnit.MILLISECONDS);
  }

  /** Starts a host; its tables and the store's and targets' calls are confined to {@code loop}. */
  public static GatewayHost start(
      GatewaySettings settings,
      EventLoopGroup group,
      EventLoop loop,
      SharedStore store,
      TargetCommands orders,
      HeaderCodec headerCodec,
      RandomGenerator random)
      throws InterruptedException {
    GatewayHost host = new GatewayHost(settings, group, loop, store, orders, headerCodec, random);
    host.fleet.listen(HostAndPort.fromString(settings.linkAddress()));
    host.configured.completeOnTimeout(null, OPENING_MS, TimeUnit.MILLISECONDS).join();
    host.server.start().join();
    Logger.info(
        "host {} of {} serves callers on {}",
        settings.host(),
        settings.dataCentre(),
        settings.callerAddress());
    return host;
  }

  /**
   * Stops the host as planned: ends readiness, hands the coordination over, serves what the
   * balancer and open connections still bring, and returns when nothing is in progress, or shortly
   * before the grace ends.
   */
  public void stop() {
    final long began = System.nanoTime();
    Logger.info("stopping");
    ready = false;
    loop.execute(
        () -> {
          stopping = true;
          gateway.stop();
          fleet.endRelay();
          coordination.resign();
        });
    CompletableFuture<Void> idle = new CompletableFuture<>();
    loop.schedule(() -> completeWhenIdle(idle), BALANCER_LAG_MS, TimeUnit.MILLISECONDS);
    loop.schedule(
        gateway::refuseNew, settings.graceMillis() - LAST_REQUESTS_MS, TimeUnit.MILLISECONDS);
    long limit = settings.graceMillis() - END_MS;
    try {
      idle.get(limit, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      Logger.warn("requests are still in progress at the end of the grace");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
    Logger.info("stopped after {} ms", (System.nanoTime() - began) / 1_000_000);
  }

  private void completeWhenIdle(CompletableFuture<Void> idle) {
    boolean closed = gateway.callers().closeIdle();
    if (closed && gateway.inProgress() == 0) {
      idle.complete(null);
    } else {
      loop.schedule(() -> completeWhenIdle(idle), TICK_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void onView(StoreView newView) {
    view = newView;
    gateway.onView(newView, System.nanoTime());
    fleet.onView(newView);
    boolean member = newView.members().contains(settings.host());
    gateway.onMembership(member);
    ready = newView.configuration() != null && member && !stopping;
    if (newView.configuration() != null) {
      configured.complete(null);
    }
  }

  private void onFleet(FleetState state) {
    gateway.onFleet(state, System.nanoTime());
  }

  private void tick() {
    long now = System.nanoTime();
    gateway.onLag(now - lastTickAt - TimeUnit.MILLISECONDS.toNanos(TICK_MS), now);
    lastTickAt = now;
    gateway.tick(now);
    coordination.tick();
    store.onRelayAvailable(gateway.fleet().relaysStore() && !coordination.isCoordinator());
    fleet.relay();
  }

  private HostReport report() {
    return new HostReport(
        keyCounts.drain(),
        book.drainSamples(),
        store.revision(),
        gateway.candidates(),
        System.nanoTime());
  }

  private ServiceLoad load(String service) {
    return fleet.load(service);
  }

  /** Runs a periodic task, whose failure must not end its repetition. */
  private static void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      Logger.error(e, "a periodic task failed");
    }
  }

  private Server server(EventLoopGroup group) {
    InetSocketAddress readyAddress = address(settings.readyAddress());
    int metricsPort = address(settings.metricsAddress()).getPort();
    GatewayService service = new GatewayService(gateway);
    return Server.builder()
        .http(address(settings.callerAddress()))
        .http(readyAddress)
        .http(address(settings.metricsAddress()))
        .workerGroup(group, false)
        .childChannelPipelineCustomizer(gateway.callers()::onAccepted)
        .serviceUnder(
            "/",
            (ctx, request) -> {
              int port = ctx.localAddress().getPort();
              if (port == readyAddress.getPort()) {
                return answerBalancer(request);
              }
              return port == metricsPort ? metrics(request) : service.serve(ctx, request);
            })
        .requestTimeoutMillis(0)
        .maxRequestLength(0)
        .idleTimeout(CALLER_IDLE_LIMIT)
        .disableServerHeader()
        .disableDateHeader()
        .build();
  }

  private HttpResponse answerBalancer(HttpRequest request) {
    if (!request.path().equals(settings.readyPath())) {
      return HttpResponse.of(HttpStatus.NOT_FOUND);
    }
    return HttpResponse.of(ready ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE);
  }

  private HttpResponse metrics(HttpRequest request) {
    return request.path().equals(METRICS_PATH)
        ? HttpResponse.of(page.render())
        : HttpResponse.of(HttpStatus.NOT_FOUND);
  }

  private static InetSocketAddress address(String text) {
    HostAndPort address = HostAndPort.fromString(text);
    return new InetSocketAddress(address.getHost(), address.getPort());
  }
}
