package org.cowslipmoor.core.range;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** One owner for each key, whatever happens to targets, orders and coordinators. */
final class RangeOwnershipProperties {
  private static final int STEPS = 25;

  /** Keys of a rush; more than lie between the keys that the world checks. */
  private static final int RUSH_KEYS = 2_000;

  @Property(tries = 60, seed = "20261204")
  void keysHaveOneOwnerUnderRandomFaults(@ForAll long seed) {
    RangeWorld world = new RangeWorld(seed, 5, 0.25, 1);

    disturb(world, seed);

    assertThat(world.violations(), is(empty()));
  }

  @Property(tries = 60, seed = "20261204")
  void allKeysAreServedAgainOnceFaultsEnd(@ForAll long seed) {
    RangeWorld world = new RangeWorld(seed, 5, 0, 1);
    disturb(world, seed);

    world.run(25_000 * RangeWorld.MS);

    assertThat(world.servedShare(), is(1.0));
  }

  /** Answers rushes to some keys, which are cut out and moved while targets and orders fail. */
  @Property(tries = 20, seed = "20261204")
  void keysThatMoveByLoadKeepOneOwner(@ForAll long seed) {
    RangeWorld world = new RangeWorld(seed, 5, 0.25, 1);
    SplittableRandom random = new SplittableRandom(seed + 1);
    world.run(3_000 * RangeWorld.MS);
    final int calmWrites = world.store.writes;
    world.load = rush(random);
    // A grant without an answer has to lapse before its keys can move.
    world.run(10_000 * RangeWorld.MS);
    assertThat(world.store.writes, greaterThan(calmWrites));

    disturb(world, seed, () -> world.load = rush(random));

    assertThat(world.violations(), is(empty()));
  }

  private static ServiceLoad rush(SplittableRandom random) {
    int from = random.nextInt(KeyRange.LAST_KEY - RUSH_KEYS);
    return TestLoads.hotAt(new KeyRange(from, from + RUSH_KEYS - 1), 0.6);
  }

  /** Answers targets behind a cut: they release late, for the former coordinator, and come back. */
  @Property(tries = 30, seed = "20261204")
  void targetThatComesBackAfterItsReleaseKeepsOneOwner(@ForAll long seed) {
    RangeWorld world = new RangeWorld(seed, 4, 0, 1);
    world.run(2_000 * RangeWorld.MS);
    world.vanish("t1");
    world.replaceCoordinator();
    world.run(1_000 * RangeWorld.MS + Math.floorMod(seed, 2_000) * RangeWorld.MS);
    world.reappear("t1");
    world.run(15_000 * RangeWorld.MS);

    assertThat(world.violations(), is(empty()));
    assertThat(world.servedShare(), is(1.0));
  }

  /** A target that restarts answers at its former address before its new entry is known. */
  @Property(tries = 60, seed = "20261204")
  void keysOfAnUnnoticedRestartKeepOneOwner(@ForAll long seed) {
    RangeWorld world = new RangeWorld(seed, 5, 0, 1);
    SplittableRandom random = new SplittableRandom(seed);
    world.run(3_000 * RangeWorld.MS);
    world.load = rush(random);
    world.run(4_000 * RangeWorld.MS);
    for (int i = 0; i < 8; i++) {
      world.load = rush(random);
      world.restartUnnoticed("t" + random.nextInt(5), random.nextLong(2_500) * RangeWorld.MS);
      world.run(random.nextLong(3_000) * RangeWorld.MS + RangeWorld.MS);
    }
    world.run(15_000 * RangeWorld.MS);

    assertThat(world.violations(), is(empty()));
    assertThat(world.servedShare(), is(1.0));
  }

  /** Answers hosts that each see the store, the targets and the time in a way of their own. */
  @Property(tries = 150, seed = "20261204")
  void keysKeepOneOwnerWhileCoordinatorsOverlap(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RangeWorld world = new RangeWorld(seed, 5, 0.05, 1);
    List<FakeHost> hosts = new ArrayList<>(List.of(world.leader()));
    addHosts(world, hosts, random);
    world.run(3_000 * RangeWorld.MS);
    for (int i = 0; i < STEPS; i++) {
      disturbHosts(world, hosts, random);
      disturbTargets(world, random);
      world.run(random.nextLong(2_500) * RangeWorld.MS + RangeWorld.MS);
    }
    calm(world, hosts);

    assertThat(world.violations(), is(empty()));
    // A move may be under way.
    assertThat(world.comesToServeAll(5_000 * RangeWorld.MS), is(true));
  }

  /** Answers a large service whose owners have several entries each. */
  @Property(tries = 2, seed = "20261204")
  void keysOfManyTargetsKeepOneOwner(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RangeWorld world = new RangeWorld(seed, 60, 0.02, 1);
    List<FakeHost> hosts = new ArrayList<>(List.of(world.leader()));
    addHosts(world, hosts, random);
    world.run(3_000 * RangeWorld.MS);
    for (int i = 0; i < 12; i++) {
      world.load = TestLoads.uneven(random);
      disturbHosts(world, hosts, random);
      for (int j = 0; j < 4; j++) {
        disturbTargets(world, random);
      }
      world.run(random.nextLong(2_500) * RangeWorld.MS + RangeWorld.MS);
    }
    calm(world, hosts);

    assertThat(world.violations(), is(empty()));
    // A move may be under way.
    assertThat(world.comesToServeAll(5_000 * RangeWorld.MS), is(true));
  }

  private static void addHosts(RangeWorld world, List<FakeHost> hosts, SplittableRandom random) {
    while (hosts.size() < 3) {
      FakeHost host = world.addHost();
      host.sendDelay = random.nextBoolean() ? 0 : random.nextLong(500) * RangeWorld.MS;
      host.sendJitter = random.nextBoolean() ? 0 : 1_000 * RangeWorld.MS;
      host.answerDelay = random.nextBoolean() ? 0 : random.nextLong(500) * RangeWorld.MS;
      hosts.add(host);
    }
  }

  private static void disturbHosts(
      RangeWorld world, List<FakeHost> hosts, SplittableRandom random) {
    FakeHost host = hosts.get(random.nextInt(hosts.size()));
    switch (random.nextInt(10)) {
      case 0 -> world.store.cutOff(host);
      case 1 -> hosts.forEach(world.store::reconnect);
      case 2, 3, 4 ->
          hosts.stream()
              .filter(FakeHost::leads)
              .findFirst()
              .ifPresent(leader -> isolate(leader, world, hosts, random));
      case 5 -> world.store.goDown(random.nextLong(3_000) * RangeWorld.MS, random.nextBoolean());
      case 6 -> world.store.latency = (2 + random.nextLong(200)) * RangeWorld.MS;
      case 7 -> {
        world.store.lostShare = random.nextDouble() * 0.1;
        world.store.lateShare = random.nextDouble() * 0.1;
      }
      case 8 -> {
        hosts.forEach(FakeHost::stop);
        hosts.clear();
        world.run(1_000 * RangeWorld.MS);
        addHosts(world, hosts, random);
      }
      default -> {
        // Time passes without a fault of hosts.
      }
    }
    String id = anyTarget(world, random);
    RangeWorld.Link link = random.nextBoolean() ? RangeWorld.Link.SILENT : RangeWorld.Link.REFUSED;
    switch (random.nextInt(4)) {
      case 0 -> world.cut(host, id, link);
      case 1 -> world.healLinks();
      default -> {
        // The links stay as they are.
      }
    }
  }

  /** The leader loses the store, and a target is at hand for it that its successor has lost. */
  private static void isolate(
      FakeHost leader, RangeWorld world, List<FakeHost> hosts, SplittableRandom random) {
    world.store.cutOff(leader);
    if (random.nextBoolean()) {
      world.store.revoke();
    }
    if (random.nextInt(3) == 0) {
      leader.standStill(pause(random));
    }
    String id = anyTarget(world, random);
    if (random.nextBoolean()) {
      hosts.stream()
          .filter(h -> h != leader)
          .forEach(h -> world.cut(h, id, RangeWorld.Link.REFUSED));
      world.vanish(id);
    } else {
      world.run(random.nextLong(500) * RangeWorld.MS);
      world.drain(id);
      world.run(random.nextLong(1_000) * RangeWorld.MS);
      world.restartUnnoticed(id, random.nextLong(1_000) * RangeWorld.MS);
    }
    if (random.nextBoolean()) {
      // Long enough for the longest holds to lapse.
      world.run(13_000 * RangeWorld.MS);
    }
  }

  private static void disturbTargets(RangeWorld world, SplittableRandom random) {
    String id = anyTarget(world, random);
    switch (random.nextInt(12)) {
      case 0 -> world.drain(id);
      case 1 -> world.crash(id);
      case 2, 3 -> world.restart(id);
      case 4, 5 -> world.restartUnnoticed(id, random.nextLong(2_500) * RangeWorld.MS);
      case 6 -> world.restartElsewhere(id);
      case 7 -> world.vanish(id);
      case 8 -> world.reappear(id);
      case 9 -> world.beatOfFormerLife(id, random.nextLong(1_500) * RangeWorld.MS);
      case 10 -> world.load = rush(random);
      default -> {
        // Time passes without a fault of targets.
      }
    }
  }

  /** Ends all disturbance, and lets the longest holds lapse twice. */
  private static void calm(RangeWorld world, List<FakeHost> hosts) {
    for (FakeHost host : hosts) {
      world.store.reconnect(host);
      host.sendDelay = 0;
      host.sendJitter = 0;
      host.answerDelay = 0;
    }
    world.healLinks();
    world.store.lostShare = 0;
    world.store.lateShare = 0;
    world.lateShare = 0;
    for (int i = 0; i < 3; i++) {
      world.addTarget("last" + i);
    }
    world.run(30_000 * RangeWorld.MS);
  }

  private static String anyTarget(RangeWorld world, SplittableRandom random) {
    List<String> ids = world.targets.keySet().stream().sorted().toList();
    return ids.get(random.nextInt(ids.size()));
  }

  private static long pause(SplittableRandom random) {
    return (200 + random.nextLong(20_000)) * RangeWorld.MS;
  }

  /** The check itself finds targets that hold keys for longer than they were granted. */
  @Property(tries = 1, seed = "20261204")
  void targetsThatHoldTooLongAreFound() {
    int violations = 0;
    for (long seed = 0; seed < 40; seed++) {
      RangeWorld world = new RangeWorld(seed, 5, 0.25, 2.5);
      disturb(world, seed);
      violations += world.violations().size();
    }
    assertThat(violations, greaterThan(0));
  }

  private static void disturb(RangeWorld world, long seed) {
    disturb(world, seed, () -> {});
  }

  private static void disturb(RangeWorld world, long seed, Runnable beforeStep) {
    SplittableRandom random = new SplittableRandom(seed);
    world.run(2_000 * RangeWorld.MS);
    for (int i = 0; i < STEPS; i++) {
      beforeStep.run();
      List<String> ids = new ArrayList<>(world.targets.keySet());
      ids.sort(null);
      String id = ids.get(random.nextInt(ids.size()));
      switch (random.nextInt(8)) {
        case 0 -> world.drain(id);
        case 1 -> world.crash(id);
        case 2 -> world.restart(id);
        case 3 -> world.vanish(id);
        case 4 -> world.addTarget("new" + i);
        case 5 -> world.replaceCoordinator();
        case 6 -> world.reappear(id);
        default -> {
          // Time passes without a fault.
        }
      }
      world.run(random.nextLong(3_000) * RangeWorld.MS + RangeWorld.MS);
    }
    for (int i = 0; i < 3; i++) {
      world.addTarget("last" + i);
    }
  }
}
