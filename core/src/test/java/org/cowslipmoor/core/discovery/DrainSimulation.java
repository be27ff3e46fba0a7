package org.cowslipmoor.core.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulates one host and two targets that drain, state that they are leaving, restart under their
 * ids, and are missing from the store, in random order. The host reads the store now and then.
 */
final class DrainSimulation {
  static final long LIMIT_NANOS = 2_000_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int EVENTS = 60;
  private static final String SERVICE = "stock";

  /** Time for which a target that is leaving is at least used if there is no other one. */
  private static final long MIN_USE_NANOS = LIMIT_NANOS / 2;

  /** How the host handles statements. */
  enum Variant {
    CORRECT,
    /** Targets are known to leave by their entries only. */
    STATEMENTS_IGNORED,
    /** The statement of a former incarnation is taken for one of the present incarnation. */
    STATEMENTS_BY_ID,
    /** The host forgets what it knows of targets when an entry is missing. */
    FORGOTTEN_WITH_ENTRY
  }

  private enum Event {
    ANNOUNCE,
    WITHDRAW,
    STATEMENT,
    LATE_STATEMENT,
    RESTART,
    LOSE_ENTRY,
    RESTORE_ENTRY,
    READ_STORE,
    READ_STORE_AGAIN
  }

  /** A target as it is, and its entry in the store. */
  private static final class Target {
    final String id;
    long startedAt = 1;
    boolean draining;
    boolean isRegistered = true;

    Target(String id) {
      this.id = id;
    }

    TargetIncarnation incarnation() {
      return new TargetIncarnation(id, startedAt);
    }

    /** Returns the entry; both targets have one address, as after its reuse. */
    DiscoveredTarget entry() {
      return new DiscoveredTarget(incarnation(), SERVICE, "127.0.0.1:1", "cairo", 4, draining, 0);
    }
  }

  private final SplittableRandom random;
  private final Variant variant;
  private final List<Target> targets = List.of(new Target("t"), new Target("u"));
  private final Map<TargetIncarnation, Long> announcedAt = new HashMap<>();
  private final Set<TargetIncarnation> seenDraining = new HashSet<>();
  private final Map<TargetIncarnation, Long> statedAt = new HashMap<>();
  private final Set<TargetIncarnation> chosen = new HashSet<>();
  private final List<String> trace = new ArrayList<>();
  private LeavingTargets leaving = LeavingTargets.create();
  private DrainDeadlines deadlines = DrainDeadlines.create(leaving, LIMIT_NANOS);
  private TargetDirectory registered = TargetDirectory.empty();
  private boolean hasViolations;
  private long now;

  DrainSimulation(long seed, Variant variant) {
    random = new SplittableRandom(seed);
    this.variant = variant;
  }

  /** Runs the simulation; returns the events and violations, or nothing without violations. */
  List<String> run() {
    readStore();
    for (int i = 0; i < EVENTS; i++) {
      now += random.nextLong(900) * NANOS_PER_MILLI;
      Target target = targets.get(random.nextInt(targets.size()));
      Event event = Event.values()[random.nextInt(Event.values().length)];
      trace.add(now / NANOS_PER_MILLI + " " + event + " " + target.incarnation());
      apply(event, target);
      check();
    }
    return hasViolations ? trace : List.of();
  }

  private void apply(Event event, Target target) {
    switch (event) {
      case ANNOUNCE -> {
        if (!target.draining) {
          target.draining = true;
          announcedAt.put(target.incarnation(), now);
        }
      }
      case WITHDRAW -> {
        target.draining = false;
        announcedAt.remove(target.incarnation());
        seenDraining.remove(target.incarnation());
      }
      case STATEMENT -> onStatement(target.incarnation());
      case LATE_STATEMENT -> onStatement(new TargetIncarnation(target.id, target.startedAt - 1));
      case RESTART -> {
        target.startedAt++;
        target.draining = false;
        target.isRegistered = true;
      }
      case LOSE_ENTRY -> target.isRegistered = false;
      case RESTORE_ENTRY -> target.isRegistered = true;
      default -> readStore();
    }
  }

  private void onStatement(TargetIncarnation target) {
    statedAt.putIfAbsent(target, now);
    switch (variant) {
      case STATEMENTS_IGNORED -> {}
      case STATEMENTS_BY_ID ->
          targets.stream()
              .filter(t -> t.id.equals(target.id()))
              .forEach(t -> leaving.onLeaving(t.incarnation(), now));
      default -> leaving.onLeaving(target, now);
    }
  }

  private void readStore() {
    List<DiscoveredTarget> entries =
        targets.stream().filter(t -> t.isRegistered).map(Target::entry).toList();
    if (variant == Variant.FORGOTTEN_WITH_ENTRY && entries.size() < targets.size()) {
      leaving = LeavingTargets.create();
      deadlines = DrainDeadlines.create(leaving, LIMIT_NANOS);
    }
    registered = TargetDirectory.of(entries);
    leaving.onTargets(entries, now);
    deadlines.onTargets(entries, now);
    deadlines.onConfirmed(now);
    entries.stream()
        .filter(DiscoveredTarget::draining)
        .forEach(t -> seenDraining.add(t.incarnation()));
  }

  private void check() {
    TargetDirectory directory = registered.withDraining(leaving.targets());
    List<DiscoveredTarget> candidates = deadlines.candidates(directory, SERVICE, now);
    boolean hasStaying = registered.all().values().stream().anyMatch(this::stays);
    for (DiscoveredTarget t : directory.all().values()) {
      TargetIncarnation i = t.incarnation();
      boolean isUsable = deadlines.isUsable(t, now);
      require(!isUsable || !mustNotReceive(i), "used too late", i);
      require(isUsable || !stays(t), "not used although it stays", i);
      require(isUsable || t.draining(), "not used although it does not drain", i);
      require(isUsable || !mustServe(i), "not used long enough", i);
      boolean isCandidate = hasStaying ? stays(t) : isUsable;
      require(candidates.contains(t) == isCandidate, "wrong candidates", i);
    }
    candidates.forEach(t -> chosen.add(t.incarnation()));
    // A request that was placed earlier is checked again before it is written.
    for (TargetIncarnation i : chosen) {
      require(!mustNotReceive(i) || deadlines.hasPassed(i, now), "written too late", i);
    }
  }

  private void require(boolean condition, String violation, TargetIncarnation target) {
    if (!condition) {
      hasViolations = true;
      trace.add(violation + ": " + target);
    }
  }

  /** Returns whether the host knows of nothing that makes a target leave. */
  private boolean stays(DiscoveredTarget target) {
    return !registered.all().get(target.id()).draining()
        && !statedAt.containsKey(target.incarnation());
  }

  private boolean mustNotReceive(TargetIncarnation target) {
    Long stated = statedAt.get(target);
    Long announced = seenDraining.contains(target) ? announcedAt.get(target) : null;
    return (stated != null && now - stated >= LIMIT_NANOS)
        || (announced != null && now - announced >= LIMIT_NANOS);
  }

  /** Returns whether a target has stated recently that it is leaving, and did not announce it. */
  private boolean mustServe(TargetIncarnation target) {
    Long stated = statedAt.get(target);
    return stated != null
        && now - stated < MIN_USE_NANOS
        && registered.find(target).filter(t -> !t.draining()).isPresent()
        && !seenDraining.contains(target);
  }
}
