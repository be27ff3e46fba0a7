package org.cowslipmoor.testing.coldstart;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import org.cowslipmoor.core.admission.Placement;
import org.cowslipmoor.core.admission.RequestRequirements;
import org.cowslipmoor.core.admission.TargetLoadBalancer;
import org.cowslipmoor.core.coldstart.Allowance;
import org.cowslipmoor.core.coldstart.AllowanceLedger;
import org.cowslipmoor.core.coldstart.AllowanceRequest;
import org.cowslipmoor.core.coldstart.ColdLimit;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.discovery.TargetLimits;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.routing.ServiceDescription;
import org.cowslipmoor.core.selection.TargetSelector;
import org.cowslipmoor.testing.coldstart.ColdStartScenario.Start;
import org.cowslipmoor.testing.coldstart.ColdStartScenario.Variant;
import org.cowslipmoor.testing.control.EventQueue;

/**
 * Simulates in virtual time the requests that reach cold targets, by the decisions of hosts and of
 * the coordinator. An instance runs only once; the same seed gives the same run.
 */
public final class ColdStartSimulation {
  /** The limits of the sites of today, which bound a second to 14.3 requests. */
  public static final double MAX_PER_SECOND = 14.3;

  private static final TargetLimits LIMITS = new TargetLimits(1.5, 8, 0);
  private static final ServiceDescription SERVICE =
      new ServiceDescription("stock", 100, false, "/health", 6_000, 4.2);
  private static final ColdLimit LIMIT = ColdLimit.of(LIMITS, SERVICE).orElseThrow();

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long SNAPSHOT_INTERVAL_NANOS = 100 * NANOS_PER_MILLI;
  private static final long HEARTBEAT_NANOS = 870 * NANOS_PER_MILLI;
  private static final long COLD_NANOS = 6 * NANOS_PER_SECOND;
  private static final long OWNER_CHECK_NANOS = 20 * NANOS_PER_MILLI;
  private static final long OWNER_WAIT_NANOS = 400 * NANOS_PER_MILLI;

  /** Largest age of the state of the store that a host reads, in snapshots. */
  private static final int MAX_SNAPSHOT_AGE = 8;

  /** Time for which a target is down when it restarts: by then all hosts have seen that. */
  private static final long DOWN_NANOS = 2 * NANOS_PER_SECOND;

  /** Shortest time from the end of a process to when the next one at its address listens. */
  private static final long MIN_QUICK_DOWN_NANOS = 50 * NANOS_PER_MILLI;

  /** Time for which an idle connection is kept. */
  private static final long IDLE_LIMIT_NANOS = 4 * NANOS_PER_SECOND;

  private static final long HEALTH_CHECK_NANOS = 2 * NANOS_PER_MILLI;
  private static final long FAULT_INTERVAL_NANOS = 1_500 * NANOS_PER_MILLI;
  private static final RequestRequirements REQUIREMENTS =
      new RequestRequirements(NANOS_PER_SECOND, 3 * NANOS_PER_SECOND, 1);

  private final ColdStartScenario scenario;
  private final ToIntFunction<AllowanceRequest> requestBytes;
  private final ToIntFunction<Allowance> allowanceBytes;
  private final SplittableRandom random;
  private final EventQueue events = new EventQueue();
  private final List<SimulatedTarget> targets = new ArrayList<>();
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private final List<TargetDirectory> snapshots = new ArrayList<>();
  private int leader;
  private long term;
  private long leaseEndsAt;
  private long requestsHeldUntil;
  private long allowancesHeldUntil;

  /** Time until which hosts take the coordinator that they know for the present one. */
  private long coordinatorKnownAgainAt;

  private long lastStartedAt = 1;
  private int busiest;
  private long reachedCold;
  private long served;
  private long rejected;
  private long firstWorkNanos;

  /**
   * Measurements of a run.
   *
   * @param busiest largest number of requests to one cold target within one second
   * @param reachedCold requests that reached cold targets
   * @param served requests that reached any target
   * @param rejected requests that reached none
   * @param firstWorkMillis longest time from the registration of a target to its first request
   * @param bytesPerSecond largest number of bytes of requests and allowances in one second of any
   *     host that is not the coordinator
   * @param coordinatorBytesPerSecond the same of any host
   */
  public record Result(
      int busiest,
      long reachedCold,
      long served,
      long rejected,
      long firstWorkMillis,
      long bytesPerSecond,
      long coordinatorBytesPerSecond) {}

  /**
   * Creates a simulation that has not run.
   *
   * @param requestBytes length of an encoded request for allowances
   * @param allowanceBytes length of an encoded allowance
   */
  public ColdStartSimulation(
      ColdStartScenario scenario,
      ToIntFunction<AllowanceRequest> requestBytes,
      ToIntFunction<Allowance> allowanceBytes,
      long seed) {
    this.scenario = scenario;
    this.requestBytes = requestBytes;
    this.allowanceBytes = allowanceBytes;
    this.random = new SplittableRandom(seed);
    for (int t = 0; t < scenario.targets(); t++) {
      targets.add(new SimulatedTarget(t));
    }
    for (int h = 0; h < scenario.hosts(); h++) {
      hosts.add(new SimulatedHost(h));
    }
  }

  /** Runs the simulation for a number of virtual seconds and returns the measurements. */
  public Result run(int seconds) {
    final long end = seconds * NANOS_PER_SECOND;
    startTerm(0);
    targets.forEach(t -> every(HEARTBEAT_NANOS, t::writeEntry));
    switch (scenario.start()) {
      case THIRD -> {
        for (int t = 0; t < targets.size() / 3; t++) {
          targets.get(t).isRegistered = false;
          events.after(3 * NANOS_PER_SECOND, targets.get(t)::begin);
        }
      }
      case ALL -> targets.forEach(t -> events.after(NANOS_PER_SECOND, t::restart));
      case FAULTS -> events.after(random.nextLong(FAULT_INTERVAL_NANOS), this::fail);
      case QUICK_RESTARTS -> events.after(random.nextLong(NANOS_PER_SECOND), this::restartQuickly);
      default -> throw new IllegalArgumentException("unknown start: " + scenario.start());
    }
    takeSnapshot();
    hosts.forEach(SimulatedHost::start);
    events.runUntil(end, () -> {});
    long bytes = 0;
    long coordinatorBytes = 0;
    for (SimulatedHost h : hosts) {
      bytes = h.index == leader ? bytes : Math.max(bytes, h.mostBytes());
      coordinatorBytes = Math.max(coordinatorBytes, h.mostBytes());
    }
    return new Result(
        busiest,
        reachedCold,
        served,
        rejected,
        firstWorkNanos / NANOS_PER_MILLI,
        bytes,
        coordinatorBytes);
  }

  private void every(long intervalNanos, Runnable action) {
    events.after(
        random.nextLong(intervalNanos),
        () -> {
          action.run();
          repeat(intervalNanos, action);
        });
  }

  private void repeat(long intervalNanos, Runnable action) {
    events.after(
        intervalNanos,
        () -> {
          action.run();
          repeat(intervalNanos, action);
        });
  }

  private void takeSnapshot() {
    snapshots.add(
        TargetDirectory.of(
            targets.stream().filter(t -> t.isRegistered).map(t -> t.entry).toList()));
    events.after(SNAPSHOT_INTERVAL_NANOS, this::takeSnapshot);
  }

  private boolean hasFaults() {
    return scenario.start() == Start.FAULTS;
  }

  private void startTerm(int newLeader) {
    leader = newLeader;
    term++;
    leaseEndsAt = Long.MAX_VALUE;
    boolean pauses = scenario.variant() != Variant.NO_PAUSE_AT_TERM_START && term > 1;
    hosts
        .get(leader)
        .ledger
        .onTerm(
            new StorePlace(0, term),
            pauses ? events.now() : events.now() - 2 * ColdLimit.WINDOW_NANOS);
  }

  /** Lets something fail, and schedules the next failure. */
  private void fail() {
    long until = events.now() + random.nextLong(3 * NANOS_PER_SECOND);
    switch (random.nextInt(10)) {
      case 0 -> targets.forEach(SimulatedTarget::restart);
      case 1, 2 -> targets.get(random.nextInt(targets.size())).restart();
      case 3 -> changeCoordinator();
      case 4 -> {
        SimulatedHost host = hosts.get(random.nextInt(hosts.size()));
        if (host.index == leader) {
          changeCoordinator();
        }
        host.restart();
      }
      case 5 -> hosts.get(random.nextInt(hosts.size())).cutOffUntil = until;
      case 6 -> requestsHeldUntil = until;
      case 9 -> allowancesHeldUntil = until;
      case 7 -> targets.get(random.nextInt(targets.size())).connectsHeldUntil = until;
      default -> coordinatorKnownAgainAt = until;
    }
    events.after(random.nextLong(FAULT_INTERVAL_NANOS), this::fail);
  }

  private void restartQuickly() {
    if (random.nextInt(4) == 0) {
      targets.forEach(SimulatedTarget::restartQuickly);
    } else {
      targets.get(random.nextInt(targets.size())).restartQuickly();
    }
    events.after(
        NANOS_PER_SECOND / 2 + random.nextLong(3 * NANOS_PER_SECOND), this::restartQuickly);
  }

  /** Ends the coordinator's lease; another host claims it at once or some time later. */
  private void changeCoordinator() {
    if (leaseEndsAt <= events.now()) {
      return;
    }
    leaseEndsAt = events.now();
    int next = (leader + 1 + random.nextInt(hosts.size() - 1)) % hosts.size();
    events.after(
        random.nextBoolean() ? 0 : random.nextLong(NANOS_PER_SECOND), () -> startTerm(next));
  }

  /**
   * Returns the time that a frame takes; links hold some back, and deliver them together.
   *
   * @param heldUntil time until which the link holds frames of this direction
   */
  private long frameDelay(long heldUntil) {
    long delay = NANOS_PER_MILLI + random.nextLong(5 * NANOS_PER_MILLI);
    return Math.max(0, heldUntil - events.now()) + delay;
  }

  /** A target as it is, and its entry in the store. */
  private final class SimulatedTarget {
    final int index;
    final Deque<Long> recent = new ArrayDeque<>();
    DiscoveredTarget entry;
    boolean isRegistered = true;
    boolean isDown;
    long startedAt = 1;
    long coldUntil;
    long connectsHeldUntil;
    long registeredAt;
    boolean hasWorked = true;

    SimulatedTarget(int index) {
      this.index = index;
      this.entry = createEntry(0);
    }

    private DiscoveredTarget createEntry(long coldNanos) {
      return new DiscoveredTarget(
          new TargetIncarnation(String.format("i-%08x", index), startedAt),
          SERVICE.name(),
          "t:" + (index + 1),
          "cairo",
          16,
          false,
          coldNanos / NANOS_PER_MILLI);
    }

    void writeEntry() {
      if (isRegistered && !isDown) {
        entry = createEntry(Math.max(0, coldUntil - events.now()));
      }
    }

    void restart() {
      if (isRegistered) {
        isRegistered = false;
        events.after(DOWN_NANOS, this::begin);
      }
    }

    /**
     * Restarts while its entry remains; hosts with open connections notice that these close. Does
     * nothing while there is no such host, since nothing would tell of the restart.
     */
    void restartQuickly() {
      if (isDown || !isRegistered || hosts.stream().noneMatch(h -> h.isConnected(index))) {
        return;
      }
      isDown = true;
      DiscoveredTarget former = entry;
      for (SimulatedHost h : hosts) {
        boolean isConnected = h.isConnected(index);
        h.lastUsed.remove(index);
        if (isConnected) {
          events.after(
              NANOS_PER_MILLI + random.nextLong(4 * NANOS_PER_MILLI),
              () -> h.onConnectionLost(former));
        }
      }
      events.after(
          MIN_QUICK_DOWN_NANOS + random.nextLong(500 * NANOS_PER_MILLI),
          () -> {
            isDown = false;
            begin();
          });
    }

    OptionalLong health() {
      return isDown || !isRegistered
          ? OptionalLong.empty()
          : OptionalLong.of(Math.max(0, coldUntil - events.now()) / NANOS_PER_MILLI);
    }

    void begin() {
      lastStartedAt++;
      startedAt = lastStartedAt;
      coldUntil = events.now() + COLD_NANOS;
      registeredAt = events.now();
      hasWorked = false;
      isRegistered = true;
      writeEntry();
    }

    void onRequest() {
      served++;
      if (!hasWorked) {
        hasWorked = true;
        firstWorkNanos = Math.max(firstWorkNanos, events.now() - registeredAt);
      }
      if (!isRegistered || events.now() >= coldUntil) {
        return;
      }
      reachedCold++;
      recent.addLast(events.now());
      recent.removeIf(at -> events.now() - at > NANOS_PER_SECOND);
      busiest = Math.max(busiest, recent.size());
    }
  }

  /** One host, with its own view of the store and of who is the coordinator. */
  private final class SimulatedHost {
    final int index;
    AllowanceLedger ledger = AllowanceLedger.create();
    private TargetLoadBalancer loadBalancer;
    private TargetSelector selector;
    private TargetDirectory directory = TargetDirectory.empty();
    private int snapshot;
    private int coordinator;
    private long cutOffUntil;
    private double rateFactor = 1;
    private final Map<Integer, Long> lastUsed = new HashMap<>();
    private final Map<Long, Integer> bytesBySecond = new HashMap<>();

    SimulatedHost(int index) {
      this.index = index;
      loadBalancer = TargetLoadBalancer.create("cairo", random.split());
      selector = createSelector();
    }

    private TargetSelector createSelector() {
      TargetSelector created = TargetSelector.create(loadBalancer, 2 * NANOS_PER_SECOND);
      if (scenario.variant() != Variant.NO_LIMIT) {
        created.onTargetLimits(LIMITS, events.now());
      }
      created.onServices(ImmutableMap.of(SERVICE.name(), SERVICE));
      return created;
    }

    void start() {
      readStore();
      every(250 * NANOS_PER_MILLI, this::readStore);
      every(NANOS_PER_SECOND, () -> rateFactor = hasFaults() ? random.nextInt(3) : 1);
      scheduleRequest();
    }

    void restart() {
      loadBalancer = TargetLoadBalancer.create("cairo", random.split());
      selector = createSelector();
      ledger = AllowanceLedger.create();
      readStore();
    }

    /** Reads a state of the store that is up to some age old, but never an earlier one again. */
    private void readStore() {
      int age = hasFaults() ? random.nextInt(MAX_SNAPSHOT_AGE + 1) : 1;
      snapshot = Math.max(snapshot, Math.max(0, snapshots.size() - 1 - age));
      directory = snapshots.get(snapshot);
      selector.onTargets(directory, events.now());
      selector.onConfirmed(events.now());
      coordinator = events.now() < coordinatorKnownAgainAt ? coordinator : leader;
    }

    private void scheduleRequest() {
      double perSecond = Math.max(0.1, scenario.requestsPerSecond() * rateFactor);
      long delay = (long) (-Math.log(1 - random.nextDouble()) / perSecond * NANOS_PER_SECOND);
      events.after(
          Math.min(delay, NANOS_PER_SECOND),
          () -> {
            if (delay <= NANOS_PER_SECOND) {
              handle(targets.get(random.nextInt(targets.size())), events.now(), 0);
            }
            scheduleRequest();
          });
    }

    /**
     * Handles a request.
     *
     * @param owner the target that owns the request's key, if it has one
     */
    private void handle(SimulatedTarget owner, long receivedAt, int writesFailed) {
      final long now = events.now();
      Placement placement = choose(owner, now);
      selector.nextAllowanceRequest(now).ifPresent(this::ask);
      if (placement instanceof Placement.Send send) {
        DiscoveredTarget target = send.target();
        loadBalancer.onSend(target, now);
        if (scenario.variant() == Variant.SPENT_WHEN_CHOSEN && !selector.mayReceive(target, now)) {
          loadBalancer.onCancelled(target);
          rejected++;
          return;
        }
        events.after(
            targetAt(target).connectsHeldUntil - now,
            () -> write(target, owner, receivedAt, writesFailed));
      } else if (placement instanceof Placement.NoAllowance
          && scenario.keyed()
          && now - receivedAt < OWNER_WAIT_NANOS) {
        events.after(OWNER_CHECK_NANOS, () -> handle(owner, receivedAt, writesFailed));
      } else {
        rejected++;
      }
    }

    private Placement choose(SimulatedTarget owner, long now) {
      if (!scenario.keyed()) {
        return selector.assign(SERVICE.name(), ImmutableSet.of(), REQUIREMENTS, now);
      }
      DiscoveredTarget known = directory.all().get(owner.entry.id());
      return known == null
          ? new Placement.NoTarget()
          : selector.assignToOwner(known.incarnation(), REQUIREMENTS, now);
    }

    private void write(
        DiscoveredTarget target, SimulatedTarget owner, long receivedAt, int writesFailed) {
      final long now = events.now();
      if (scenario.variant() != Variant.SPENT_WHEN_CHOSEN && !selector.mayReceive(target, now)) {
        loadBalancer.onCancelled(target);
        if (writesFailed < 3) {
          handle(owner, receivedAt, writesFailed + 1);
        } else {
          rejected++;
        }
        return;
      }
      SimulatedTarget reached = targetAt(target);
      if ((!reached.isRegistered && hasFaults()) || reached.isDown) {
        loadBalancer.onFailure(target, now);
        onConnectionLost(target);
        rejected++;
        return;
      }
      lastUsed.put(reached.index, now);
      reached.onRequest();
      long serviceNanos = (long) (20 + random.nextInt(60)) * NANOS_PER_MILLI;
      events.after(
          serviceNanos,
          () -> loadBalancer.onResponse(target, events.now(), serviceNanos, 100, null));
    }

    private SimulatedTarget targetAt(DiscoveredTarget target) {
      return targets.get(Integer.parseInt(target.address().substring("t:".length())) - 1);
    }

    private boolean isConnected(int target) {
      Long usedAt = lastUsed.get(target);
      return usedAt != null && events.now() - usedAt < IDLE_LIMIT_NANOS;
    }

    private void onConnectionLost(DiscoveredTarget target) {
      if (scenario.variant() != Variant.NO_SUSPICION) {
        selector.onSuspicion(target, events.now());
        selector.nextAllowanceRequest(events.now()).ifPresent(this::ask);
      }
    }

    private boolean isCutOff() {
      return events.now() < cutOffUntil;
    }

    private void ask(AllowanceRequest request) {
      SimulatedHost to = hosts.get(coordinator);
      if (to == this) {
        to.answer(request).ifPresent(a -> selector.onAllowance(a, events.now()));
        return;
      }
      countBytes(requestBytes.applyAsInt(request));
      if (!isCutOff() && !to.isCutOff()) {
        to.countBytes(requestBytes.applyAsInt(request));
        events.after(frameDelay(requestsHeldUntil), () -> to.answerTo(this, request));
      }
    }

    private void answerTo(SimulatedHost host, AllowanceRequest request) {
      answer(request)
          .ifPresent(
              a -> {
                countBytes(allowanceBytes.applyAsInt(a));
                if (!isCutOff() && !host.isCutOff()) {
                  host.countBytes(allowanceBytes.applyAsInt(a));
                  events.after(frameDelay(allowancesHeldUntil), () -> host.onAllowance(a));
                }
              });
    }

    private void onAllowance(Allowance allowance) {
      Allowance applied =
          scenario.variant() == Variant.VALID_FROM_ARRIVAL
              ? new Allowance(allowance.requests(), events.now(), allowance.validNanos())
              : allowance;
      selector.onAllowance(applied, events.now());
    }

    private Optional<Allowance> answer(AllowanceRequest request) {
      boolean leads = leader == index && events.now() < leaseEndsAt;
      if (!leads && scenario.variant() != Variant.LEASE_NOT_CHECKED) {
        return Optional.empty();
      }
      if (leads) {
        ledger.onTerm(new StorePlace(0, term), events.now());
      }
      // At twice the speed of the clock, the window is half as long.
      long now = scenario.variant() == Variant.SHORT_WINDOW ? 2 * events.now() : events.now();
      ImmutableMap.Builder<TargetIncarnation, Integer> handedOut = ImmutableMap.builder();
      request
          .requests()
          .forEach(
              (target, asked) -> {
                String counted =
                    scenario.variant() == Variant.COUNTED_BY_INCARNATION
                        ? target.toString()
                        : target.id();
                int requests =
                    isCheckedWarm(target, asked == 0)
                        ? ledger.handOutForWarm(counted, asked, now)
                        : ledger.handOut(counted, asked, LIMIT, now);
                if (asked > 0) {
                  handedOut.put(target, requests);
                }
              });
      return Optional.of(
          new Allowance(handedOut.buildOrThrow(), request.sentAt(), ColdLimit.VALID_NANOS));
    }

    private boolean isCheckedWarm(TargetIncarnation target, boolean isReported) {
      Optional<DiscoveredTarget> registered = selector.directory().find(target);
      if (registered.isPresent() && selector.startCheck(target, isReported, events.now())) {
        events.after(
            HEALTH_CHECK_NANOS,
            () -> {
              OptionalLong coldMillis = targetAt(registered.get()).health();
              if (selector.onChecked(target, coldMillis, events.now())
                  && scenario.variant() != Variant.SUSPICION_NOT_ANNOUNCED) {
                announce(target);
              }
            });
      }
      return selector.isCheckedWarm(target, events.now());
    }

    private void announce(TargetIncarnation target) {
      Allowance notice = Allowance.notice(target);
      for (SimulatedHost h : hosts) {
        countBytes(allowanceBytes.applyAsInt(notice));
        if (!isCutOff() && !h.isCutOff()) {
          events.after(frameDelay(allowancesHeldUntil), () -> h.onAllowance(notice));
        }
      }
    }

    private void countBytes(int bytes) {
      bytesBySecond.merge(events.now() / NANOS_PER_SECOND, bytes, Integer::sum);
    }

    private long mostBytes() {
      return bytesBySecond.values().stream().mapToInt(b -> b).max().orElse(0);
    }
  }
}
