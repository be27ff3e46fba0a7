package org.cowslipmoor.core.range;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;

/**
 * A simulation in virtual time of a store, targets and the hosts that coordinate them. Commands can
 * be lost or executed late; targets can leave, crash and restart; links can fail; hosts can stop or
 * be slow.
 */
final class RangeSimulation {
  static final String SERVICE = "stock";
  static final long NANOS_PER_MILLI = VirtualTime.NANOS_PER_MILLI;
  private static final long LATENCY_NANOS = NANOS_PER_MILLI;
  static final long CALL_TIMEOUT_NANOS = 600 * NANOS_PER_MILLI;
  private static final long RELEASE_TIMEOUT_NANOS = 2_500 * NANOS_PER_MILLI;
  private static final long RELEASE_WORK_NANOS = 150 * NANOS_PER_MILLI;

  /** Time after which the entry of a target without heartbeats expires. */
  private static final long ENTRY_TTL_NANOS = 2_600 * NANOS_PER_MILLI;

  final VirtualTime time = new VirtualTime();
  final FakeStore store;
  final Map<String, FakeTarget> targets = new HashMap<>();
  private final OwnerCheck check = new OwnerCheck();
  private final Map<String, DiscoveredTarget> formerEntries = new HashMap<>();
  private final Map<LinkId, LinkFault> linkFaults = new HashMap<>();
  private final List<FakeHost> hosts = new ArrayList<>();
  private final SplittableRandom random;

  /** Separate, so that the other events of a seed don't depend on the exchange. */
  private final SplittableRandom exchangeRandom;

  private final double holdFactor;
  private FakeHost leader;
  private long nextIncarnation = 1;
  ServiceLoad load = ServiceLoad.uniform();

  /** Whether targets reject commands that are meant for another id at their address. */
  boolean checksInstance = true;

  /** Whether hosts exchange which targets are leaving; begins with the first statement. */
  boolean exchangesLeaving;

  /** Whether hosts exchange what they know of the range table. */
  boolean exchangesKnowledge;

  /** Maximum time that a report or a state takes from one host to another. */
  long maxExchangeDelayNanos = 20 * NANOS_PER_MILLI;

  /** Probability that a report or a state is lost. */
  double exchangeLossProbability;

  /** The data centres that the store lists as evacuated. */
  final Set<String> evacuated = new HashSet<>();

  /** Whether coordinators take a release as confirmed without asking the owner. */
  boolean assumesReleases;

  /** Probability that a grant gets no response and is executed late. */
  double lateProbability;

  /** A fault of a link from a host to a target. */
  enum LinkFault {
    /** Commands are lost without a response. */
    DROPPED,
    /** The connection is refused before anything is sent. */
    REFUSED
  }

  private record LinkId(FakeHost from, String target) {}

  /**
   * Creates a simulation with one host, which is coordinator.
   *
   * @param lateProbability probability that a grant gets no response and is executed late
   * @param holdFactor ratio of the time for which targets hold keys, by their own clocks, to the
   *     time for which they were granted
   */
  RangeSimulation(long seed, int targetCount, double lateProbability, double holdFactor) {
    this.random = new SplittableRandom(seed);
    this.exchangeRandom = new SplittableRandom(~seed);
    this.lateProbability = lateProbability;
    this.holdFactor = holdFactor;
    this.store = new FakeStore(time, random.split());
    for (int i = 0; i < targetCount; i++) {
      addTarget("t" + i);
    }
    leader = addHost();
    leader.claimAtOnce();
  }

  /** Adds a host, which becomes coordinator once no other host is. */
  FakeHost addHost() {
    return addHost(FakeHost.LEASE_NANOS);
  }

  /** Adds a host that assumes the given duration for its leases. */
  FakeHost addHost(long trustedLeaseNanos) {
    FakeHost host = new FakeHost(this, "host" + hosts.size(), trustedLeaseNanos, random.split());
    hosts.add(host);
    return host;
  }

  /** Returns the running coordinator of the latest term. */
  Optional<FakeHost> coordinator() {
    return hosts.stream()
        .filter(h -> h.isRunning() && h.leads())
        .max(Comparator.comparing(FakeHost::term));
  }

  /** Returns the hosts that have not stopped. */
  List<FakeHost> runningHosts() {
    return hosts.stream().filter(FakeHost::isRunning).toList();
  }

  /**
   * Lets a host learn from a response of a target that it is leaving, while the target's entry
   * stays as it is.
   */
  void stateLeaving(String id, FakeHost learntBy) {
    exchangesLeaving = true;
    learntBy.onLeaving(targets.get(id).announced.incarnation());
  }

  /** Delivers a report or a state to a host, unless it is lost. */
  void exchange(FakeHost to, Runnable delivery) {
    if (exchangeRandom.nextDouble() >= exchangeLossProbability) {
      time.schedule(
          LATENCY_NANOS + exchangeRandom.nextLong(maxExchangeDelayNanos),
          () -> to.onResponse(delivery));
    }
  }

  /** Returns the host that this simulation last made coordinator. */
  FakeHost leader() {
    return leader;
  }

  /** Stops the coordinator and makes a new host coordinator. */
  void replaceCoordinator() {
    leader.stop();
    store.revoke();
    leader = addHost();
    leader.claimAtOnce();
  }

  void breakLink(FakeHost host, String target, LinkFault fault) {
    linkFaults.put(new LinkId(host, target), fault);
  }

  void restoreLinks() {
    linkFaults.clear();
  }

  void addTarget(String id) {
    addTarget(id, id + ":1");
  }

  /** Starts a target at an address, which may have been another target's. */
  void addTarget(String id, String address) {
    FakeTarget former = targets.get(id);
    if (former != null) {
      former.running = false;
      formerEntries.put(id, former.announced);
    }
    targets.put(
        id, new FakeTarget(entry(nextIncarnation(id), address, false), address, holdFactor));
  }

  void drain(String id) {
    FakeTarget t = targets.get(id);
    t.announced = entry(t.announced.incarnation(), t.address, true);
  }

  /** Ends the target's process; its entry expires some time later. */
  void crash(String id) {
    FakeTarget t = targets.get(id);
    t.running = false;
    time.schedule(ENTRY_TTL_NANOS, () -> t.announcing = targets.get(id) != t && t.announcing);
  }

  /** Restarts the target under its id, at its first address; it holds nothing. */
  void restart(String id) {
    addTarget(id);
  }

  /** Restarts the target under its id at another address. */
  void restartElsewhere(String id) {
    addTarget(id, id + ":2");
  }

  /** Restarts the target under its id and address, while its former entry stays for some time. */
  void restartWithStaleEntry(String id, long delayNanos) {
    FakeTarget former = targets.get(id);
    former.running = false;
    formerEntries.put(id, former.announced);
    FakeTarget t = new FakeTarget(former.announced, former.address, holdFactor);
    t.announcing = former.announcing;
    targets.put(id, t);
    DiscoveredTarget entry = entry(nextIncarnation(id), former.address, false);
    time.schedule(
        delayNanos,
        () -> {
          t.announced = entry;
          t.announcing = true;
        });
  }

  /**
   * Replaces the target's entry for some time by that of its former incarnation, as when a
   * heartbeat of that incarnation arrives late.
   */
  void revertToFormerEntry(String id, long durationNanos) {
    FakeTarget t = targets.get(id);
    DiscoveredTarget present = t.announced;
    t.announced = formerEntries.getOrDefault(id, present);
    time.schedule(durationNanos, () -> t.announced = present);
  }

  /** Removes the target's entry although the target goes on running. */
  void removeEntry(String id) {
    targets.get(id).announcing = false;
  }

  /** Restores the entry of a target that is still running. */
  void restoreEntry(String id) {
    FakeTarget t = targets.get(id);
    t.announcing |= t.running;
  }

  /** Advances the time until the store has renewed a lease. */
  void runUntilRenewal() {
    int before = store.renewals;
    while (store.renewals == before) {
      time.advance(NANOS_PER_MILLI);
    }
  }

  void run(long durationNanos) {
    time.advance(durationNanos);
  }

  /** Returns the detected violations of exclusive ownership, in order. */
  List<String> violations() {
    return check.violations;
  }

  /**
   * Advances the time until all keys are served, but at most by a limit; returns whether they are.
   */
  boolean advanceUntilAllServed(long limitNanos) {
    long end = time.now() + limitNanos;
    while (servedFraction() < 1 && time.now() < end) {
      time.advance(50 * NANOS_PER_MILLI);
    }
    return servedFraction() == 1;
  }

  /** Returns the fraction of sampled keys that a running target holds. */
  double servedFraction() {
    int served = 0;
    int sampled = 0;
    for (int key = 0; key <= KeyRange.LAST_KEY; key += 251) {
      int k = key;
      sampled++;
      served += targets.values().stream().anyMatch(t -> t.holds(k, time.now())) ? 1 : 0;
    }
    return (double) served / sampled;
  }

  /** Returns the id of a key's owner according to the table in the store. */
  String owner(int key) {
    return store.table().find(SERVICE, key).orElseThrow().owner().id();
  }

  /**
   * Returns the number of keys that targets of a data centre own according to the store's table.
   */
  int ownedKeys(String dataCentre) {
    return store.table().entries().stream()
        .filter(e -> dataCentre(e.owner().id()).equals(dataCentre))
        .mapToInt(e -> e.range().size())
        .sum();
  }

  /** Returns the largest number of keys that a target owns according to the store's table. */
  int largestOwnership() {
    Map<String, Integer> keys = new HashMap<>();
    store
        .table()
        .entries()
        .forEach(e -> keys.merge(e.owner().id(), e.range().size(), Integer::sum));
    return keys.values().stream().max(Comparator.naturalOrder()).orElse(0);
  }

  /** Returns the data centre of a target: one of three, given by the last character of its id. */
  static String dataCentre(String id) {
    return List.of("cairo", "delta", "emden").get(id.charAt(id.length() - 1) % 3);
  }

  TargetDirectory directory() {
    return TargetDirectory.of(
        targets.values().stream().filter(t -> t.announcing).map(t -> t.announced).toList());
  }

  /** Delivers a grant to the process at the entry's address. */
  void grant(FakeHost from, RangeAction.Grant a, Consumer<GrantOutcome> callback) {
    FakeTarget t = processAt(a.entry());
    long arrival = time.now() + LATENCY_NANOS;
    LinkFault fault = linkFaults.get(new LinkId(from, a.entry().owner().id()));
    if (fault == LinkFault.REFUSED) {
      time.schedule(LATENCY_NANOS, () -> callback.accept(GrantOutcome.NOT_SENT));
    } else if (fault == LinkFault.DROPPED || t == null) {
      from.schedule(CALL_TIMEOUT_NANOS, () -> callback.accept(GrantOutcome.UNKNOWN));
    } else if (random.nextDouble() < lateProbability) {
      time.schedule(
          2_000 * NANOS_PER_MILLI + random.nextLong(10_000 * NANOS_PER_MILLI),
          () -> apply(from, t, a, arrival));
      from.schedule(CALL_TIMEOUT_NANOS, () -> callback.accept(GrantOutcome.UNKNOWN));
    } else {
      time.schedule(
          LATENCY_NANOS,
          () -> {
            GrantOutcome outcome = apply(from, t, a, arrival);
            time.schedule(LATENCY_NANOS, () -> callback.accept(outcome));
          });
    }
  }

  /** Delivers a release to the process at the entry's address. */
  void release(FakeHost from, RangeEntry entry, Consumer<Boolean> callback) {
    FakeTarget t = processAt(entry);
    LinkFault fault = linkFaults.get(new LinkId(from, entry.owner().id()));
    if (fault == LinkFault.REFUSED) {
      time.schedule(LATENCY_NANOS, () -> callback.accept(false));
    } else if (fault == LinkFault.DROPPED || t == null) {
      from.schedule(RELEASE_TIMEOUT_NANOS, () -> callback.accept(false));
    } else {
      time.schedule(
          LATENCY_NANOS,
          () -> {
            t.release(entry.range(), entry.fence());
            time.schedule(RELEASE_WORK_NANOS, () -> callback.accept(true));
          });
    }
  }

  private GrantOutcome apply(FakeHost from, FakeTarget t, RangeAction.Grant a, long arrival) {
    if (!t.running) {
      return GrantOutcome.UNKNOWN;
    }
    KeyRange range = a.entry().range();
    long fence = a.entry().fence();
    boolean isChecked = !from.hasJustResumed();
    GrantOutcome outcome = t.grant(range, fence, a.holdNanos(), arrival, time.now(), isChecked);
    boolean holds =
        outcome == GrantOutcome.ACCEPTED && t.expiry(a.holdNanos(), arrival) > time.now();
    if (holds && isChecked) {
      check.onAccepted(t, range, fence, time.now(), List.copyOf(targets.values()));
    }
    return outcome;
  }

  /** Returns the process that accepts commands at the owner's address; null if there is none. */
  private FakeTarget processAt(RangeEntry entry) {
    return targets.values().stream()
        .filter(t -> t.running && t.address.equals(entry.address()))
        .filter(t -> !checksInstance || t.id().equals(entry.owner().id()))
        .findFirst()
        .orElse(null);
  }

  private TargetIncarnation nextIncarnation(String id) {
    return new TargetIncarnation(id, nextIncarnation++);
  }

  private static DiscoveredTarget entry(
      TargetIncarnation incarnation, String address, boolean draining) {
    return new DiscoveredTarget(
        incarnation, SERVICE, address, dataCentre(incarnation.id()), 4, draining, 0);
  }
}
