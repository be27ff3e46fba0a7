package org.cowslipmoor.testing.coldstart;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipmoor.testing.coldstart.ColdStartScenario.Start;
import org.cowslipmoor.testing.coldstart.ColdStartScenario.Variant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks how many requests reach a cold target in any second, over random orders of events. */
final class ColdStartProperties {
  private static final int SECONDS = 14;

  /** Encoded length of one target in a frame, in bytes. */
  private static final int TARGET_BYTES = 24;

  private static final int FRAME_BYTES = 15;

  private static ColdStartSimulation.Result run(ColdStartScenario scenario, long seed) {
    return new ColdStartSimulation(
            scenario,
            request -> FRAME_BYTES + TARGET_BYTES * request.requests().size(),
            allowance -> FRAME_BYTES + TARGET_BYTES * allowance.requests().size(),
            seed)
        .run(SECONDS);
  }

  private static ColdStartScenario scenario(Start start, boolean keyed, Variant variant) {
    return new ColdStartScenario(5, 3, 60, keyed, start, variant);
  }

  /** Guards against a cold target that gets more requests in a second than it bears. */
  @Property(tries = 300, seed = "61")
  void coldTargetGetsNoMoreThanTheBoundInAnySecond(@ForAll long seed) {
    assertThat(
        (double) run(scenario(Start.FAULTS, false, Variant.CORRECT), seed).busiest(),
        lessThanOrEqualTo(ColdStartSimulation.MAX_PER_SECOND));
  }

  /** Guards against owners of keys that get more than they bear, from requests that wait. */
  @Property(tries = 300, seed = "62")
  void coldOwnerGetsNoMoreThanTheBoundInAnySecond(@ForAll long seed) {
    assertThat(
        (double) run(scenario(Start.FAULTS, true, Variant.CORRECT), seed).busiest(),
        lessThanOrEqualTo(ColdStartSimulation.MAX_PER_SECOND));
  }

  /** Guards against hosts that take a restarted target for the warm one that it was. */
  @Property(tries = 150, seed = "63")
  void restartedTargetGetsNoMoreThanTheBoundInAnySecond(@ForAll long seed, @ForAll boolean keyed) {
    assertThat(
        (double) run(scenario(Start.QUICK_RESTARTS, keyed, Variant.CORRECT), seed).busiest(),
        lessThanOrEqualTo(ColdStartSimulation.MAX_PER_SECOND));
  }

  @ParameterizedTest
  @CsvSource({
    "FAULTS, NO_LIMIT",
    "FAULTS, VALID_FROM_ARRIVAL",
    "FAULTS, NO_PAUSE_AT_TERM_START",
    "FAULTS, LEASE_NOT_CHECKED",
    "FAULTS, SPENT_WHEN_CHOSEN",
    "FAULTS, SHORT_WINDOW",
    "QUICK_RESTARTS, NO_SUSPICION",
    "QUICK_RESTARTS, SUSPICION_NOT_ANNOUNCED",
    "QUICK_RESTARTS, COUNTED_BY_INCARNATION"
  })
  void simulationFindsBrokenVariants(Start start, Variant variant) {
    assertThat(isFound(start, false, variant), is(true));
    assertThat(isFound(start, true, variant), is(true));
  }

  private static boolean isFound(Start start, boolean keyed, Variant variant) {
    return LongStream.range(0, 300)
        .anyMatch(
            seed ->
                run(scenario(start, keyed, variant), seed).busiest()
                    > ColdStartSimulation.MAX_PER_SECOND);
  }

  /** Guards against a limit that leaves cold targets idle, or starves those that join. */
  @ParameterizedTest
  @CsvSource({"19, THIRD", "19, ALL", "102, THIRD", "102, ALL"})
  void coldTargetsAreUsedWithinTheBound(int hosts, Start start) {
    int targets = 7 * hosts / 10;
    ColdStartSimulation.Result r =
        run(new ColdStartScenario(hosts, targets, 20, false, start, Variant.CORRECT), 1);

    assertThat(
        (double) r.busiest(),
        allOf(greaterThan(2.0), lessThan(ColdStartSimulation.MAX_PER_SECOND)));
    assertThat(r.firstWorkMillis(), lessThan(2_000L));
  }
}
