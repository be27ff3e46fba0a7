package org.cowslipmoor.core.range;

import static org.hamcrest.MatcherAssert.assertThat;
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

    assertThat(world.violations, is(0));
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
    final int calmWrites = world.moves;
    world.load = rush(random);
    // A grant without an answer has to lapse before its keys can move.
    world.run(10_000 * RangeWorld.MS);
    assertThat(world.moves, greaterThan(calmWrites));

    disturb(world, seed, () -> world.load = rush(random));

    assertThat(world.violations, is(0));
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

    assertThat(world.violations, is(0));
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

    assertThat(world.violations, is(0));
    assertThat(world.servedShare(), is(1.0));
  }

  /** The check itself finds targets that hold keys for longer than they were granted. */
  @Property(tries = 1, seed = "20261204")
  void targetsThatHoldTooLongAreFound() {
    int violations = 0;
    for (long seed = 0; seed < 40; seed++) {
      RangeWorld world = new RangeWorld(seed, 5, 0.25, 2.5);
      disturb(world, seed);
      violations += world.violations;
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
