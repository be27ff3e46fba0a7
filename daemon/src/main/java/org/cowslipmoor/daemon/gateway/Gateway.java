package org.cowslipmoor.daemon.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cowslipmoor.core.admission.Placement;
import org.cowslipmoor.core.admission.RequestRequirements;
import org.cowslipmoor.core.admission.TargetLoadBalancer;
import org.cowslipmoor.core.coldstart.Allowance;
import org.cowslipmoor.core.coldstart.AllowanceRequest;
import org.cowslipmoor.core.coldstart.ColdLimit;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.discovery.TargetLimits;
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
import org.cowslipmoor.daemon.coordination.AllowanceHandler;
import org.cowslipmoor.daemon.coordination.StoreView;
import org.cowslipmoor.daemon.coordination.SuspensionDetector;
import org.cowslipmoor.daemon.http.HttpConnections;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Holds the state that all requests of one host share. Confined to the host's event loop. */
public final class Gateway implements AllowanceHandler {
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
  private final SuspensionDetector suspensionDetector =
      new SuspensionDetector(
          System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis()));
  private ImmutableSet<TargetIncarnation> loggedColdTargets = ImmutableSet.of();
  private Consumer<AllowanceRequest> allowanceRequests = unused -> {};
  private SharedRetryBudget.Limits retryLimits;

  /** The store's view as it was read. */
  private StoreView storeView = StoreView.unknown();

  /** That view, in which the targets that are leaving or evacuated are draining. */
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
    connections.onIdleLost(this::onIdleConnectionLost);
    this.spilloverLog = new SpilloverLog(metrics, System.nanoTime());
    gauge(GatewayMetric.IN_PROGRESS, () -> inProgress);
    gauge(GatewayMetric.RANGE_TABLE, () -> view.table().version());
    gauge(GatewayMetric.TARGETS, () -> view.directory().all().size());
    gauge(GatewayMetric.COLD_TARGETS, () -> coldTargets(System.nanoTime()).size());
    gauge(GatewayMetric.FAILING_TARGETS, () -> fleet.failing().size());
    gauge(GatewayMetric.CONFIGURATION, this::configurationVersion);
    gauge(GatewayMetric.BODY_MEMORY, bodyMemory::reservedBytes);
    gauge(GatewayMetric.UNEXPECTED_BYTES, connections::unexpectedBytesCount);
    gauge(GatewayMetric.EVACUATIONS, () -> selector.evacuations().inForce().keySet().size());
    gauge(GatewayMetric.EVACUATION_SECONDS, () -> evacuationSeconds(System.nanoTime()));
    gauge(GatewayMetric.EVACUATED_KEYS, this::evacuatedKeys);
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

  /** Applies new limits on the use of targets. */
  public void onTargetLimits(TargetLimits limits, long now) {
    ImmutableSet<String> before = selector.evacuations().inForce().keySet();
    selector.onTargetLimits(limits, now);
    updateView();
    log.onEvacuations(before, selector.evacuations(), view.directory(), now);
    closeUnusedConnections(now);
  }

  /** Sets what sends this host's requests for allowances to the coordinator. */
  public void onAllowanceRequests(Consumer<AllowanceRequest> sender) {
    allowanceRequests = sender;
  }

  /** Applies a new view of the store. */
  public void onView(StoreView newView, long now) {
    RoutingConfiguration configuration = newView.configuration();
    if (configuration != null) {
      selector.onServices(configuration.services());
    }
    ImmutableSet<String> before = selector.evacuations().inForce().keySet();
    selector.onEvacuated(newView.evacuated(), newView.isLoaded(), now);
    selector.onTargets(newView.directory(), now);
    log.onEvacuations(before, selector.evacuations(), newView.directory(), now);
    logColdTargets(now);
    storeView = newView;
    updateView();
    fleetSize.onCount(newView.members().size(), now);
    updateConnectionLimits(now);
    closeUnusedConnections(now);
  }

  /** Returns the registered targets that are cold and have a limit. */
  ImmutableSet<TargetIncarnation> coldTargets(long now) {
    return selector.coldTargets(now);
  }

  private void logColdTargets(long now) {
    ImmutableSet<TargetIncarnation> cold = coldTargets(now);
    for (TargetIncarnation target : Sets.difference(cold, loggedColdTargets)) {
      log.onCold(
          target,
          selector.directory().find(target).map(DiscoveredTarget::warmUpMillis).orElse(0L),
          now);
    }
    loggedColdTargets = cold;
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
    log.onFailingTargets(fleet.failing(), newState.failing(), now);
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
    Placement placement = selector.assign(service, excluded, requirements, now);
    askForAllowances(now);
    return placement;
  }

  private void askForAllowances(long now) {
    selector
        .nextAllowanceRequest(now)
        .ifPresent(
            request -> {
              request.requests().values().forEach(n -> count(GatewayMetric.ALLOWANCES_ASKED, n));
              allowanceRequests.accept(request);
            });
  }

  @Override
  public Optional<ColdLimit> coldLimit(String targetId) {
    return selector.coldLimit(targetId);
  }

  @Override
  public boolean isCheckedWarm(TargetIncarnation target, boolean isReported, Runnable ifSuspected) {
    long now = System.nanoTime();
    RoutingConfiguration configuration = view.configuration();
    Optional<DiscoveredTarget> registered = selector.directory().find(target);
    if (registered.isPresent() && configuration != null) {
      DiscoveredTarget t = registered.get();
      ServiceDescription service = configuration.services().get(t.service());
      if (service != null
          && !service.healthPath().isEmpty()
          && selector.startCheck(target, isReported, now)) {
        HealthCheck.start(
            connections,
            headerCodec,
            t,
            service.healthPath(),
            coldMillis -> onChecked(target, coldMillis, ifSuspected));
      }
    }
    return selector.isCheckedWarm(target, now);
  }

  private void onChecked(TargetIncarnation target, OptionalLong coldMillis, Runnable ifSuspected) {
    long now = System.nanoTime();
    boolean isSuspected = selector.onChecked(target, coldMillis, now);
    log.onChecked(target, coldMillis, isSuspected, now);
    if (isSuspected) {
      ifSuspected.run();
    }
  }

  /**
   * Records that a connection to a target was refused or lost, so that the target may have
   * restarted.
   */
  void onConnectionLost(DiscoveredTarget target, long now) {
    if (selector.onSuspicion(target, now)) {
      log.onSuspected(target.incarnation(), now);
    }
    askForAllowances(now);
  }

  private void onIdleConnectionLost(String address) {
    long now = System.nanoTime();
    selector.directory().all().values().stream()
        .filter(t -> t.address().equals(address))
        .forEach(t -> onConnectionLost(t, now));
  }

  @Override
  public void onAllowance(Allowance allowance) {
    selector.onAllowance(allowance, System.nanoTime());
  }

  @Override
  public void onDecided(int asked, int handedOut) {
    count(GatewayMetric.ALLOWANCES_HANDED_OUT, handedOut);
    count(GatewayMetric.ALLOWANCES_DENIED, asked - handedOut);
    log.onAllowances(asked, handedOut, System.nanoTime());
  }

  /**
   * Assigns a request to the owner of its key.
   *
   * @return {@link Placement.NoTarget} while the key has no owner, is being transferred, or its
   *     owner has left; {@link Placement.NoAllowance} while it is cold and the host has no
   *     allowance for it
   */
  Placement assignToOwner(String service, int key, RequestRequirements requirements, long now) {
    Optional<TargetIncarnation> owner =
        isMoving(service, key) ? Optional.empty() : registeredOwner(service, key);
    if (owner.isEmpty()) {
      return new Placement.NoTarget();
    }
    Placement placement = selector.assignToOwner(owner.get(), requirements, now);
    askForAllowances(now);
    return placement;
  }

  /** Returns whether a key's owner may not be used any more, and has no successor yet. */
  boolean hasOwnerLeft(String service, int key, long now) {
    return !isMoving(service, key)
        && registeredOwner(service, key)
            .filter(owner -> selector.hasOwnerLeft(owner, now))
            .isPresent();
  }

  /**
   * Counts a rejected request if no target could be chosen because of an evacuation.
   *
   * @param key the request's key; null if it needs no owner
   */
  void countIfEvacuated(String service, @Nullable Integer key, long now) {
    boolean isEvacuated =
        key == null
            ? selector.isServiceEvacuated(service, now)
            : registeredOwner(service, key)
                .filter(owner -> selector.isOwnerEvacuated(owner, now))
                .isPresent();
    if (isEvacuated) {
      count(GatewayMetric.EVACUATION_REFUSALS);
    }
  }

  /** Returns the time since this host learnt of the oldest evacuation in force; 0 without one. */
  private long evacuationSeconds(long now) {
    return selector.evacuations().inForce().values().stream()
        .mapToLong(learntAt -> TimeUnit.NANOSECONDS.toSeconds(now - learntAt))
        .max()
        .orElse(0);
  }

  /** Returns the number of keys that are owned by targets in evacuated data centres. */
  private long evacuatedKeys() {
    ImmutableSet<String> evacuated = selector.evacuations().inForce().keySet();
    if (evacuated.isEmpty()) {
      return 0;
    }
    StoreView v = view;
    return v.table().entries().stream()
        .filter(
            e ->
                v.directory()
                    .find(e.owner())
                    .filter(t -> evacuated.contains(t.dataCentre()))
                    .isPresent())
        .mapToLong(e -> e.range().size())
        .sum();
  }

  private Optional<TargetIncarnation> registeredOwner(String service, int key) {
    return view.table().find(service, key).map(RangeEntry::owner);
  }

  private boolean isMoving(String service, int key) {
    return fleet.tableVersion() >= view.table().version() && fleet.isMoving(service, key);
  }

  /**
   * Returns whether a request may still be written to a target that was chosen for it; spends the
   * allowance if the target needs one.
   */
  boolean mayReceive(DiscoveredTarget target, long now) {
    long timeOfDay = TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
    if (suspensionDetector.wasSuspended(now, timeOfDay)) {
      selector.onSuspended();
    }
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

  /** Returns the view of the store, in which targets that are leaving or evacuated are draining. */
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

  /**
   * Applies what changes with time alone, and logs the counts of retries and of requests that left
   * the data centre if a period has ended.
   */
  public void tick(long now) {
    retryCounts.tick(now);
    spilloverLog.tick(loadBalancer.spilloverCounts(), now);
    if (selector.tick(now)) {
      updateView();
    }
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
    count(metric, 1);
  }

  private void count(GatewayMetric metric, int n) {
    metrics.counter(metric.name()).inc(n);
  }

  void countRejection(ResultCode code) {
    metrics.counter(MetricRegistry.name(GatewayMetric.REFUSALS.name(), "" + code.number())).inc();
  }

  void recordResponse(long elapsedNanos) {
    metrics.counter(GatewayMetric.ANSWERS.name()).inc();
    metrics.timer(GatewayMetric.ANSWER_SECONDS.name()).update(elapsedNanos, TimeUnit.NANOSECONDS);
  }
}
