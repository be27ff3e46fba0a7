package org.cowslipmoor.core.selection;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cowslipmoor.core.admission.Placement;
import org.cowslipmoor.core.admission.RequestRequirements;
import org.cowslipmoor.core.admission.TargetLoadBalancer;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.discovery.TargetLimits;

/**
 * Simulates one host and an operator who evacuates data centres and takes them back, in random
 * order. The host learns of it by full reads, its own watch and relayed updates, which arrive late
 * and out of order; the store is out of reach at times, the coordinator that relays changes, and
 * the host starts anew.
 */
final class EvacuationSimulation {
  static final long LIMIT_NANOS = 5_000_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The share of the limit for which targets are used at least if there are no others. */
  private static final long MIN_USE_NANOS = 3_900 * NANOS_PER_MILLI;

  /** Time after an evacuation within which all targets must be in use again. */
  private static final long MAX_RETURN_NANOS = 4_100 * NANOS_PER_MILLI;

  private static final int EVENTS = 80;
  private static final String SERVICE = "sheets";
  private static final List<String> DATA_CENTRES = List.of("cairo", "delta", "emden");
  private static final int TARGETS_PER_DATA_CENTRE = 3;

  /** How the host handles evacuations. */
  enum Variant {
    CORRECT,
    /** The operator's keys are not read, as before this rule. */
    IGNORED,
    /** The deadline counts from the arrival of the news. */
    COUNTED_FROM_ARRIVAL,
    /** A host that starts takes evacuated data centres for ones that were not a moment ago. */
    STARTED_AS_CLEAR,
    /** A placed request is not checked again before it is written. */
    NOT_CHECKED_BEFORE_WRITE,
    /** Evacuated targets are used like others until the deadline. */
    USED_UNTIL_DEADLINE,
    /** A data centre that was evacuated once is not used again. */
    NEVER_RETURNS
  }

  private enum Event {
    EVACUATE,
    TAKE_BACK,
    EVACUATE_ALL,
    EVACUATE_UNKNOWN,
    WATCH,
    WATCH_AGAIN,
    RELAY,
    RELAY_AGAIN,
    FIRST_READ,
    LATE_RELAY,
    OUTAGE,
    OUTAGE_END,
    COORDINATOR_CHANGE,
    HOST_START,
    NOTHING
  }

  /** The operator's keys after each change, by time. */
  private final TreeMap<Long, ImmutableSet<String>> store = new TreeMap<>();

  private final SplittableRandom random;
  private final Variant variant;
  private final Map<String, Long> evacuatedAt = new HashMap<>();
  private final Set<DiscoveredTarget> placed = new HashSet<>();
  private final List<String> trace = new ArrayList<>();
  private final TargetDirectory registered = directory();
  private TargetSelector selector;

  /** The newest state of the store that the host has read; its time is below 0 before that. */
  private long knownAsOf;

  private ImmutableSet<String> known = ImmutableSet.of();

  /** When the host last knew that a data centre was not evacuated. */
  private final Map<String, Long> clearAsOf = new HashMap<>();

  /** When the host learnt that a data centre is no longer evacuated. */
  private final Map<String, Long> returnLearntAt = new HashMap<>();

  private boolean isOutage;
  private boolean isRelayed = true;
  private boolean hasViolations;
  private long now = 10_000 * NANOS_PER_MILLI;

  EvacuationSimulation(long seed, Variant variant) {
    random = new SplittableRandom(seed);
    this.variant = variant;
    store.put(0L, ImmutableSet.of());
    startHost();
  }

  private static TargetDirectory directory() {
    List<DiscoveredTarget> targets = new ArrayList<>();
    for (String dc : DATA_CENTRES) {
      for (int i = 0; i < TARGETS_PER_DATA_CENTRE; i++) {
        String id = dc + "-" + i;
        targets.add(
            new DiscoveredTarget(
                new TargetIncarnation(id, 1), SERVICE, id + ":1", dc, 4, false, 0));
      }
    }
    return TargetDirectory.of(targets);
  }

  /** Runs the simulation; returns the events and violations, or nothing without violations. */
  List<String> run() {
    for (int i = 0; i < EVENTS; i++) {
      now += random.nextLong(random.nextInt(4) == 0 ? 5_000 : 700) * NANOS_PER_MILLI;
      String dataCentre = DATA_CENTRES.get(random.nextInt(DATA_CENTRES.size()));
      Event event = Event.values()[random.nextInt(Event.values().length)];
      trace.add(now / NANOS_PER_MILLI + " " + event + " " + dataCentre);
      // A state was read up to a while ago, held back on its way, and arrives now.
      apply(event, dataCentre);
      selector.tick(now);
      check();
    }
    return hasViolations ? trace : List.of();
  }

  private void apply(Event event, String dataCentre) {
    switch (event) {
      case EVACUATE -> evacuate(dataCentre);
      case EVACUATE_ALL -> DATA_CENTRES.forEach(this::evacuate);
      case EVACUATE_UNKNOWN -> evacuate("nowhere");
      case TAKE_BACK -> {
        if (!isOutage && evacuatedAt.remove(dataCentre) != null) {
          store.put(now, ImmutableSet.copyOf(evacuatedAt.keySet()));
        }
      }
      case WATCH, WATCH_AGAIN -> readStore(random.nextLong(60));
      case FIRST_READ -> readStore(random.nextLong(800));
      case RELAY, RELAY_AGAIN -> {
        if (isRelayed) {
          readStore(random.nextLong(1_500));
        }
      }
      // Frames of a former coordinator, or held back by a link.
      case LATE_RELAY -> onState(now - random.nextLong(4_000) * NANOS_PER_MILLI);
      case OUTAGE -> isOutage = true;
      case OUTAGE_END -> isOutage = false;
      case COORDINATOR_CHANGE -> isRelayed = !isRelayed;
      case HOST_START -> startHost();
      default -> {
        // Time passes.
      }
    }
  }

  private void evacuate(String dataCentre) {
    if (!isOutage && evacuatedAt.putIfAbsent(dataCentre, now) == null) {
      store.put(now, ImmutableSet.copyOf(evacuatedAt.keySet()));
    }
  }

  private void startHost() {
    selector =
        TargetSelector.create(
            TargetLoadBalancer.create("cairo", random.split()), 2_000 * NANOS_PER_MILLI);
    selector.onTargetLimits(new TargetLimits(0, 0, LIMIT_NANOS / NANOS_PER_MILLI), now);
    selector.onTargets(registered, now);
    // Before the first read, the host knows nothing, although its clock runs.
    selector.onConfirmed(now - 1_000 * NANOS_PER_MILLI);
    if (variant == Variant.STARTED_AS_CLEAR) {
      selector.onEvacuated(Set.of(), true, now);
      selector.onConfirmed(now);
    }
    knownAsOf = -1;
    known = ImmutableSet.of();
    clearAsOf.clear();
    returnLearntAt.clear();
    placed.clear();
  }

  private void readStore(long maxAgeMillis) {
    if (!isOutage) {
      onState(now - maxAgeMillis * NANOS_PER_MILLI);
    }
  }

  /** Delivers the state of the store as of a time, unless the host knows a newer one. */
  private void onState(long asOf) {
    if (asOf <= knownAsOf) {
      return;
    }
    ImmutableSet<String> state = store.floorEntry(asOf).getValue();
    for (String dc : DATA_CENTRES) {
      if (!state.contains(dc)) {
        if (known.contains(dc)) {
          returnLearntAt.put(dc, now);
        }
        clearAsOf.put(dc, asOf);
      } else {
        returnLearntAt.remove(dc);
      }
    }
    if (variant == Variant.COUNTED_FROM_ARRIVAL && knownAsOf >= 0) {
      selector.onConfirmed(now);
    }
    if (variant == Variant.NEVER_RETURNS) {
      Set<String> ever = new HashSet<>(state);
      ever.addAll(selector.evacuations().inForce().keySet());
      selector.onEvacuated(ever, true, now);
    } else if (variant != Variant.IGNORED) {
      selector.onEvacuated(state, true, now);
    }
    // The time of the confirmation is passed on by a periodic task, which may come late.
    if (random.nextInt(4) > 0) {
      selector.onConfirmed(asOf);
    } else {
      DATA_CENTRES.stream().filter(dc -> !state.contains(dc)).forEach(clearAsOf::remove);
    }
    known = state;
    knownAsOf = asOf;
  }

  private void check() {
    Placement placement = assign();
    if (placement instanceof Placement.Send send) {
      DiscoveredTarget target = send.target();
      String dc = target.dataCentre();
      require(mayBeReached(dc), "chosen too late", dc);
      require(!known.contains(dc) || isEachKnown(), "used beside others", dc);
      if (random.nextBoolean()) {
        placed.add(target);
      }
    } else {
      require(isEachKnown(), "rejected although others serve", "");
      for (String dc : DATA_CENTRES) {
        Long clear = clearAsOf.get(dc);
        require(clear == null || now - clear >= MIN_USE_NANOS, "rejected too early", dc);
      }
    }
    for (DiscoveredTarget t : placed) {
      boolean isWritten =
          variant == Variant.NOT_CHECKED_BEFORE_WRITE || selector.mayReceive(t, now);
      require(!isWritten || mayBeReached(t.dataCentre()), "written too late", t.id());
      require(isWritten || known.contains(t.dataCentre()), "not written", t.id());
    }
    checkDirectory();
  }

  private void checkDirectory() {
    for (DiscoveredTarget t : registered.all().values()) {
      boolean isUsable = selector.directory().isUsable(t.incarnation());
      String dc = t.dataCentre();
      require(!isUsable || !known.contains(dc), "given keys", t.id());
      Long returned = returnLearntAt.get(dc);
      boolean mustServe =
          !known.contains(dc) && (returned == null || now - returned >= MAX_RETURN_NANOS);
      require(isUsable || !mustServe, "not used again", t.id());
    }
    long usable = selector.directory().usable(SERVICE).size();
    require(usable > 0 || isEachKnown(), "none usable", "");
  }

  private Placement assign() {
    RequestRequirements requirements =
        new RequestRequirements(1_000 * NANOS_PER_MILLI, 3_000 * NANOS_PER_MILLI, 1);
    if (variant == Variant.USED_UNTIL_DEADLINE) {
      List<DiscoveredTarget> used =
          registered.all().values().stream().filter(t -> selector.mayReceive(t, now)).toList();
      return used.isEmpty()
          ? new Placement.NoTarget()
          : new Placement.Send(used.get(random.nextInt(used.size())), 1);
    }
    return selector.assign(SERVICE, Set.of(), requirements, now);
  }

  /** Returns whether the host knows that all data centres are evacuated. */
  private boolean isEachKnown() {
    return known.containsAll(DATA_CENTRES);
  }

  /**
   * Returns whether a request may reach a data centre now: the host can't know of its evacuation
   * yet, or the limit has not passed since the evacuation that it knows of.
   */
  private boolean mayBeReached(String dataCentre) {
    if (!known.contains(dataCentre)) {
      return true;
    }
    Long since = null;
    for (Map.Entry<Long, ImmutableSet<String>> e : store.headMap(knownAsOf, true).entrySet()) {
      boolean isEvacuated = e.getValue().contains(dataCentre);
      since = isEvacuated ? (since == null ? e.getKey() : since) : null;
    }
    return since == null || now - since < LIMIT_NANOS;
  }

  private void require(boolean condition, String violation, String subject) {
    if (!condition) {
      hasViolations = true;
      trace.add(violation + ": " + subject);
    }
  }
}
