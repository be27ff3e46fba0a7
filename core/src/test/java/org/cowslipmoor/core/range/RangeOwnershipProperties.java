package org.cowslipmoor.core.range;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Properties of exclusive ownership under random faults of targets, commands and coordinators. */
final class RangeOwnershipProperties {
  private static final int STEPS = 25;

  /** Size of a hot range; larger than the distance between the keys that the simulation samples. */
  private static final int HOT_RANGE_SIZE = 2_000;

  @Property(tries = 60, seed = "20261204")
  void keysHaveOneOwnerUnderRandomFaults(@ForAll long seed) {
    RangeSimulation simulation = new RangeSimulation(seed, 5, 0.25, 1);

    injectFaults(simulation, seed);

    assertThat(simulation.violations(), is(empty()));
  }

  @Property(tries = 60, seed = "20261204")
  void allKeysAreServedAgainOnceFaultsEnd(@ForAll long seed) {
    RangeSimulation simulation = new RangeSimulation(seed, 5, 0, 1);
    injectFaults(simulation, seed);

    simulation.run(25_000 * RangeSimulation.NANOS_PER_MILLI);

    assertThat(simulation.servedFraction(), is(1.0));
  }

  /**
   * Guards against two owners of hot ranges that are split off and transferred while targets and
   * commands fail.
   */
  @Property(tries = 20, seed = "20261204")
  void keysTransferredByLoadKeepOneOwner(@ForAll long seed) {
    RangeSimulation simulation = new RangeSimulation(seed, 5, 0.25, 1);
    SplittableRandom random = new SplittableRandom(seed + 1);
    simulation.run(3_000 * RangeSimulation.NANOS_PER_MILLI);
    final int initialWrites = simulation.store.writes;
    simulation.load = hotRange(random);
    // A grant without a response has to expire before its keys can be transferred.
    simulation.run(10_000 * RangeSimulation.NANOS_PER_MILLI);
    assertThat(simulation.store.writes, greaterThan(initialWrites));

    injectFaults(simulation, seed, () -> simulation.load = hotRange(random));

    assertThat(simulation.violations(), is(empty()));
  }

  private static ServiceLoad hotRange(SplittableRandom random) {
    int from = random.nextInt(KeyRange.LAST_KEY - HOT_RANGE_SIZE);
    return TestLoads.withHotRange(new KeyRange(from, from + HOT_RANGE_SIZE - 1), 0.6);
  }

  /**
   * A target whose entry is gone releases its keys late, for the former coordinator, and its entry
   * returns.
   */
  @Property(tries = 30, seed = "20261204")
  void targetThatReturnsAfterItsReleaseKeepsOneOwner(@ForAll long seed) {
    RangeSimulation simulation = new RangeSimulation(seed, 4, 0, 1);
    simulation.run(2_000 * RangeSimulation.NANOS_PER_MILLI);
    simulation.removeEntry("t1");
    simulation.replaceCoordinator();
    simulation.run(
        1_000 * RangeSimulation.NANOS_PER_MILLI
            + Math.floorMod(seed, 2_000) * RangeSimulation.NANOS_PER_MILLI);
    simulation.restoreEntry("t1");
    simulation.run(15_000 * RangeSimulation.NANOS_PER_MILLI);

    assertThat(simulation.violations(), is(empty()));
    assertThat(simulation.servedFraction(), is(1.0));
  }

  /** A target that restarts responds at its former address before its new entry is visible. */
  @Property(tries = 60, seed = "20261204")
  void keysOfRestartWithStaleEntryKeepOneOwner(@ForAll long seed) {
    RangeSimulation simulation = new RangeSimulation(seed, 5, 0, 1);
    SplittableRandom random = new SplittableRandom(seed);
    simulation.run(3_000 * RangeSimulation.NANOS_PER_MILLI);
    simulation.load = hotRange(random);
    simulation.run(4_000 * RangeSimulation.NANOS_PER_MILLI);
    for (int i = 0; i < 8; i++) {
      simulation.load = hotRange(random);
      simulation.restartWithStaleEntry(
          "t" + random.nextInt(5), random.nextLong(2_500) * RangeSimulation.NANOS_PER_MILLI);
      simulation.run(
          random.nextLong(3_000) * RangeSimulation.NANOS_PER_MILLI
              + RangeSimulation.NANOS_PER_MILLI);
    }
    simulation.run(15_000 * RangeSimulation.NANOS_PER_MILLI);

    assertThat(simulation.violations(), is(empty()));
    assertThat(simulation.servedFraction(), is(1.0));
  }

  /**
   * Guards against two owners when each host has a different view of the store, the targets and the
   * time.
   */
  @Property(tries = 150, seed = "20261204")
  void keysKeepOneOwnerWhileCoordinatorsOverlap(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RangeSimulation simulation = new RangeSimulation(seed, 5, 0.05, 1);
    List<FakeHost> hosts = new ArrayList<>(List.of(simulation.leader()));
    addHosts(simulation, hosts, random);
    simulation.run(3_000 * RangeSimulation.NANOS_PER_MILLI);
    for (int i = 0; i < STEPS; i++) {
      injectHostFaults(simulation, hosts, random);
      injectTargetFaults(simulation, random);
      simulation.run(
          random.nextLong(2_500) * RangeSimulation.NANOS_PER_MILLI
              + RangeSimulation.NANOS_PER_MILLI);
    }
    endFaults(simulation, hosts);

    assertThat(simulation.violations(), is(empty()));
    // A transfer may be in progress.
    assertThat(simulation.advanceUntilAllServed(5_000 * RangeSimulation.NANOS_PER_MILLI), is(true));
  }

  /**
   * Guards against two owners when an owner states that it leaves, one host sees it, and its entry
   * still says that it is ready.
   */
  @Property(tries = 100, seed = "20261206")
  void keysOfOwnersThatStateThatTheyLeaveKeepOneOwner(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RangeSimulation simulation = new RangeSimulation(seed, 5, 0.05, 1);
    simulation.maxExchangeDelayNanos = 1_000 * RangeSimulation.NANOS_PER_MILLI;
    simulation.exchangeLossProbability = 0.2;
    List<FakeHost> hosts = new ArrayList<>(List.of(simulation.leader()));
    addHosts(simulation, hosts, random);
    simulation.run(3_000 * RangeSimulation.NANOS_PER_MILLI);
    for (int i = 0; i < STEPS; i++) {
      stateLeaving(simulation, random);
      injectHostFaults(simulation, hosts, random);
      injectTargetFaults(simulation, random);
      simulation.run(
          random.nextLong(2_500) * RangeSimulation.NANOS_PER_MILLI
              + RangeSimulation.NANOS_PER_MILLI);
    }
    endFaults(simulation, hosts);

    assertThat(simulation.violations(), is(empty()));
    // A transfer may be in progress.
    assertThat(simulation.advanceUntilAllServed(5_000 * RangeSimulation.NANOS_PER_MILLI), is(true));
  }

  /**
   * Verifies that the check detects a coordinator that grants the keys of an owner that leaves to
   * the next one without waiting for the release.
   */
  @Property(tries = 1, seed = "20261206")
  void releasesThatAreAssumedAreDetected() {
    int violations = 0;
    for (long seed = 0; seed < 5; seed++) {
      violations += violationsAfterStatements(seed, true);
      assertThat(violationsAfterStatements(seed, false), is(0));
    }
    assertThat(violations, greaterThan(0));
  }

  private static int violationsAfterStatements(long seed, boolean assumesReleases) {
    RangeSimulation simulation = new RangeSimulation(seed, 5, 0, 1);
    simulation.assumesReleases = assumesReleases;
    simulation.addHost();
    simulation.run(5_000 * RangeSimulation.NANOS_PER_MILLI);
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < 3; i++) {
      stateLeaving(simulation, random);
      simulation.run(2_000 * RangeSimulation.NANOS_PER_MILLI);
    }
    return simulation.violations().size();
  }

  private static void stateLeaving(RangeSimulation simulation, SplittableRandom random) {
    List<FakeHost> running = simulation.runningHosts();
    simulation.stateLeaving(
        anyTarget(simulation, random), running.get(random.nextInt(running.size())));
  }

  /** Guards against keys that stay in an evacuated data centre, or burden few targets elsewhere. */
  @Property(tries = 30, seed = "20261206")
  void keysLeaveEvacuatedDataCentreAheadOfTheDeadline(@ForAll long seed) {
    RangeSimulation simulation = new RangeSimulation(seed, 9, 0, 1);
    simulation.addHost();
    simulation.run(5_000 * RangeSimulation.NANOS_PER_MILLI);
    simulation.evacuated.add("cairo");
    simulation.run(2_000 * RangeSimulation.NANOS_PER_MILLI);

    assertThat(simulation.ownedKeys("cairo"), is(0));
    assertThat(simulation.largestOwnership(), lessThan((KeyRange.LAST_KEY + 1) * 2 / 6));
    assertThat(simulation.servedFraction(), is(1.0));

    simulation.evacuated.add("delta");
    simulation.run(2_000 * RangeSimulation.NANOS_PER_MILLI);
    assertThat(simulation.ownedKeys("emden"), is(KeyRange.LAST_KEY + 1));

    simulation.evacuated.clear();
    simulation.run(30_000 * RangeSimulation.NANOS_PER_MILLI);
    assertThat(simulation.ownedKeys("cairo"), greaterThan(0));
    assertThat(simulation.ownedKeys("delta"), greaterThan(0));
    assertThat(simulation.servedFraction(), is(1.0));
    assertThat(simulation.violations(), is(empty()));
  }

  /** Guards against keys without an owner when there is nowhere to move them to. */
  @Property(tries = 30, seed = "20261206")
  void keysStayWhenAllDataCentresAreEvacuated(@ForAll long seed) {
    RangeSimulation simulation = new RangeSimulation(seed, 6, 0, 1);
    simulation.run(5_000 * RangeSimulation.NANOS_PER_MILLI);
    simulation.evacuated.addAll(List.of("cairo", "delta", "emden"));
    simulation.run(10_000 * RangeSimulation.NANOS_PER_MILLI);
    assertThat(simulation.servedFraction(), is(1.0));
    simulation.evacuated.clear();
    simulation.run(10_000 * RangeSimulation.NANOS_PER_MILLI);
    assertThat(simulation.servedFraction(), is(1.0));
    assertThat(simulation.violations(), is(empty()));
  }

  /**
   * Guards against two owners while data centres are evacuated and taken back, and hosts, targets
   * and the store fail.
   */
  @Property(tries = 40, seed = "20261206")
  void keysOfEvacuatedDataCentresKeepOneOwner(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RangeSimulation simulation = new RangeSimulation(seed, 6, 0.1, 1);
    List<FakeHost> hosts = new ArrayList<>(List.of(simulation.leader()));
    addHosts(simulation, hosts, random);
    simulation.run(3_000 * RangeSimulation.NANOS_PER_MILLI);
    for (int i = 0; i < STEPS; i++) {
      evacuateOrTakeBack(simulation, random);
      injectHostFaults(simulation, hosts, random);
      injectTargetFaults(simulation, random);
      simulation.run(
          random.nextLong(2_500) * RangeSimulation.NANOS_PER_MILLI
              + RangeSimulation.NANOS_PER_MILLI);
    }
    simulation.evacuated.clear();
    simulation.evacuated.add("cairo");
    endFaults(simulation, hosts);

    assertThat(simulation.violations(), is(empty()));
    // A transfer may be in progress.
    assertThat(simulation.advanceUntilAllServed(5_000 * RangeSimulation.NANOS_PER_MILLI), is(true));
    assertThat(simulation.ownedKeys("cairo"), is(0));
  }

  /**
   * Verifies that the check detects a coordinator that grants the keys of an evacuated data centre
   * to the next owners without waiting for the releases.
   */
  @Property(tries = 1, seed = "20261206")
  void releasesInEvacuatedDataCentreThatAreAssumedAreDetected() {
    int violations = 0;
    for (long seed = 0; seed < 5; seed++) {
      violations += violationsAfterEvacuation(seed, true);
      assertThat(violationsAfterEvacuation(seed, false), is(0));
    }
    assertThat(violations, greaterThan(0));
  }

  private static int violationsAfterEvacuation(long seed, boolean assumesReleases) {
    RangeSimulation simulation = new RangeSimulation(seed, 6, 0, 1);
    simulation.assumesReleases = assumesReleases;
    simulation.addHost();
    simulation.run(5_000 * RangeSimulation.NANOS_PER_MILLI);
    simulation.evacuated.add("cairo");
    simulation.run(4_000 * RangeSimulation.NANOS_PER_MILLI);
    return simulation.violations().size();
  }

  private static void evacuateOrTakeBack(RangeSimulation simulation, SplittableRandom random) {
    String dataCentre = List.of("cairo", "delta", "emden").get(random.nextInt(3));
    if (!simulation.evacuated.remove(dataCentre)) {
      simulation.evacuated.add(dataCentre);
    }
  }

  /** Covers a large service whose owners have several entries each. */
  @Property(tries = 2, seed = "20261204")
  void keysOfManyTargetsKeepOneOwner(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RangeSimulation simulation = new RangeSimulation(seed, 60, 0.02, 1);
    List<FakeHost> hosts = new ArrayList<>(List.of(simulation.leader()));
    addHosts(simulation, hosts, random);
    simulation.run(3_000 * RangeSimulation.NANOS_PER_MILLI);
    for (int i = 0; i < 12; i++) {
      simulation.load = TestLoads.skewed(random);
      injectHostFaults(simulation, hosts, random);
      for (int j = 0; j < 4; j++) {
        injectTargetFaults(simulation, random);
      }
      simulation.run(
          random.nextLong(2_500) * RangeSimulation.NANOS_PER_MILLI
              + RangeSimulation.NANOS_PER_MILLI);
    }
    endFaults(simulation, hosts);

    assertThat(simulation.violations(), is(empty()));
    // A transfer may be in progress.
    assertThat(simulation.advanceUntilAllServed(5_000 * RangeSimulation.NANOS_PER_MILLI), is(true));
  }

  private static void addHosts(
      RangeSimulation simulation, List<FakeHost> hosts, SplittableRandom random) {
    while (hosts.size() < 3) {
      FakeHost host = simulation.addHost();
      host.sendDelayNanos =
          random.nextBoolean() ? 0 : random.nextLong(500) * RangeSimulation.NANOS_PER_MILLI;
      host.maxSendJitterNanos = random.nextBoolean() ? 0 : 1_000 * RangeSimulation.NANOS_PER_MILLI;
      host.responseDelayNanos =
          random.nextBoolean() ? 0 : random.nextLong(500) * RangeSimulation.NANOS_PER_MILLI;
      hosts.add(host);
    }
  }

  private static void injectHostFaults(
      RangeSimulation simulation, List<FakeHost> hosts, SplittableRandom random) {
    FakeHost host = hosts.get(random.nextInt(hosts.size()));
    switch (random.nextInt(10)) {
      case 0 -> simulation.store.disconnect(host);
      case 1 -> hosts.forEach(simulation.store::reconnect);
      case 2, 3, 4 ->
          hosts.stream()
              .filter(FakeHost::leads)
              .findFirst()
              .ifPresent(leader -> isolate(leader, simulation, hosts, random));
      case 5 ->
          simulation.store.makeUnavailable(
              random.nextLong(3_000) * RangeSimulation.NANOS_PER_MILLI, random.nextBoolean());
      case 6 ->
          simulation.store.latencyNanos =
              (2 + random.nextLong(200)) * RangeSimulation.NANOS_PER_MILLI;
      case 7 -> {
        simulation.store.lostResponseProbability = random.nextDouble() * 0.1;
        simulation.store.lateCallProbability = random.nextDouble() * 0.1;
      }
      case 8 -> {
        hosts.forEach(FakeHost::stop);
        hosts.clear();
        simulation.run(1_000 * RangeSimulation.NANOS_PER_MILLI);
        addHosts(simulation, hosts, random);
      }
      default -> {
        // Time passes without a host fault.
      }
    }
    String id = anyTarget(simulation, random);
    RangeSimulation.LinkFault fault =
        random.nextBoolean()
            ? RangeSimulation.LinkFault.DROPPED
            : RangeSimulation.LinkFault.REFUSED;
    switch (random.nextInt(4)) {
      case 0 -> simulation.breakLink(host, id, fault);
      case 1 -> simulation.restoreLinks();
      default -> {
        // The links don't change.
      }
    }
  }

  /**
   * The leader loses the store, but still reaches a target that its successor can't reach or sees
   * differently.
   */
  private static void isolate(
      FakeHost leader, RangeSimulation simulation, List<FakeHost> hosts, SplittableRandom random) {
    simulation.store.disconnect(leader);
    if (random.nextBoolean()) {
      simulation.store.revoke();
    }
    if (random.nextInt(3) == 0) {
      leader.suspend(suspensionNanos(random));
    }
    String id = anyTarget(simulation, random);
    if (random.nextBoolean()) {
      hosts.stream()
          .filter(h -> h != leader)
          .forEach(h -> simulation.breakLink(h, id, RangeSimulation.LinkFault.REFUSED));
      simulation.removeEntry(id);
    } else {
      simulation.run(random.nextLong(500) * RangeSimulation.NANOS_PER_MILLI);
      simulation.drain(id);
      simulation.run(random.nextLong(1_000) * RangeSimulation.NANOS_PER_MILLI);
      simulation.restartWithStaleEntry(
          id, random.nextLong(1_000) * RangeSimulation.NANOS_PER_MILLI);
    }
    if (random.nextBoolean()) {
      // Long enough for the longest holds to expire.
      simulation.run(13_000 * RangeSimulation.NANOS_PER_MILLI);
    }
  }

  private static void injectTargetFaults(RangeSimulation simulation, SplittableRandom random) {
    String id = anyTarget(simulation, random);
    switch (random.nextInt(12)) {
      case 0 -> simulation.drain(id);
      case 1 -> simulation.crash(id);
      case 2, 3 -> simulation.restart(id);
      case 4, 5 ->
          simulation.restartWithStaleEntry(
              id, random.nextLong(2_500) * RangeSimulation.NANOS_PER_MILLI);
      case 6 -> simulation.restartElsewhere(id);
      case 7 -> simulation.removeEntry(id);
      case 8 -> simulation.restoreEntry(id);
      case 9 ->
          simulation.revertToFormerEntry(
              id, random.nextLong(1_500) * RangeSimulation.NANOS_PER_MILLI);
      case 10 -> simulation.load = hotRange(random);
      default -> {
        // Time passes without a target fault.
      }
    }
  }

  /** Ends all faults, and runs until the longest holds have expired twice. */
  private static void endFaults(RangeSimulation simulation, List<FakeHost> hosts) {
    for (FakeHost host : hosts) {
      simulation.store.reconnect(host);
      host.sendDelayNanos = 0;
      host.maxSendJitterNanos = 0;
      host.responseDelayNanos = 0;
    }
    simulation.restoreLinks();
    simulation.store.lostResponseProbability = 0;
    simulation.store.lateCallProbability = 0;
    simulation.lateProbability = 0;
    for (int i = 0; i < 3; i++) {
      simulation.addTarget("last" + i);
    }
    simulation.run(30_000 * RangeSimulation.NANOS_PER_MILLI);
  }

  private static String anyTarget(RangeSimulation simulation, SplittableRandom random) {
    List<String> ids = simulation.targets.keySet().stream().sorted().toList();
    return ids.get(random.nextInt(ids.size()));
  }

  private static long suspensionNanos(SplittableRandom random) {
    return (200 + random.nextLong(20_000)) * RangeSimulation.NANOS_PER_MILLI;
  }

  /** Verifies that the check detects targets that hold keys for longer than they were granted. */
  @Property(tries = 1, seed = "20261204")
  void targetsThatHoldTooLongAreDetected() {
    int violations = 0;
    for (long seed = 0; seed < 40; seed++) {
      RangeSimulation simulation = new RangeSimulation(seed, 5, 0.25, 2.5);
      injectFaults(simulation, seed);
      violations += simulation.violations().size();
    }
    assertThat(violations, greaterThan(0));
  }

  private static void injectFaults(RangeSimulation simulation, long seed) {
    injectFaults(simulation, seed, () -> {});
  }

  private static void injectFaults(RangeSimulation simulation, long seed, Runnable beforeStep) {
    SplittableRandom random = new SplittableRandom(seed);
    simulation.run(2_000 * RangeSimulation.NANOS_PER_MILLI);
    for (int i = 0; i < STEPS; i++) {
      beforeStep.run();
      List<String> ids = new ArrayList<>(simulation.targets.keySet());
      ids.sort(null);
      String id = ids.get(random.nextInt(ids.size()));
      switch (random.nextInt(8)) {
        case 0 -> simulation.drain(id);
        case 1 -> simulation.crash(id);
        case 2 -> simulation.restart(id);
        case 3 -> simulation.removeEntry(id);
        case 4 -> simulation.addTarget("new" + i);
        case 5 -> simulation.replaceCoordinator();
        case 6 -> simulation.restoreEntry(id);
        default -> {
          // Time passes without a fault.
        }
      }
      simulation.run(
          random.nextLong(3_000) * RangeSimulation.NANOS_PER_MILLI
              + RangeSimulation.NANOS_PER_MILLI);
    }
    for (int i = 0; i < 3; i++) {
      simulation.addTarget("last" + i);
    }
  }
}
