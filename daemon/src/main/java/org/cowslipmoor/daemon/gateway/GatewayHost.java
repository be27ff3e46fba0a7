package org.cowslipmoor.daemon.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.Server;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
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
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.core.range.RangeTiming;
import org.cowslipmoor.core.range.ServiceLoad;
import org.cowslipmoor.core.request.SharedRetryBudget;
import org.cowslipmoor.daemon.coordination.Coordination;
import org.cowslipmoor.daemon.coordination.FleetExchange;
import org.cowslipmoor.daemon.coordination.SharedStore;
import org.cowslipmoor.daemon.coordination.StoreView;
import org.cowslipmoor.daemon.coordination.TargetCommands;
import org.cowslipmoor.daemon.http.HttpConnections;
import org.cowslipmoor.daemon.settings.GatewaySettings;
import org.cowslipmoor.daemon.settings.SettingsMonitor;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * A running host that routes requests by the configuration in a shared store. Its state is confined
 * to one event loop, because a host has one core.
 */
public final class GatewayHost {
  private static final String METRICS_PATH = "/metrics";
  private static final String SETTINGS_PATH = "/settings";
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

  /** Maximum idle time of a connection to a target that does not specify one. */
  private static final Duration TARGET_IDLE_TIMEOUT = Duration.ofSeconds(4);

  /** Longest head of a request that is read; the configuration's limit is checked afterwards. */
  private static final int MAX_HEAD_BYTES = 65_536;

  /**
   * Size of the buffer of a caller's connection. By default it grows to 4 MB, so that a caller that
   * reads 400 KB/s would show no progress for 3 s, as one that doesn't read.
   */
  private static final int CALLER_SEND_BUFFER_BYTES = 262_144;

  private static final long TICK_INTERVAL_MILLIS = 50;

  /** Interval between reports to the coordinator. */
  private static final long REPORT_INTERVAL_MILLIS = 250;

  private static final long CLEANUP_INTERVAL_MILLIS = 1_000;

  /**
   * Maximum time that a host waits for its configuration before it accepts connections from
   * callers. Until then callers are refused a connection and go to other hosts, and the CPU is
   * available for startup.
   */
  private static final long MAX_CONFIGURATION_WAIT_MILLIS = 2_500;

  /**
   * Time for which the load balancer in front of the hosts may still send new connections to a host
   * that is not ready.
   */
  private static final long BALANCER_LAG_MILLIS = 2_800;

  /** Time before the end of the grace period that is reserved for the exit of the process. */
  private static final long EXIT_RESERVE_MILLIS = 500;

  private final EventLoop loop;
  private final SharedStore store;
  private final Gateway gateway;
  private final Coordination coordination;
  private final KeyCounts keyCounts;
  private final FleetExchange fleet;
  private final TargetLoadBalancer loadBalancer;
  private final MetricRegistry metrics = new MetricRegistry();
  private final MetricsPage metricsPage;
  private final Server server;
  private final CompletableFuture<Void> configured = new CompletableFuture<>();
  private volatile GatewaySettings settings;
  private volatile @Nullable SettingsMonitor settingsMonitor;
  private volatile boolean ready;
  private boolean stopping;
  private long lastTickAt = System.nanoTime();

  private GatewayHost(
      GatewaySettings settings,
      EventLoopGroup group,
      EventLoop loop,
      SharedStore store,
      TargetCommands commands,
      HeaderCodec headerCodec,
      RandomGenerator random) {
    this.settings = settings;
    this.loop = loop;
    this.store = store;
    HttpConnections connections = new HttpConnections(loop, CONNECT_TIMEOUT, TARGET_IDLE_TIMEOUT);
    loadBalancer = TargetLoadBalancer.create(settings.dataCentre(), settings.host(), random);
    keyCounts = new KeyCounts();
    gateway =
        new Gateway(
            connections,
            headerCodec,
            loadBalancer,
            keyCounts,
            retryLimits(settings),
            TimeUnit.MILLISECONDS.toNanos(settings.drainMillis()),
            random,
            metrics);
    gateway.onTargetLimits(settings.targetLimits(), System.nanoTime());
    coordination =
        new Coordination(
            settings.host(),
            store,
            commands,
            Leadership.create(settings.leaseMillis(), random),
            RangeTiming.standard(
                settings.maxHoldMillis(),
                settings.leaseMillis(),
                TargetCommands.GRANT_TIMEOUT_MILLIS),
            gateway::view,
            this::serviceLoad,
            new CoordinationLoad(settings.linkBytesPerSecond(), settings.cores()));
    fleet =
        new FleetExchange(
            group,
            settings.host(),
            settings.dataCentre(),
            settings.linkBytesPerSecond(),
            store,
            coordination,
            gateway::view,
            this::createReport,
            this::onFleetState,
            (target, from) -> gateway.onLeaving(ImmutableSet.of(target), from, System.nanoTime()));
    gateway.onAllowanceRequests(fleet::ask);
    fleet.onAllowances(gateway);
    coordination.onColdTargets(() -> gateway.coldTargets(System.nanoTime()));
    commands.onLeaving(
        target -> gateway.onLeaving(ImmutableSet.of(target), "command", System.nanoTime()));
    metrics.registerGauge(
        GatewayMetric.COORDINATOR.name(), () -> coordination.isCoordinator() ? 1 : 0);
    metrics.registerGauge(GatewayMetric.STORE_ERA.name(), store::era);
    metrics.registerGauge(GatewayMetric.RESTORATIONS.name(), coordination::restorations);
    metrics.registerGauge(GatewayMetric.KEYS_HELD_SECONDS.name(), coordination::heldSeconds);
    metricsPage = new MetricsPage(metrics);
    server = server(group);
    loop.execute(() -> store.watch(this::onView));
    loop.scheduleWithFixedDelay(
        () -> runLoggingFailures(this::tick),
        TICK_INTERVAL_MILLIS,
        TICK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        () -> runLoggingFailures(fleet::tick),
        REPORT_INTERVAL_MILLIS,
        REPORT_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        () ->
            runLoggingFailures(
                () -> {
                  connections.closeStale();
                  gateway.closeUnusedConnections(System.nanoTime());
                  gateway.closeExpiredCallers(System.nanoTime());
                }),
        CLEANUP_INTERVAL_MILLIS,
        CLEANUP_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Starts a host. Its state and its calls to the store and the targets are confined to {@code
   * loop}.
   */
  public static GatewayHost start(
      GatewaySettings settings,
      EventLoopGroup group,
      EventLoop loop,
      SharedStore store,
      TargetCommands commands,
      HeaderCodec headerCodec,
      RandomGenerator random)
      throws InterruptedException {
    GatewayHost host = new GatewayHost(settings, group, loop, store, commands, headerCodec, random);
    host.fleet.listen(HostAndPort.fromString(settings.peerAddress()));
    host.configured
        .completeOnTimeout(null, MAX_CONFIGURATION_WAIT_MILLIS, TimeUnit.MILLISECONDS)
        .join();
    host.server.start().join();
    Logger.info(
        "host {} in data centre {} accepts callers on {}",
        settings.host(),
        settings.dataCentre(),
        settings.callerAddress());
    return host;
  }

  /** Shows the settings of a monitor under {@code /settings} and in the metrics. */
  public void showSettings(SettingsMonitor monitor) {
    settingsMonitor = monitor;
    metrics.registerGauge(
        GatewayMetric.SETTINGS_AGE.name(),
        () -> TimeUnit.NANOSECONDS.toSeconds(monitor.age(System.nanoTime())));
    metrics.registerGauge(GatewayMetric.SETTINGS_REJECTED.name(), monitor::rejections);
    metrics.registerGauge(GatewayMetric.SETTINGS_CONTENT.name(), monitor::contentHash);
    metrics.registerGauge(GatewayMetric.SETTINGS_PENDING.name(), () -> monitor.pending().size());
  }

  /**
   * Applies changed settings, of which those that need a restart are ignored. Requests in progress
   * are not affected. Must be called on the host's event loop.
   */
  public void onSettings(GatewaySettings newSettings) {
    settings = newSettings;
    gateway.onRetryLimits(retryLimits(newSettings));
    gateway.onDrainLimit(TimeUnit.MILLISECONDS.toNanos(newSettings.drainMillis()));
    gateway.onTargetLimits(newSettings.targetLimits(), System.nanoTime());
  }

  private static SharedRetryBudget.Limits retryLimits(GatewaySettings settings) {
    return new SharedRetryBudget.Limits(
        settings.retryRatio(),
        settings.retrySlack(),
        TimeUnit.MILLISECONDS.toNanos(settings.retryWindowMillis()));
  }

  /**
   * Stops the host gracefully: reports it as not ready, resigns as coordinator, serves the requests
   * that still arrive from the load balancer and on open connections, and returns when none is in
   * progress, or shortly before the grace period ends.
   */
  public void stop() {
    final long startedAt = System.nanoTime();
    final long timeoutMillis = settings.graceMillis() - EXIT_RESERVE_MILLIS;
    Logger.info("stopping");
    ready = false;
    loop.execute(
        () -> {
          stopping = true;
          gateway.stop(startedAt + TimeUnit.MILLISECONDS.toNanos(timeoutMillis));
          fleet.endRelay();
          coordination.resign();
        });
    CompletableFuture<Void> idle = new CompletableFuture<>();
    loop.schedule(() -> completeWhenIdle(idle), BALANCER_LAG_MILLIS, TimeUnit.MILLISECONDS);
    try {
      idle.get(timeoutMillis, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      Logger.warn("requests are still in progress near the end of the grace period");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
    Logger.info("the host stopped after {} ms", (System.nanoTime() - startedAt) / 1_000_000);
  }

  private void completeWhenIdle(CompletableFuture<Void> idle) {
    boolean allClosed = gateway.callers().closeIdle();
    if (allClosed && gateway.inProgress() == 0) {
      idle.complete(null);
    } else {
      loop.schedule(() -> completeWhenIdle(idle), TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void onView(StoreView newView) {
    gateway.onView(newView, System.nanoTime());
    fleet.onView(newView);
    boolean isMember = newView.members().contains(settings.host());
    gateway.onMembership(isMember);
    ready = newView.configuration() != null && isMember && !stopping;
    if (newView.configuration() != null) {
      configured.complete(null);
    }
  }

  private void onFleetState(FleetState state) {
    long now = System.nanoTime();
    gateway.onFleetState(state, now);
    gateway.onLeaving(state.leaving(), "coordinator", now);
  }

  private void tick() {
    long now = System.nanoTime();
    gateway.onLag(now - lastTickAt - TimeUnit.MILLISECONDS.toNanos(TICK_INTERVAL_MILLIS), now);
    lastTickAt = now;
    gateway.onStoreConfirmed(store.confirmedAt());
    gateway.tick(now);
    coordination.tick();
    store.onRelayAvailable(gateway.fleet().relaysStore() && !coordination.isCoordinator());
    fleet.relay();
  }

  private HostReport createReport() {
    RangeTable table = coordination.records().table();
    return new HostReport(
        keyCounts.drain(),
        loadBalancer.drainSamples(),
        new HostReport.StoreKnowledge(store.place(), table.version(), table.lastFence()),
        gateway.candidates(),
        gateway.leavingTargets(),
        System.nanoTime(),
        settings.dataCentre());
  }

  private ServiceLoad serviceLoad(String service) {
    return fleet.load(service);
  }

  /** Runs a periodic task and logs its exceptions, which would otherwise cancel the schedule. */
  private static void runLoggingFailures(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      Logger.error(e, "a periodic task failed");
    }
  }

  private Server server(EventLoopGroup group) {
    InetSocketAddress readyAddress = parseAddress(settings.readyAddress());
    int metricsPort = parseAddress(settings.metricsAddress()).getPort();
    GatewayService service = new GatewayService(gateway);
    return Server.builder()
        .http(parseAddress(settings.callerAddress()))
        .http(readyAddress)
        .http(parseAddress(settings.metricsAddress()))
        .workerGroup(group, false)
        .childChannelOption(ChannelOption.SO_SNDBUF, CALLER_SEND_BUFFER_BYTES)
        .childChannelPipelineCustomizer(this::onAccepted)
        .serviceUnder(
            "/",
            (ctx, request) -> {
              int port = ctx.localAddress().getPort();
              if (port == readyAddress.getPort()) {
                return checkReadiness(request);
              }
              return port == metricsPort ? serveMetrics(request) : service.serve(ctx, request);
            })
        .requestTimeoutMillis(0)
        .maxRequestLength(0)
        .idleTimeoutMillis(0)
        .http1MaxHeaderSize(MAX_HEAD_BYTES)
        .http1MaxInitialLineLength(MAX_HEAD_BYTES)
        .unloggedExceptionsReportIntervalMillis(0)
        .disableServerHeader()
        .disableDateHeader()
        .build();
  }

  private void onAccepted(ChannelPipeline pipeline) {
    int port = ((InetSocketAddress) pipeline.channel().localAddress()).getPort();
    boolean isForRequests = port == parseAddress(settings.callerAddress()).getPort();
    gateway.callers().onAccepted(pipeline, isForRequests);
  }

  private HttpResponse checkReadiness(HttpRequest request) {
    if (!request.path().equals(settings.readyPath())) {
      return HttpResponse.of(HttpStatus.NOT_FOUND);
    }
    return HttpResponse.of(ready ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE);
  }

  private HttpResponse serveMetrics(HttpRequest request) {
    SettingsMonitor monitor = settingsMonitor;
    return switch (request.path()) {
      case METRICS_PATH -> HttpResponse.of(metricsPage.render());
      case SETTINGS_PATH ->
          monitor == null
              ? HttpResponse.of(HttpStatus.NOT_FOUND)
              : HttpResponse.of(monitor.describe(System.nanoTime()));
      default -> HttpResponse.of(HttpStatus.NOT_FOUND);
    };
  }

  private static InetSocketAddress parseAddress(String text) {
    HostAndPort address = HostAndPort.fromString(text);
    return new InetSocketAddress(address.getHost(), address.getPort());
  }
}
