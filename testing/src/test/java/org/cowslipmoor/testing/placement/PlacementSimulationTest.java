package org.cowslipmoor.testing.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays usual load and rushes on fleets of several sizes. */
final class PlacementSimulationTest {
  private static final int SECONDS = 6;

  /** Largest share of requests that may find no place although slots are free. */
  private static final double MAX_UNPLACED = 0.01;

  private static PlacementSimulation.Result run(
      int hosts, double load, double rush, PlacementPolicy policy, long seed) {
    PlacementScenario scenario = PlacementScenario.orders(hosts, load, rush);
    return new PlacementSimulation(scenario, policy, seed).run(SECONDS);
  }

  /**
   * Guards against hosts that each see few requests and all choose the target that looks idle, so
   * that it resets most of them.
   */
  @ParameterizedTest
  @CsvSource({
    "19, 0.58, 0.58, 1", "19, 0.75, 0.95, 2",
    "102, 0.58, 0.58, 3", "102, 0.75, 0.95, 4",
    "300, 0.58, 0.58, 5", "300, 0.75, 0.95, 6",
    "1000, 0.58, 0.58, 7"
  })
  void requestsFindTheFreeSlotsAtEveryNumberOfHosts(
      int hosts, double load, double rush, long seed) {
    PlacementSimulation.Result r = run(hosts, load, rush, new PlacementPolicy.Product(), seed);

    assertThat(r.unplaced(), lessThan(MAX_UNPLACED));
    assertThat(r.requests(), greaterThan(100L));
  }

  /** The broken variant: this simulation shows when hosts follow the last report as it is. */
  @ParameterizedTest
  @CsvSource({"102", "300"})
  void hostsThatFollowTheLastReportMissTheFreeSlots(int hosts) {
    PlacementSimulation.Result r =
        run(hosts, 0.58, 0.58, new PlacementPolicy.ShortestReported(), 1);

    assertThat(r.unplaced(), greaterThan(MAX_UNPLACED));
  }

  @ParameterizedTest
  @CsvSource({"19", "102"})
  void sameSeedGivesTheSameRun(int hosts) {
    assertThat(
        run(hosts, 0.75, 0.95, new PlacementPolicy.Product(), 9),
        is(run(hosts, 0.75, 0.95, new PlacementPolicy.Product(), 9)));
  }
}
