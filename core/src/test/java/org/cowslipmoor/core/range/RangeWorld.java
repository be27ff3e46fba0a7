package org.cowslipmoor.core.range;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;

/**
 * A store, some targets and the hosts that coordinate them in virtual time, with orders that get
 * lost or are carried out late, targets that leave, crash and start again, links that are cut, and
 * hosts that are lost or slow.
 */
final class RangeWorld {
  static final String SERVICE = "stock";
  static final long MS = VirtualTime.MS;
  private static final long LATENCY = MS;
  static final long CALL_TIMEOUT = 600 * MS;
  private static final long RELEASE_TIMEOUT = 2_500 * MS;
  private static final long WORK = 150 * MS;

  /** Time after which the entry of a silent target lapses. */
  private static final long ENTRY_LIFE = 2_600 * MS;

  final VirtualTime time = new VirtualTime();
  final FakeStore store;
  final Map<String, FakeTarget> targets = new HashMap<>();
  private final OwnerCheck check = new OwnerCheck();
  private final Map<String, DiscoveredTarget> formerEntries = new HashMap<>();
  private final Map<Way, Link> links = new HashMap<>();
  private final SplittableRandom random;
  private final double holdFactor;
  private FakeHost leader;
  private long nextLife = 1;
  ServiceLoad load = ServiceLoad.uniform();

  /** Whether targets refuse orders that are meant for another id at their address. */
  boolean checksInstance = true;

  /** Part of the orders that get no answer and are carried out late. */
  double lateShare;

  /** How orders fare on their way to a target. */
  enum Link {
    /** They are lost, and the sender hears nothing. */
    SILENT,
    /** The connection is refused before anything is sent. */
    REFUSED
  }

  private record Way(FakeHost from, String target) {}

  /**
   * Creates a world in which one host coordinates.
   *
   * @param holdFactor times longer that targets hold keys than they were granted, but for clocks
   */
  RangeWorld(long seed, int targetCount, double lateShare, double holdFactor) {
    this.random = new SplittableRandom(seed);
    this.lateShare = lateShare;
    this.holdFactor = holdFactor;
    this.store = new FakeStore(time, random.split());
    for (int i = 0; i < targetCount; i++) {
      addTarget("t" + i);
    }
    leader = addHost();
    leader.takeOver();
  }

  /** Adds a host that coordinates once nobody else does. */
  FakeHost addHost() {
    return addHost(FakeHost.LEASE);
  }

  /** Adds a host that believes its leases to last as long as given. */
  FakeHost addHost(long trustedLease) {
    return new FakeHost(this, trustedLease, random.split());
  }

  /** Returns the host that was the last to be put in charge by this world. */
  FakeHost leader() {
    return leader;
  }

  /** Another host takes the coordination over; the former one is gone. */
  void replaceCoordinator() {
    leader.stop();
    store.revoke();
    leader = addHost();
    leader.takeOver();
  }

  void cut(FakeHost host, String target, Link link) {
    links.put(new Way(host, target), link);
  }

  void healLinks() {
    links.clear();
  }

  void addTarget(String id) {
    addTarget(id, id + ":1");
  }

  /** Starts a target at an address, which another one may have had. */
  void addTarget(String id, String address) {
    FakeTarget former = targets.get(id);
    if (former != null) {
      former.running = false;
      formerEntries.put(id, former.announced);
    }
    targets.put(id, new FakeTarget(entry(nextLife(id), address, false), address, holdFactor));
  }

  void drain(String id) {
    FakeTarget t = targets.get(id);
    t.announced = entry(t.announced.incarnation(), t.address, true);
  }

  /** The target's process ends; its entry lapses some time later. */
  void crash(String id) {
    FakeTarget t = targets.get(id);
    t.running = false;
    time.schedule(ENTRY_LIFE, () -> t.announcing = targets.get(id) != t && t.announcing);
  }

  /** The target starts again under its id and holds nothing. */
  void restart(String id) {
    addTarget(id);
  }

  /** The target starts again under its id at another address. */
  void restartElsewhere(String id) {
    addTarget(id, id + ":2");
  }

  /** The target starts again under its id and address; its former entry stays for a while. */
  void restartUnnoticed(String id, long delay) {
    FakeTarget former = targets.get(id);
    former.running = false;
    formerEntries.put(id, former.announced);
    FakeTarget t = new FakeTarget(former.announced, former.address, holdFactor);
    t.announcing = former.announcing;
    targets.put(id, t);
    DiscoveredTarget entry = entry(nextLife(id), former.address, false);
    time.schedule(
        delay,
        () -> {
          t.announced = entry;
          t.announcing = true;
        });
  }

  /** A beat of the target's former life comes after one of the present life, until the next. */
  void beatOfFormerLife(String id, long duration) {
    FakeTarget t = targets.get(id);
    DiscoveredTarget present = t.announced;
    t.announced = formerEntries.getOrDefault(id, present);
    time.schedule(duration, () -> t.announced = present);
  }

  /** The target's entry vanishes although it goes on. */
  void vanish(String id) {
    targets.get(id).announcing = false;
  }

  /** The entry of a target that never ended is back. */
  void reappear(String id) {
    FakeTarget t = targets.get(id);
    t.announcing |= t.running;
  }

  /** Lets time pass until the store has renewed a lease. */
  void runUntilRenewal() {
    int before = store.renewals;
    while (store.renewals == before) {
      time.advance(MS);
    }
  }

  void run(long duration) {
    time.advance(duration);
  }

  /** Returns what broke sole ownership, in order. */
  List<String> violations() {
    return check.violations;
  }

  /** Lets time pass until all keys are served; returns whether that comes in time. */
  boolean comesToServeAll(long limit) {
    long end = time.now() + limit;
    while (servedShare() < 1 && time.now() < end) {
      time.advance(50 * MS);
    }
    return servedShare() == 1;
  }

  /** Returns the part of sampled keys that a running target holds. */
  double servedShare() {
    int served = 0;
    int sampled = 0;
    for (int key = 0; key <= KeyRange.LAST_KEY; key += 251) {
      int k = key;
      sampled++;
      served += targets.values().stream().anyMatch(t -> t.holds(k, time.now())) ? 1 : 0;
    }
    return (double) served / sampled;
  }

  /** Returns the owner of a key by the table in the store. */
  String owner(int key) {
    return store.table().find(SERVICE, key).orElseThrow().owner().id();
  }

  TargetDirectory directory() {
    return TargetDirectory.of(
        targets.values().stream().filter(t -> t.announcing).map(t -> t.announced).toList());
  }

  /** Carries a grant to the process at the entry's address. */
  void grant(FakeHost from, RangeAction.Grant a, Consumer<GrantOutcome> answer) {
    FakeTarget t = listening(a.entry());
    long arrival = time.now() + LATENCY;
    Link link = links.get(new Way(from, a.entry().owner().id()));
    if (link == Link.REFUSED) {
      time.schedule(LATENCY, () -> answer.accept(GrantOutcome.NOT_SENT));
    } else if (link == Link.SILENT || t == null) {
      from.onTimer(CALL_TIMEOUT, () -> answer.accept(GrantOutcome.UNKNOWN));
    } else if (random.nextDouble() < lateShare) {
      time.schedule(2_000 * MS + random.nextLong(10_000 * MS), () -> apply(from, t, a, arrival));
      from.onTimer(CALL_TIMEOUT, () -> answer.accept(GrantOutcome.UNKNOWN));
    } else {
      time.schedule(
          LATENCY,
          () -> {
            GrantOutcome outcome = apply(from, t, a, arrival);
            time.schedule(LATENCY, () -> answer.accept(outcome));
          });
    }
  }

  /** Carries a release to the process at the entry's address. */
  void release(FakeHost from, RangeEntry entry, Consumer<Boolean> answer) {
    FakeTarget t = listening(entry);
    Link link = links.get(new Way(from, entry.owner().id()));
    if (link == Link.REFUSED) {
      time.schedule(LATENCY, () -> answer.accept(false));
    } else if (link == Link.SILENT || t == null) {
      from.onTimer(RELEASE_TIMEOUT, () -> answer.accept(false));
    } else {
      time.schedule(
          LATENCY,
          () -> {
            t.release(entry.range(), entry.fence());
            time.schedule(WORK, () -> answer.accept(true));
          });
    }
  }

  private GrantOutcome apply(FakeHost from, FakeTarget t, RangeAction.Grant a, long arrival) {
    if (!t.running) {
      return GrantOutcome.UNKNOWN;
    }
    KeyRange range = a.entry().range();
    long fence = a.entry().fence();
    boolean counts = !from.hasJustThawed();
    GrantOutcome outcome = t.grant(range, fence, a.holdNanos(), arrival, time.now(), counts);
    boolean holds =
        outcome == GrantOutcome.ACCEPTED && t.lapse(a.holdNanos(), arrival) > time.now();
    if (holds && counts) {
      check.onTaken(t, range, fence, time.now(), List.copyOf(targets.values()));
    }
    return outcome;
  }

  /** Returns the process that takes orders at the owner's address; null when none does. */
  private FakeTarget listening(RangeEntry entry) {
    return targets.values().stream()
        .filter(t -> t.running && t.address.equals(entry.address()))
        .filter(t -> !checksInstance || t.id().equals(entry.owner().id()))
        .findFirst()
        .orElse(null);
  }

  private TargetIncarnation nextLife(String id) {
    return new TargetIncarnation(id, nextLife++);
  }

  private static DiscoveredTarget entry(TargetIncarnation life, String address, boolean draining) {
    return new DiscoveredTarget(life, SERVICE, address, "cairo", 4, draining, 0);
  }
}
