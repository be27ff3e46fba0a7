package org.cowslipmoor.core.fleet;

import static org.cowslipmoor.core.fleet.StoreUpdateSimulation.NANOS_PER_MILLI;
import static org.cowslipmoor.core.fleet.StoreUpdateSimulation.NANOS_PER_SECOND;
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

/** Checks for how long hosts use state of the store that has been replaced. */
final class StoreUpdatePropagationProperties {
  /** Time within which a change must take effect on every host; {@code config_ms}. */
  private static final long MAX_DELAY_NANOS = 2_000 * NANOS_PER_MILLI;

  @Provide
  Arbitrary<StoreUpdateSimulation.Setup> setups() {
    return Combinators.combine(
            Arbitraries.of(19, 102),
            Arbitraries.of(875_000.0, 17_500_000.0),
            Arbitraries.of(500, 20_000),
            Arbitraries.of(0.0, 0.02),
            Arbitraries.of(0L, 200 * NANOS_PER_MILLI))
        .as(
            (hosts, link, bytes, loss, lag) ->
                new StoreUpdateSimulation.Setup(
                    hosts, link, bytes, 22 * 197, MAX_DELAY_NANOS / 2, loss, lag));
  }

  /**
   * Guards against hosts that used a configuration for 7.6 s after it was replaced: the
   * coordinator's link had 6 s of frames queued, and their arrival kept the hosts from polling the
   * store.
   */
  @Property(tries = 40, seed = "20261205")
  void storeChangeReachesAllHostsInTime(
      @ForAll("setups") StoreUpdateSimulation.Setup setup, @ForAll long seed) {
    StoreUpdateSimulation simulation = new StoreUpdateSimulation(setup, seed);
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < 12; i++) {
      simulation.run(random.nextLong(50 * NANOS_PER_MILLI, 1_500 * NANOS_PER_MILLI));
      if (random.nextInt(4) == 0) {
        simulation.setCoordinator(random.nextInt(setup.hosts()));
      }
      for (int n = random.nextInt(4); n >= 0; n--) {
        simulation.change();
        simulation.run(random.nextLong(NANOS_PER_MILLI, 100 * NANOS_PER_MILLI));
      }
    }
    simulation.run(MAX_DELAY_NANOS);
    assertThat(simulation.maxDelayNanos(), lessThanOrEqualTo(MAX_DELAY_NANOS));
  }

  @Example
  void simulationDetectsHostsThatMeasureAgeFromArrival() {
    StoreUpdateSimulation simulation =
        new StoreUpdateSimulation(
            new StoreUpdateSimulation.Setup(102, 875_000, 500, 22 * 197, MAX_DELAY_NANOS / 2, 0, 0),
            1);
    simulation.measureAgeFromArrival();
    simulation.run(8 * NANOS_PER_SECOND);
    simulation.change();
    simulation.run(8 * NANOS_PER_SECOND);
    assertThat(simulation.maxDelayNanos(), greaterThan(MAX_DELAY_NANOS));
  }

  /** Guards against connections to the store that stall: the change arrives on a new one. */
  @Property(tries = 20, seed = "20261205")
  void changeReachesAllHostsInTimeAlthoughConnectionsStalled(
      @ForAll("setups") StoreUpdateSimulation.Setup setup, @ForAll long seed) {
    StoreUpdateSimulation simulation = new StoreUpdateSimulation(setup, seed);
    simulation.run(5 * NANOS_PER_SECOND);
    simulation.setStoreStalled(true);
    simulation.run(NANOS_PER_MILLI);
    simulation.change();
    simulation.run(5 * NANOS_PER_MILLI);
    simulation.setStoreStalled(false);
    simulation.run(3 * NANOS_PER_SECOND);
    assertThat(simulation.maxDelayNanos(), lessThanOrEqualTo(MAX_DELAY_NANOS));
  }

  /** Calls to the store are charged: one host polls it and relays the updates to the others. */
  @Property(tries = 10, seed = "20261205")
  void hostsThatReceiveRelayedUpdatesDoNotPollTheStore(@ForAll long seed) {
    StoreUpdateSimulation.Setup setup =
        new StoreUpdateSimulation.Setup(
            102, 17_500_000, 20_000, 22 * 197, MAX_DELAY_NANOS / 2, 0, 20 * NANOS_PER_MILLI);
    StoreUpdateSimulation simulation = new StoreUpdateSimulation(setup, seed);
    simulation.run(3 * NANOS_PER_SECOND);
    long before = simulation.calls();
    for (int i = 0; i < 20; i++) {
      simulation.change();
      simulation.run(500 * NANOS_PER_MILLI);
    }
    assertThat(simulation.calls() - before, lessThan(10 * 8L));
  }
}
