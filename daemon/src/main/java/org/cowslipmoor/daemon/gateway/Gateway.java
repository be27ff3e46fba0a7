package org.cowslipmoor.daemon.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cowslipmoor.core.admission.TargetLoadBalancer;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.fleet.FleetSize;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.range.KeyCounts;
import org.cowslipmoor.core.range.RangeEntry;
import org.cowslipmoor.core.request.ResultCode;
import org.cowslipmoor.core.request.SharedRetryBudget;
import org.cowslipmoor.core.routing.RoutingConfiguration;
import org.cowslipmoor.core.routing.ServiceDescription;
import org.cowslipmoor.core.routing.SplitSelector;
import org.cowslipmoor.daemon.coordination.StoreView;
import org.cowslipmoor.daemon.http.HttpConnections;
import org.tinylog.Logger;

/** What the requests of one host share. Confined to the host's event loop. */
public final class Gateway {
  /** Time for which a target that drains is still sent requests for the keys that it holds. */
  private static final long DRAIN_NANOS = 1_200_000_000L;

  /** Delay of a periodic task from which the host is taken to lag behind its callers. */
  private static final long LARGEST_LAG = 150_000_000L;

  /** Time for which the host is taken to lag after it was seen to, and after its start. */
  private static final long LAG_MEMORY = 3_000_000_000L;

  private final Supplier<StoreView> view;
  private final HttpConnections connections;
  private final HeaderCodec headerCodec;
  private final TargetLoadBalancer book;
  private final SplitSelector splits;
  private final KeyCounts keyCounts;
  private final MetricRegistry metrics;
  private final SharedRetryBudget.Limits retryTerms;
  private final RandomGenerator random;
  private final FleetSize fleetSize = FleetSize.create(System.nanoTime());
  private final Map<String, SharedRetryBudget> budgets = new HashMap<>();
  private final RetryCounts retryCounts = new RetryCounts(System.nanoTime());
  private final Map<String, Long> drainingSince = new HashMap<>();
  private final CallerConnections callers = new CallerConnections();
  private FleetState fleet = FleetState.UNKNOWN;
  private boolean member;
  private boolean stopping;
  private boolean refusing;
  private int inProgress;
  private long laggingUntil = System.nanoTime() + LAG_MEMORY;

  /** Creates the shared state of a host's requests. */
  public Gateway(
      Supplier<StoreView> view,
      HttpConnections connections,
      HeaderCodec headerCodec,
      TargetLoadBalancer book,
      KeyCounts keyCounts,
      SharedRetryBudget.Limits retryTerms,
      RandomGenerator random,
      MetricRegistry metrics) {
    this.view = view;
    this.connections = connections;
    this.headerCodec = headerCodec;
    this.book = book;
    this.splits = SplitSelector.create(random);
    this.keyCounts = keyCounts;
    this.retryTerms = retryTerms;
    this.random = random;
    this.metrics = metrics;
    gauge(GatewayMetric.IN_PROGRESS, () -> inProgress);
    gauge(GatewayMetric.RANGE_TABLE, () -> view.get().table().version());
    gauge(GatewayMetric.TARGETS, () -> view.get().directory().all().size());
    gauge(GatewayMetric.CONFIGURATION, this::configurationVersion);
  }

  /** Takes what the store newly says. */
  public void onView(StoreView newView, long now) {
    Map<String, DiscoveredTarget> all = newView.directory().all();
    book.retain(all.keySet());
    fleetSize.onCount(newView.members().size(), now);
    shareConnections(now);
    drainingSince.keySet().retainAll(all.keySet());
    for (DiscoveredTarget t : all.values()) {
      if (t.draining()) {
        drainingSince.putIfAbsent(t.id(), now);
      } else {
        drainingSince.remove(t.id());
      }
    }
  }

  /** Takes what all hosts together have seen. */
  public void onFleet(FleetState newState, long now) {
    fleet = newState;
    book.onFleetState(newState, now);
    fleetSize.onCount(newState.hosts(), now);
    shareConnections(now);
  }

  private void shareConnections(long now) {
    RoutingConfiguration configuration = view.get().configuration();
    if (configuration != null) {
      book.onConnectionLimits(
          ImmutableMap.copyOf(
              Maps.transformValues(configuration.services(), ServiceDescription::connectionLimit)),
          fleetSize.hosts(now));
    }
  }

  /** Returns what all hosts together have seen, as it was last told. */
  public FleetState fleet() {
    return fleet;
  }

  /** Notes whether every member has approved this host. */
  public void onMembership(boolean isMember) {
    member = isMember;
  }

  /** Returns the joining hosts, each of which this host approves without a person. */
  public ImmutableSet<String> candidates() {
    return fleet.candidates();
  }

  boolean isMember() {
    return member;
  }

  /** Ends each connection of a caller with its next answer, since the host is about to stop. */
  public void stop() {
    stopping = true;
  }

  /** Notes by how many nanoseconds a periodic task came too late. */
  public void onLag(long nanos, long now) {
    if (nanos >= LARGEST_LAG) {
      Logger.info("event=lag late_by_ms={}", TimeUnit.NANOSECONDS.toMillis(nanos));
      laggingUntil = now + LAG_MEMORY;
    }
  }

  /** Tells whether requests may have waited here for so long that their callers have left. */
  boolean isLagging(long now) {
    return now - laggingUntil < 0;
  }

  /** Returns the open connections of callers. */
  CallerConnections callers() {
    return callers;
  }

  /** Refuses new requests from now on, so that those in progress can end within the grace. */
  public void refuseNew() {
    refusing = true;
  }

  boolean isRefusing() {
    return refusing;
  }

  /** Returns the number of requests in progress. */
  public int inProgress() {
    return inProgress;
  }

  /**
   * Returns the target that may be sent requests for a key; empty while no target holds it for
   * sure.
   */
  Optional<DiscoveredTarget> owner(String service, int key, long now) {
    StoreView v = view.get();
    if (fleet.tableVersion() >= v.table().version() && fleet.isMoving(service, key)) {
      return Optional.empty();
    }
    TargetDirectory directory = v.directory();
    return v.table()
        .find(service, key)
        .map(RangeEntry::owner)
        .flatMap(directory::find)
        .filter(t -> !t.draining() || now - drainingSince.getOrDefault(t.id(), now) < DRAIN_NANOS);
  }

  private long configurationVersion() {
    RoutingConfiguration c = view.get().configuration();
    return c == null ? 0 : c.version();
  }

  private void gauge(GatewayMetric metric, Gauge<?> gauge) {
    metrics.registerGauge(metric.name(), gauge);
  }

  void begin() {
    inProgress++;
    count(GatewayMetric.REQUESTS);
  }

  void end() {
    inProgress--;
  }

  boolean isStopping() {
    return stopping;
  }

  StoreView view() {
    return view.get();
  }

  HttpConnections connections() {
    return connections;
  }

  HeaderCodec headerCodec() {
    return headerCodec;
  }

  TargetLoadBalancer book() {
    return book;
  }

  SplitSelector splits() {
    return splits;
  }

  KeyCounts keyCounts() {
    return keyCounts;
  }

  /** Notes a request's first attempt. */
  void onRequest(String service, long now) {
    retryCounts.onRequest(service);
    budget(service, now).onRequest(now);
  }

  /** Takes one retry from the service's budget; returns whether there was one. */
  boolean tryRetry(String service, long now) {
    boolean allowed = budget(service, now).tryAcquire(now);
    retryCounts.onRetry(service, allowed);
    return allowed;
  }

  /** Writes the log lines that are due. */
  public void tick(long now) {
    retryCounts.tick(now);
  }

  private SharedRetryBudget budget(String service, long now) {
    int hosts = fleetSize.hosts(now);
    SharedRetryBudget budget =
        budgets.computeIfAbsent(
            service, unused -> SharedRetryBudget.create(retryTerms, hosts, random, now));
    budget.onHostCount(hosts);
    return budget;
  }

  void count(GatewayMetric metric) {
    metrics.counter(metric.name()).inc();
  }

  void countRefusal(ResultCode code) {
    metrics.counter(MetricRegistry.name(GatewayMetric.REFUSALS.name(), "" + code.number())).inc();
  }

  void noteAnswer(long nanos) {
    metrics.counter(GatewayMetric.ANSWERS.name()).inc();
    metrics.timer(GatewayMetric.ANSWER_SECONDS.name()).update(nanos, TimeUnit.NANOSECONDS);
  }
}
