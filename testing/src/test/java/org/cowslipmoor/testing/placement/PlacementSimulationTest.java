package org.cowslipmoor.testing.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.google.common.collect.ImmutableList;
import java.util.Collections;
import java.util.List;
import org.cowslipmoor.testing.placement.PlacementScenario.Disturbance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays usual load and rushes on fleets of several sizes. */
final class PlacementSimulationTest {
  private static final int SECONDS = 6;

  /** Largest share of requests that may find no place although slots are free. */
  private static final double MAX_UNPLACED = 0.01;

  private static final List<Double> EVEN = List.of(1.0, 1.0, 1.0);
  private static final List<Double> UNEVEN = List.of(1.3, 1.0, 0.7);

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

  private static PlacementSimulation.Result runDataCentres(
      int hosts, double load, List<Double> weights, Disturbance disturbance, PlacementPolicy p) {
    PlacementScenario scenario =
        PlacementScenario.orders(hosts, load, load)
            .withDemandWeights(ImmutableList.copyOf(weights))
            .withDisturbance(disturbance);
    return new PlacementSimulation(scenario, p, 1).run(12);
  }

  /** Guards against traffic between data centres that each serve their requests in time. */
  @ParameterizedTest
  @CsvSource({"19, 0.58", "102, 0.58", "102, 0.75", "300, 0.58"})
  void almostNothingLeavesWhileAllDataCentresServeInTime(int hosts, double load) {
    PlacementSimulation.Result r =
        runDataCentres(hosts, load, EVEN, new Disturbance.None(), new PlacementPolicy.Product());
    assertThat(r.left(), lessThan(0.01));
    assertThat(r.inTime(), greaterThan(0.98));
  }

  /** Guards against rejections in a burst, and against a share that doesn't return after it. */
  @ParameterizedTest
  @CsvSource({"19, 0.95", "102, 0.97"})
  void burstLeavesWhileItLasts(int hosts, double inTime) {
    PlacementSimulation.Result r =
        runDataCentres(
            hosts,
            0.58,
            EVEN,
            new Disturbance.Burst(2.3, 2_000_000_000L, 6_000_000_000L),
            new PlacementPolicy.Product());
    assertThat(Collections.max(r.leftOfFirst()), greaterThan(0.1));
    assertThat(r.leftOfFirst().subList(0, 4), everyItem(lessThan(0.02)));
    assertThat(r.leftOfFirst().getLast(), lessThan(0.1));
    assertThat(r.inTime(), greaterThan(inTime));
    assertThat(r.rejected(), lessThan(0.02));
  }

  /** Guards against requests that are late or rejected after the loss of targets nearby. */
  @ParameterizedTest
  @CsvSource({"19, 0.5, 0.96", "102, 0.5, 0.98", "102, 1.0, 0.97"})
  void requestsAreServedElsewhereAfterTheLossOfTargets(int hosts, double lost, double inTime) {
    PlacementSimulation.Result r =
        runDataCentres(
            hosts,
            0.58,
            EVEN,
            new Disturbance.Loss(lost, 2_000_000_000L),
            new PlacementPolicy.Product());
    assertThat(r.leftOfFirst().getLast(), lost == 1 ? is(1.0) : lessThan(0.7));
    assertThat(r.inTime(), greaterThan(inTime));
  }

  /** Guards against data centres that exchange requests while none of them has room. */
  @ParameterizedTest
  @CsvSource({"19", "102"})
  void littleLeavesWhileAllDataCentresAreOverloaded(int hosts) {
    PlacementSimulation.Result r =
        runDataCentres(hosts, 1.3, EVEN, new Disturbance.None(), new PlacementPolicy.Product());
    assertThat(r.left(), lessThan(0.05));
  }

  /** Guards against hosts whose common reaction to late reports swings. */
  @ParameterizedTest
  @CsvSource({"102"})
  void shareStaysEvenUnderUnevenDemand(int hosts) {
    PlacementSimulation.Result r =
        runDataCentres(hosts, 0.9, UNEVEN, new Disturbance.None(), new PlacementPolicy.Product());
    assertThat(r.leftOfFirst(), everyItem(lessThan(0.6)));
  }

  @ParameterizedTest
  @CsvSource({"19", "102"})
  void sameSeedGivesTheSameRun(int hosts) {
    assertThat(
        run(hosts, 0.75, 0.95, new PlacementPolicy.Product(), 9),
        is(run(hosts, 0.75, 0.95, new PlacementPolicy.Product(), 9)));
  }
}
