package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cowslipmoor.core.admission.Placement;
import org.cowslipmoor.core.admission.RequestRequirements;
import org.cowslipmoor.core.admission.TargetLoadBalancer;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;

/**
 * Simulates hosts in three data centres that place requests on the targets of one service, some of
 * which fail for all hosts or for those of one data centre, and a coordinator that publishes them.
 * Reports and states are lost now and then, and the coordinator is replaced or away for a while.
 */
final class FailingTargetsSimulation {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long STEP_NANOS = 250 * NANOS_PER_MILLI;
  private static final long SERVICE_NANOS = 50 * NANOS_PER_MILLI;
  private static final int STEPS = 240;
  private static final int HOSTS = 12;
  private static final int TARGETS = 9;
  private static final int REQUESTS_PER_STEP = 3;

  /** Requests of all hosts that may fail at a target before it is found out. */
  private static final int MAX_FAILURES_TO_FIND = 25;

  /** Trial requests to one failing target that all hosts together may send in a step. */
  private static final int MAX_TRIALS_PER_STEP = 2;

  private static final String SERVICE = "orders";
  private static final List<String> DATA_CENTRES = List.of("cairo", "delta", "emden");

  /** How failing targets are found out. */
  enum Variant {
    CORRECT,
    /** Each host finds out by its own failures, as before. */
    UNPUBLISHED,
    /** Reports do not say which data centre they come from. */
    DATA_CENTRES_IGNORED,
    /** Each host may try a failing target at any time. */
    TRIALS_BY_ALL,
    /** A failing target is never tried again. */
    NO_TRIALS
  }

  private final SplittableRandom random;
  private final Variant variant;
  private final boolean hasExchangeFaults;
  private final ImmutableList<DiscoveredTarget> directory;
  private final List<TargetLoadBalancer> hosts = new ArrayList<>();
  private final Map<String, Set<String>> failingFor = new HashMap<>();
  private final Map<String, Integer> failingSince = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private FleetAggregator coordinator;
  private ImmutableList<FleetState.FailingTarget> published = ImmutableList.of();
  private boolean isCoordinatorAway;
  private int coordinatorSince;

  /** Step in which as many targets were last ejected as may be. */
  private int fullAt = -1;

  /** Step in which each failing target was published to all hosts that it fails for. */
  private final Map<String, Integer> foundAt = new HashMap<>();

  /** Failed requests to each failing target before that. */
  private final Map<String, Integer> failuresOf = new HashMap<>();

  private int failures;
  private long now = 1_000 * NANOS_PER_MILLI;

  /**
   * Creates a simulation.
   *
   * @param hasExchangeFaults whether reports, states and coordinators are lost
   */
  FailingTargetsSimulation(long seed, Variant variant, boolean hasExchangeFaults) {
    this.random = new SplittableRandom(seed);
    this.variant = variant;
    this.hasExchangeFaults = hasExchangeFaults;
    ImmutableList.Builder<DiscoveredTarget> all = ImmutableList.builder();
    for (int t = 0; t < TARGETS; t++) {
      TargetIncarnation incarnation = new TargetIncarnation("t" + t, 1);
      all.add(
          new DiscoveredTarget(
              incarnation, SERVICE, "t:" + (t + 1), DATA_CENTRES.get(t % 3), 8, false, 0));
    }
    directory = all.build();
    for (int h = 0; h < HOSTS; h++) {
      hosts.add(TargetLoadBalancer.create(dataCentre(h), "h" + h, random.split()));
    }
    replaceCoordinator(0);
  }

  private static String dataCentre(int host) {
    return DATA_CENTRES.get(host % 3);
  }

  private void replaceCoordinator(int step) {
    coordinator = FleetAggregator.create(now);
    coordinator.onTargets(directory);
    coordinatorSince = step;
  }

  /** Runs the simulation; returns the violations. */
  List<String> run() {
    for (int step = 0; step < STEPS; step++) {
      now += STEP_NANOS;
      changeFaults(step);
      Map<String, Integer> sentToFailing = new HashMap<>();
      for (int h = 0; h < HOSTS; h++) {
        send(h, sentToFailing);
      }
      exchange(step);
      check(step, sentToFailing);
    }
    return violations;
  }

  /** Returns the number of failed requests. */
  int failures() {
    return failures;
  }

  private void changeFaults(int step) {
    String target = "t" + random.nextInt(TARGETS);
    // Targets that fail at the same time are fewer than a third, so that all can be ejected.
    switch (random.nextInt(30)) {
      case 0 -> {
        if (failingFor.size() < 2 && failingFor.get(target) == null) {
          begin(target, Set.copyOf(DATA_CENTRES), step);
        }
      }
      case 1 -> {
        if (failingFor.size() < 2 && failingFor.get(target) == null) {
          begin(target, Set.of(DATA_CENTRES.get(random.nextInt(3))), step);
        }
      }
      case 2 -> {
        failingFor.remove(target);
        failingSince.remove(target);
      }
      case 3 -> {
        if (hasExchangeFaults) {
          replaceCoordinator(step);
        }
      }
      case 4 -> isCoordinatorAway = hasExchangeFaults && !isCoordinatorAway;
      default -> {
        // Nothing changes.
      }
    }
  }

  private void begin(String target, Set<String> dataCentres, int step) {
    failingFor.put(target, dataCentres);
    failingSince.put(target, step);
    foundAt.remove(target);
    failuresOf.remove(target);
  }

  private void send(int h, Map<String, Integer> sentToFailing) {
    TargetLoadBalancer host = hosts.get(h);
    for (int i = 0; i < REQUESTS_PER_STEP; i++) {
      RequestRequirements requirements =
          new RequestRequirements(1_000 * NANOS_PER_MILLI, 3_000 * NANOS_PER_MILLI, 1);
      Placement placement = host.assign(directory, Set.of(), requirements, now);
      if (!(placement instanceof Placement.Send send)) {
        violations.add("rejected by h" + h);
        continue;
      }
      DiscoveredTarget t = send.target();
      host.onSend(t, now);
      if (failingFor.getOrDefault(t.id(), Set.of()).contains(dataCentre(h))) {
        failures++;
        sentToFailing.merge(t.id(), 1, Integer::sum);
        host.onFailure(t, now);
      } else {
        host.onResponse(t, now, SERVICE_NANOS, 100, null);
      }
    }
  }

  private void exchange(int step) {
    for (int h = 0; h < HOSTS; h++) {
      HostReport report =
          new HostReport(
              ImmutableMap.of(),
              hosts.get(h).drainSamples(),
              HostReport.StoreKnowledge.NONE,
              ImmutableSet.of(),
              ImmutableSet.of(),
              now,
              variant == Variant.DATA_CENTRES_IGNORED ? "" : dataCentre(h));
      if (!isLost()) {
        coordinator.onReport("h" + h, report, now);
      }
    }
    if (isCoordinatorAway) {
      coordinatorSince = step;
      return;
    }
    FleetState state = coordinator.state(now, 0, ImmutableList.of(), ImmutableSet.of(), true);
    published = state.failing();
    for (int h = 0; h < HOSTS; h++) {
      if (!isLost()) {
        hosts.get(h).onFleetState(changed(state, h), now);
      }
    }
  }

  private boolean isLost() {
    return hasExchangeFaults && (isCoordinatorAway || random.nextInt(10) == 0);
  }

  private FleetState changed(FleetState state, int host) {
    ImmutableList.Builder<FleetState.FailingTarget> failing = ImmutableList.builder();
    for (FleetState.FailingTarget f : state.failing()) {
      switch (variant) {
        case UNPUBLISHED -> {}
        case TRIALS_BY_ALL ->
            failing.add(new FleetState.FailingTarget(f.target(), f.dataCentre(), "h" + host));
        case NO_TRIALS -> failing.add(new FleetState.FailingTarget(f.target(), f.dataCentre(), ""));
        default -> failing.add(f);
      }
    }
    return new FleetState(
        state.hosts(),
        state.targets(),
        0,
        ImmutableList.of(),
        ImmutableSet.of(),
        true,
        ImmutableSet.of(),
        failing.build());
  }

  private void check(int step, Map<String, Integer> sentToFailing) {
    for (String dataCentre : DATA_CENTRES) {
      Set<String> ejected = new HashSet<>();
      for (FleetState.FailingTarget f : published) {
        if (f.dataCentre().isEmpty() || f.dataCentre().equals(dataCentre)) {
          ejected.add(f.target());
        }
      }
      require(ejected.size() <= TARGETS / 3, "too many ejected", step);
      // Targets that have recovered are ejected until their next trials, and use up the bound.
      fullAt = ejected.size() == TARGETS / 3 ? step : fullAt;
    }
    if (hasExchangeFaults || isCoordinatorAway) {
      return;
    }
    for (Map.Entry<String, Set<String>> e : failingFor.entrySet()) {
      String target = e.getKey();
      int sent = sentToFailing.getOrDefault(target, 0);
      Integer found = foundAt.get(target);
      require(
          found == null || found == step || sent <= MAX_TRIALS_PER_STEP,
          "used although it was found out",
          step);
      int before = failuresOf.merge(target, found == null ? sent : 0, Integer::sum);
      require(before <= MAX_FAILURES_TO_FIND || fullAt == step, "found out too late", step);
      if (isPublishedFor(target, e.getValue())) {
        foundAt.putIfAbsent(target, step);
        failuresOf.remove(target);
      } else {
        foundAt.remove(target);
      }
      if (fullAt == step) {
        failuresOf.remove(target);
      }
    }
    for (FleetState.FailingTarget f : published) {
      Set<String> failing = failingFor.get(f.target());
      // A target that has recovered is published until its next trial.
      if (failing != null && failing.size() == 1) {
        require(
            failing.contains(f.dataCentre()) || step - failingSince.get(f.target()) < 8,
            "path taken for the target",
            step);
      }
    }
  }

  private boolean isPublishedFor(String target, Set<String> dataCentres) {
    return dataCentres.stream()
        .allMatch(
            dc ->
                published.stream()
                    .filter(f -> f.target().equals(target))
                    .anyMatch(f -> f.dataCentre().isEmpty() || f.dataCentre().equals(dc)));
  }

  /**
   * Ends all faults and runs on for longer than the longest ejection; returns whether all targets
   * are used again.
   */
  boolean recovers() {
    failingFor.clear();
    failingSince.clear();
    isCoordinatorAway = false;
    for (int step = STEPS; step < STEPS + 200; step++) {
      now += STEP_NANOS;
      for (int h = 0; h < HOSTS; h++) {
        send(h, new HashMap<>());
      }
      exchange(step);
    }
    return published.isEmpty();
  }

  private void require(boolean condition, String violation, int step) {
    if (!condition) {
      violations.add(violation + " in step " + step + ", coordinator since " + coordinatorSince);
    }
  }
}
