package org.cowslipmoor.core.fleet;

import static org.cowslipmoor.core.fleet.StoreUpdateSimulation.MS;
import static org.cowslipmoor.core.fleet.StoreUpdateSimulation.SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** How long hosts act by a state of the store that has been replaced. */
final class StoreUpdatePropagationProperties {
  /** Time within which the users want a change in force on every host; {@code config_ms}. */
  private static final long BOUND = 2_000 * MS;

  @Provide
  Arbitrary<StoreUpdateSimulation.Setup> setups() {
    return Combinators.combine(
            Arbitraries.of(19, 102),
            Arbitraries.of(875_000.0, 17_500_000.0),
            Arbitraries.of(500, 20_000),
            Arbitraries.of(0.0, 0.02),
            Arbitraries.of(0L, 200 * MS))
        .as(
            (hosts, link, bytes, loss, lag) ->
                new StoreUpdateSimulation.Setup(
                    hosts, link, bytes, 22 * 197, BOUND / 2, loss, lag));
  }

  /**
   * Answers hosts that acted by a configuration 7.6 s after it was replaced, while frames of a
   * coordinator whose link had 6 s of them queued kept them from asking the store.
   */
  @Property(tries = 40, seed = "20261205")
  void changeOfTheStoreIsKnownToAllHostsInTime(
      @ForAll("setups") StoreUpdateSimulation.Setup setup, @ForAll long seed) {
    StoreUpdateSimulation world = new StoreUpdateSimulation(setup, seed);
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < 12; i++) {
      world.run(random.nextLong(50 * MS, 1_500 * MS));
      if (random.nextInt(4) == 0) {
        world.coordinate(random.nextInt(setup.hosts()));
      }
      for (int n = random.nextInt(4); n >= 0; n--) {
        world.change();
        world.run(random.nextLong(MS, 100 * MS));
      }
    }
    world.run(BOUND);
    assertThat(world.worstDelay(), lessThanOrEqualTo(BOUND));
  }

  @Example
  void hostsThatCountFramesFromTheirArrivalAreFound() {
    StoreUpdateSimulation world =
        new StoreUpdateSimulation(
            new StoreUpdateSimulation.Setup(102, 875_000, 500, 22 * 197, BOUND / 2, 0, 0), 1);
    world.countFromArrival();
    world.run(8 * SECOND);
    world.change();
    world.run(8 * SECOND);
    assertThat(world.worstDelay(), greaterThan(BOUND));
  }

  /** Answers connections to the store that go silent: the change comes with a new one. */
  @Property(tries = 20, seed = "20261205")
  void changeIsKnownInTimeAlthoughConnectionsWentSilent(
      @ForAll("setups") StoreUpdateSimulation.Setup setup, @ForAll long seed) {
    StoreUpdateSimulation world = new StoreUpdateSimulation(setup, seed);
    world.run(5 * SECOND);
    world.setStoreSilent(true);
    world.run(MS);
    world.change();
    world.run(5 * MS);
    world.setStoreSilent(false);
    world.run(3 * SECOND);
    assertThat(world.worstDelay(), lessThanOrEqualTo(BOUND));
  }

  /** Calls to the store are priced: one host asks, and the others hear of it from that one. */
  @Property(tries = 10, seed = "20261205")
  void hostsThatHearTheCoordinatorDoNotAskTheStore(@ForAll long seed) {
    StoreUpdateSimulation.Setup setup =
        new StoreUpdateSimulation.Setup(102, 17_500_000, 20_000, 22 * 197, BOUND / 2, 0, 20 * MS);
    StoreUpdateSimulation world = new StoreUpdateSimulation(setup, seed);
    world.run(3 * SECOND);
    long before = world.calls();
    for (int i = 0; i < 20; i++) {
      world.change();
      world.run(500 * MS);
    }
    assertThat(world.calls() - before, lessThan(10 * 8L));
  }
}
