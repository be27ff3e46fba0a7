package org.cowslipmoor.daemon.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cowslipmoor.core.admission.Placement;
import org.cowslipmoor.core.admission.RequestRequirements;
import org.cowslipmoor.core.admission.TargetLoadBalancer;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.FleetSize;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.limit.MemoryBudget;
import org.cowslipmoor.core.range.KeyCounts;
import org.cowslipmoor.core.range.RangeEntry;
import org.cowslipmoor.core.request.ResultCode;
import org.cowslipmoor.core.request.SharedRetryBudget;
import org.cowslipmoor.core.routing.RoutingConfiguration;
import org.cowslipmoor.core.routing.ServiceDescription;
import org.cowslipmoor.core.routing.SplitSelector;
import org.cowslipmoor.core.selection.TargetSelector;
import org.cowslipmoor.daemon.coordination.StoreView;
import org.cowslipmoor.daemon.http.HttpConnections;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Holds the state that all requests of one host share. Confined to the host's event loop. */
public final class Gateway {
  /** Minimum delay of a periodic task at which the host is considered to lag behind its callers. */
  private static final long LAG_THRESHOLD_NANOS = 150_000_000L;

  /** Time for which the host is considered to lag after a delayed task, and after its start. */
  private static final long LAG_PERIOD_NANOS = 3_000_000_000L;

  /** Memory that the bodies of requests may occupy together. */
  private static final long MAX_BODY_MEMORY_BYTES = 24 << 20;

  private final HttpConnections connections;
  private final HeaderCodec headerCodec;
  private final TargetLoadBalancer loadBalancer;
  private final SplitSelector splits;
  private final KeyCounts keyCounts;
  private final MetricRegistry metrics;
  private final RandomGenerator random;
  private final FleetSize fleetSize = FleetSize.create(System.nanoTime());
  private final Map<String, SharedRetryBudget> budgets = new HashMap<>();
  private final RetryCounts retryCounts = new RetryCounts(System.nanoTime());
  private final TargetSelector selector;
  private final SpilloverLog spilloverLog;
  private final GatewayLog log = new GatewayLog(System.nanoTime());
  private final CallerConnections callers = new CallerConnections();
  private final MemoryBudget bodyMemory = MemoryBudget.create(MAX_BODY_MEMORY_BYTES);
  private SharedRetryBudget.Limits retryLimits;

  /** The store's view as it was read. */
  private StoreView storeView = StoreView.unknown();

  /** That view, in which the targets that are leaving are draining. */
  private StoreView view = storeView;

  private FleetState fleet = FleetState.UNKNOWN;
  private boolean member;
  private boolean stopping;
  private long stopEndsAt;
  private int inProgress;
  private long laggingUntil = System.nanoTime() + LAG_PERIOD_NANOS;

  /**
   * Creates the shared state of a host's requests.
   *
   * @param drainLimitNanos maximum time from a target's announcement that it is leaving until the
   *     last request to it
   */
  public Gateway(
      HttpConnections connections,
      HeaderCodec headerCodec,
      TargetLoadBalancer loadBalancer,
      KeyCounts keyCounts,
      SharedRetryBudget.Limits retryLimits,
      long drainLimitNanos,
      RandomGenerator random,
      MetricRegistry metrics) {
    this.selector = TargetSelector.create(loadBalancer, drainLimitNanos);
    this.connections = connections;
    this.headerCodec = headerCodec;
    this.loadBalancer = loadBalancer;
    this.splits = SplitSelector.create(random);
    this.keyCounts = keyCounts;
    this.retryLimits = retryLimits;
    this.random = random;
    this.metrics = metrics;
    this.spilloverLog = new SpilloverLog(metrics, System.nanoTime());
    gauge(GatewayMetric.IN_PROGRESS, () -> inProgress);
    gauge(GatewayMetric.RANGE_TABLE, () -> view.table().version());
    gauge(GatewayMetric.TARGETS, () -> view.directory().all().size());
    gauge(GatewayMetric.CONFIGURATION, this::configurationVersion);
    gauge(GatewayMetric.BODY_MEMORY, bodyMemory::reservedBytes);
    gauge(GatewayMetric.UNEXPECTED_BYTES, connections::unexpectedBytesCount);
  }

  /** Applies new limits on retries, from the next request on. */
  public void onRetryLimits(SharedRetryBudget.Limits limits) {
    retryLimits = limits;
    budgets.values().forEach(budget -> budget.onLimits(limits));
  }

  /** Applies a new limit on the use of targets that are leaving. */
  public void onDrainLimit(long limitNanos) {
    selector.onDrainLimit(limitNanos);
  }

  /** Applies a new view of the store. */
  public void onView(StoreView newView, long now) {
    selector.onTargets(newView.directory(), now);
    storeView = newView;
    updateView();
    fleetSize.onCount(newView.members().size(), now);
    updateConnectionLimits(now);
    closeUnusedConnections(now);
  }

  private void updateView() {
    view = storeView.withDirectory(selector.directory());
  }

  /** Records the time at which the view of the store was last known to be current. */
  public void onStoreConfirmed(long at) {
    selector.onConfirmed(at);
  }

  /** Applies the aggregated state of all hosts. */
  public void onFleetState(FleetState newState, long now) {
    fleet = newState;
    loadBalancer.onFleetState(newState, now);
    fleetSize.onCount(newState.hosts(), now);
    updateConnectionLimits(now);
  }

  private void updateConnectionLimits(long now) {
    RoutingConfiguration configuration = view.configuration();
    if (configuration != null) {
      loadBalancer.onConnectionLimits(
          ImmutableMap.copyOf(
              Maps.transformValues(configuration.services(), ServiceDescription::connectionLimit)),
          fleetSize.hosts(now));
    }
  }

  /** Returns the latest aggregated state of all hosts that this host has received. */
  public FleetState fleet() {
    return fleet;
  }

  /** Sets whether every member has approved this host. */
  public void onMembership(boolean isMember) {
    member = isMember;
  }

  /** Returns the joining hosts, all of which this host approves automatically. */
  public ImmutableSet<String> candidates() {
    return fleet.candidates();
  }

  /** Returns whether every member has approved this host. */
  boolean isMember() {
    return member;
  }

  /**
   * Starts to stop: closes each connection of a caller after its next response, and rejects new
   * requests that could still be in progress when the host ends.
   *
   * @param endsAt the time at which the host ends
   */
  public void stop(long endsAt) {
    stopping = true;
    stopEndsAt = endsAt;
  }

  /** Records the delay of a periodic task in nanoseconds. */
  public void onLag(long delayNanos, long now) {
    if (delayNanos >= LAG_THRESHOLD_NANOS) {
      Logger.info("event=lag late_by_ms={}", TimeUnit.NANOSECONDS.toMillis(delayNanos));
      laggingUntil = now + LAG_PERIOD_NANOS;
    }
  }

  /** Returns whether requests may have waited so long that their callers have disconnected. */
  boolean isLagging(long now) {
    return now - laggingUntil < 0;
  }

  /**
   * Closes the callers' connections that exceed the limits of the configuration in force, unless
   * the host has not yet read what callers sent meanwhile.
   */
  public void closeExpiredCallers(long now) {
    RoutingConfiguration configuration = view.configuration();
    if (configuration != null && !isLagging(now)) {
      callers.closeExpired(configuration.limits(), now);
    }
  }

  /** Returns the open connections of callers. */
  CallerConnections callers() {
    return callers;
  }

  /** Returns whether a request with the given deadline ends before the host does. */
  boolean endsBeforeHost(long deadlineAt) {
    return !stopping || deadlineAt - stopEndsAt <= 0;
  }

  MemoryBudget bodyMemory() {
    return bodyMemory;
  }

  /** Returns the number of requests in progress. */
  public int inProgress() {
    return inProgress;
  }

  /**
   * Assigns a request without a key to a target of its service.
   *
   * @param excluded ids of targets that must not be used
   */
  Placement assign(
      String service, Set<String> excluded, RequestRequirements requirements, long now) {
    return selector.assign(service, excluded, requirements, now);
  }

  /**
   * Assigns a request to the owner of its key.
   *
   * @return {@link Placement.NoTarget} while the key has no owner, is being transferred, or its
   *     owner has left
   */
  Placement assignToOwner(String service, int key, RequestRequirements requirements, long now) {
    Optional<TargetIncarnation> owner =
        isMoving(service, key) ? Optional.empty() : registeredOwner(service, key);
    return owner.isEmpty()
        ? new Placement.NoTarget()
        : selector.assignToOwner(owner.get(), requirements, now);
  }

  /** Returns whether a key's owner has left or drained for too long, and has no successor yet. */
  boolean hasOwnerLeft(String service, int key, long now) {
    return !isMoving(service, key)
        && registeredOwner(service, key)
            .filter(owner -> selector.hasOwnerLeft(owner, now))
            .isPresent();
  }

  private Optional<TargetIncarnation> registeredOwner(String service, int key) {
    return view.table().find(service, key).map(RangeEntry::owner);
  }

  private boolean isMoving(String service, int key) {
    return fleet.tableVersion() >= view.table().version() && fleet.isMoving(service, key);
  }

  /** Returns whether a request may still be written to a target that was chosen for it. */
  boolean mayReceive(DiscoveredTarget target, long now) {
    return selector.mayReceive(target, now);
  }

  /**
   * Closes the idle connections to targets that receive no further requests, unless a target that
   * does has the same address.
   */
  public void closeUnusedConnections(long now) {
    RoutingConfiguration configuration = view.configuration();
    ImmutableSet<String> keyedServices =
        configuration == null
            ? ImmutableSet.of()
            : configuration.services().values().stream()
                .filter(ServiceDescription::keyed)
                .map(ServiceDescription::name)
                .collect(ImmutableSet.toImmutableSet());
    selector.unusedAddresses(keyedServices, now).forEach(connections::closeIdle);
  }

  /**
   * Records that targets have stated that they are leaving; has no effect on those that are known.
   *
   * @param source how the host learnt it, for the log
   */
  public void onLeaving(Set<TargetIncarnation> targets, String source, long now) {
    recordLeaving(targets, source, null, now);
  }

  /** Records that a response states that its target is leaving. */
  void onLeavingResponse(DiscoveredTarget target, String requestId, long now) {
    recordLeaving(ImmutableSet.of(target.incarnation()), "response", requestId, now);
  }

  private void recordLeaving(
      Set<TargetIncarnation> targets, String source, @Nullable String requestId, long now) {
    boolean isAnyNew = false;
    for (TargetIncarnation target : targets) {
      if (selector.onLeaving(target, now)) {
        isAnyNew = true;
        count(GatewayMetric.LEAVING);
        log.onLeaving(target, source, requestId, storeState(target), now);
      }
    }
    if (isAnyNew) {
      updateView();
      closeUnusedConnections(now);
    }
  }

  /** Returns the targets that have stated that they are leaving. */
  public ImmutableSet<TargetIncarnation> leavingTargets() {
    return selector.leavingTargets();
  }

  /** Records that a request is about to be written to a connection. */
  void onSending(DiscoveredTarget target, String requestId, long now) {
    OptionalLong learntAt = selector.leavingSince(target.incarnation());
    if (learntAt.isEmpty()) {
      return;
    }
    long age = now - learntAt.getAsLong();
    count(GatewayMetric.SENT_TO_LEAVING);
    metrics.timer(GatewayMetric.SENT_TO_LEAVING_SECONDS.name()).update(age, TimeUnit.NANOSECONDS);
    log.onSentToLeaving(
        target.incarnation(), requestId, storeState(target.incarnation()), age, now);
  }

  /** Returns what the store says of a target, for the log. */
  private String storeState(TargetIncarnation target) {
    return storeView
        .directory()
        .find(target)
        .map(t -> t.draining() ? "draining" : "ready")
        .orElse("absent");
  }

  private long configurationVersion() {
    RoutingConfiguration c = view.configuration();
    return c == null ? 0 : c.version();
  }

  private void gauge(GatewayMetric metric, Gauge<?> gauge) {
    metrics.registerGauge(metric.name(), gauge);
  }

  void onRequestStart() {
    inProgress++;
    count(GatewayMetric.REQUESTS);
  }

  void onRequestEnd() {
    inProgress--;
  }

  boolean isStopping() {
    return stopping;
  }

  /** Returns the view of the store, in which the targets that are leaving are draining. */
  public StoreView view() {
    return view;
  }

  HttpConnections connections() {
    return connections;
  }

  GatewayLog log() {
    return log;
  }

  HeaderCodec headerCodec() {
    return headerCodec;
  }

  TargetLoadBalancer loadBalancer() {
    return loadBalancer;
  }

  SplitSelector splits() {
    return splits;
  }

  KeyCounts keyCounts() {
    return keyCounts;
  }

  /** Records the first attempt of a request. */
  void onFirstAttempt(String service, long now) {
    retryCounts.onRequest(service);
    budget(service, now).onRequest(now);
  }

  /** Takes one retry from the service's budget; returns false if none is left. */
  boolean tryAcquireRetry(String service, long now) {
    boolean allowed = budget(service, now).tryAcquire(now);
    retryCounts.onRetry(service, allowed);
    return allowed;
  }

  /** Logs the counts of retries and of requests that left the data centre if a period has ended. */
  public void tick(long now) {
    retryCounts.tick(now);
    spilloverLog.tick(loadBalancer.spilloverCounts(), now);
  }

  private SharedRetryBudget budget(String service, long now) {
    int hosts = fleetSize.hosts(now);
    SharedRetryBudget budget =
        budgets.computeIfAbsent(
            service, unused -> SharedRetryBudget.create(retryLimits, hosts, random, now));
    budget.onHostCount(hosts);
    return budget;
  }

  void count(GatewayMetric metric) {
    metrics.counter(metric.name()).inc();
  }

  void countRejection(ResultCode code) {
    metrics.counter(MetricRegistry.name(GatewayMetric.REFUSALS.name(), "" + code.number())).inc();
  }

  void recordResponse(long elapsedNanos) {
    metrics.counter(GatewayMetric.ANSWERS.name()).inc();
    metrics.timer(GatewayMetric.ANSWER_SECONDS.name()).update(elapsedNanos, TimeUnit.NANOSECONDS);
  }
}
