package org.cowslipmoor.core.range;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetLife;

/**
 * A store, some targets and one coordinator at a time in virtual time, with orders that get lost or
 * are carried out late, targets that leave, crash and start again, and coordinators that are lost.
 */
final class RangeWorld {
  static final String SERVICE = "stock";
  static final long MS = 1_000_000L;
  private static final long TICK = 50 * MS;
  private static final long CALL_TIMEOUT = 600 * MS;
  private static final double SLOW_CLOCK = 1.02;

  final RangeTiming timing = RangeTiming.standard(10_000, 1_500, 600);
  final Map<String, FakeTarget> targets = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final SplittableRandom random;
  private final double lateShare;
  private final double holdFactor;
  private RangeTable stored = RangeTable.empty();
  private RangeCoordinator coordinator;
  private long now = 1;
  private long order;
  private long nextLife = 1;
  ServiceLoad load = ServiceLoad.even();
  int violations;
  int moves;

  private record Event(long at, long order, Runnable work) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
    }
  }

  private record Held(KeyRange range, long fence, long until) {}

  /** One target: what it holds and the highest fence that it has seen of each range. */
  static final class FakeTarget {
    DiscoveredTarget announced;
    boolean running = true;
    boolean announcing = true;
    private final List<Held> held = new ArrayList<>();
    private final Set<Held> seen = new HashSet<>();

    FakeTarget(DiscoveredTarget announced) {
      this.announced = announced;
    }

    boolean holds(int key, long now) {
      return running && held.stream().anyMatch(h -> h.range().contains(key) && h.until() > now);
    }

    private boolean isFenced(KeyRange range, long fence) {
      return seen.stream().anyMatch(h -> h.fence() > fence && overlap(h.range(), range));
    }
  }

  /**
   * Creates a world.
   *
   * @param lateShare part of the orders that get no answer and are carried out late
   * @param holdFactor times longer that targets hold keys than they were granted, but for clocks
   */
  RangeWorld(long seed, int targetCount, double lateShare, double holdFactor) {
    this.random = new SplittableRandom(seed);
    this.lateShare = lateShare;
    this.holdFactor = holdFactor;
    for (int i = 0; i < targetCount; i++) {
      addTarget("t" + i);
    }
    coordinator = RangeCoordinator.begin(stored, timing, RangeListener.NONE, now);
  }

  void addTarget(String id) {
    TargetLife life = new TargetLife(id, nextLife++);
    targets.put(id, new FakeTarget(announced(life, false)));
  }

  void drain(String id) {
    FakeTarget t = targets.get(id);
    t.announced = announced(t.announced.life(), true);
  }

  /** The target's process ends; its entry lapses some time later. */
  void crash(String id) {
    FakeTarget t = targets.get(id);
    t.running = false;
    after(2_600 * MS, () -> t.announcing = targets.get(id) != t && t.announcing);
  }

  /** The target starts again under its id and holds nothing. */
  void restart(String id) {
    addTarget(id);
  }

  /** The target starts again under its id and address; its former entry stays for a while. */
  void restartUnnoticed(String id, long delay) {
    FakeTarget former = targets.get(id);
    FakeTarget t = new FakeTarget(former.announced);
    t.announcing = former.announcing;
    targets.put(id, t);
    DiscoveredTarget entry = announced(new TargetLife(id, nextLife++), false);
    after(
        delay,
        () -> {
          t.announced = entry;
          t.announcing = true;
        });
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

  /** Another host takes the coordination over. */
  void replaceCoordinator() {
    coordinator = RangeCoordinator.begin(stored, timing, RangeListener.NONE, now);
  }

  void run(long duration) {
    long end = now + duration;
    while (now < end) {
      now += TICK;
      while (!events.isEmpty() && events.peek().at() <= now) {
        events.poll().work().run();
      }
      RangeCoordinator c = coordinator;
      c.tick(now, inputs()).forEach(a -> perform(c, a));
      check();
    }
  }

  /** Returns the part of sampled keys that a running target holds. */
  double servedShare() {
    int served = 0;
    int sampled = 0;
    for (int key = 0; key <= KeyRange.LAST_KEY; key += 251) {
      int k = key;
      sampled++;
      served += targets.values().stream().anyMatch(t -> t.holds(k, now)) ? 1 : 0;
    }
    return (double) served / sampled;
  }

  RangeTable stored() {
    return stored;
  }

  private RangeInputs inputs() {
    List<DiscoveredTarget> listed =
        targets.values().stream().filter(t -> t.announcing).map(t -> t.announced).toList();
    return new RangeInputs(
        ImmutableSet.of(SERVICE), TargetDirectory.of(listed), unused -> load, true);
  }

  private void perform(RangeCoordinator c, RangeAction action) {
    switch (action) {
      case RangeAction.Grant a -> order(c, a);
      case RangeAction.Release a -> release(c, a.entry());
      case RangeAction.Write a -> after(5 * MS, () -> write(c, a.table()));
    }
  }

  private void write(RangeCoordinator c, RangeTable table) {
    if (table.version() == stored.version() + 1 && c == coordinator) {
      stored = table;
      moves++;
      c.onWritten(table);
    }
  }

  private void order(RangeCoordinator c, RangeAction.Grant a) {
    FakeTarget t = target(a.entry());
    long arrival = now + MS;
    if (t == null || !t.running) {
      after(CALL_TIMEOUT, () -> c.onGrant(now, a.entry(), GrantOutcome.UNKNOWN));
    } else if (random.nextDouble() < lateShare) {
      long delay = 2_000 * MS + random.nextLong(10_000 * MS);
      after(delay, () -> apply(t, a, arrival));
      after(CALL_TIMEOUT, () -> c.onGrant(now, a.entry(), GrantOutcome.UNKNOWN));
    } else {
      after(
          MS,
          () -> {
            GrantOutcome outcome = apply(t, a, arrival);
            after(MS, () -> c.onGrant(now, a.entry(), outcome));
          });
    }
  }

  private GrantOutcome apply(FakeTarget t, RangeAction.Grant a, long arrival) {
    KeyRange range = a.entry().range();
    long fence = a.entry().fence();
    if (t.isFenced(range, fence)) {
      return GrantOutcome.FENCED;
    }
    long until = arrival + (long) (a.holdNanos() * SLOW_CLOCK * holdFactor);
    t.held.removeIf(h -> h.until() <= now);
    if (until > now) {
      t.held.add(new Held(range, fence, until));
    }
    t.seen.add(new Held(range, fence, 0));
    return GrantOutcome.ACCEPTED;
  }

  private void release(RangeCoordinator c, RangeEntry entry) {
    FakeTarget t = target(entry);
    if (t == null || !t.running) {
      after(CALL_TIMEOUT, () -> c.onRelease(now, entry, false, null));
      return;
    }
    after(
        MS,
        () -> {
          List<Held> kept = new ArrayList<>();
          for (Held h : t.held) {
            kept.addAll(without(h, entry.range()));
          }
          t.held.clear();
          t.held.addAll(kept);
          t.seen.add(new Held(entry.range(), entry.fence(), 0));
          after(150 * MS, () -> c.onRelease(now, entry, true, "handover"));
        });
  }

  /** Returns the process that answers at the owner's address; it may run another life. */
  private FakeTarget target(RangeEntry entry) {
    return targets.get(entry.owner().id());
  }

  private void check() {
    for (int key = 0; key <= KeyRange.LAST_KEY; key += 509) {
      int k = key;
      long holders = targets.values().stream().filter(t -> t.holds(k, now)).count();
      violations += holders > 1 ? 1 : 0;
    }
  }

  private void after(long delay, Runnable work) {
    events.add(new Event(now + delay, order++, work));
  }

  private static DiscoveredTarget announced(TargetLife life, boolean draining) {
    return new DiscoveredTarget(life, SERVICE, life.id() + ":1", "cairo", 4, draining, 0);
  }

  private static List<Held> without(Held h, KeyRange range) {
    List<Held> parts = new ArrayList<>();
    if (h.range().from() < range.from()) {
      int to = Math.min(h.range().to(), range.from() - 1);
      parts.add(new Held(new KeyRange(h.range().from(), to), h.fence(), h.until()));
    }
    if (h.range().to() > range.to()) {
      int from = Math.max(h.range().from(), range.to() + 1);
      parts.add(new Held(new KeyRange(from, h.range().to()), h.fence(), h.until()));
    }
    return parts;
  }

  private static boolean overlap(KeyRange a, KeyRange b) {
    return a.from() <= b.to() && b.from() <= a.to();
  }
}
