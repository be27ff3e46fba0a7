package org.cowslipmoor.testing.leaving;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.cowslipmoor.testing.leaving.LeavingScenario.Use;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays targets that leave at once while the store is unavailable. */
final class LeavingSimulationTest {
  private static final int SECONDS = 8;

  /** Encoded length of one leaving target in a frame, in bytes. */
  private static final int TARGET_BYTES = 21;

  /** Time for which a target that states that it leaves may still receive requests. */
  private static final double MAX_USE_MILLIS = 2_000;

  /** Traffic that a host may spend on the exchange. */
  private static final long MAX_BYTES_PER_SECOND = 15_000;

  private static LeavingSimulation.Result run(int hosts, Use use, long seed) {
    return new LeavingSimulation(
            LeavingScenario.ofHosts(hosts, false, use),
            report -> TARGET_BYTES * report.leaving().size(),
            state -> TARGET_BYTES * state.leaving().size(),
            seed)
        .run(SECONDS);
  }

  @ParameterizedTest
  @CsvSource({
    "19, 1", "19, 2", "102, 3", "102, 4", "300, 5", "300, 12", "1000, 3", "1000, 5", "1000, 9"
  })
  void noHostUsesTargetsTooLongWithoutTheStore(int hosts, long seed) {
    LeavingSimulation.Result r = run(hosts, Use.RELAYED, seed);

    assertThat(r.reachedTooLate(), is(0L));
    assertThat(r.bytesPerSecond(), allOf(greaterThan(0L), lessThan(MAX_BYTES_PER_SECOND)));
  }

  @ParameterizedTest
  @CsvSource({"19, 1", "19, 2", "102, 3", "102, 4", "300, 5", "300, 12"})
  void allHostsLearnOfLeavingTargetsWithoutTheStore(int hosts, long seed) {
    LeavingSimulation.Result r = run(hosts, Use.RELAYED, seed);

    assertThat(r.allKnowMillis(), allOf(greaterThan(0.0), lessThan(MAX_USE_MILLIS)));
  }

  /** The loads of all targets may occupy the coordinator's link when the targets leave. */
  @Tag("known-red")
  @ParameterizedTest
  @ValueSource(longs = {1, 3, 5, 7, 12})
  void allHostsOfLargeFleetLearnOfLeavingTargets(long seed) {
    LeavingSimulation.Result r = run(1_000, Use.RELAYED, seed);

    assertThat(r.allKnowMillis(), allOf(greaterThan(0.0), lessThan(MAX_USE_MILLIS)));
  }

  /** The broken variant: hosts that look at the store only go on using the targets. */
  @ParameterizedTest
  @CsvSource({"19, 1", "102, 1"})
  void hostsThatIgnoreStatementsUseTheTargetsTooLong(int hosts, long seed) {
    LeavingSimulation.Result r = run(hosts, Use.IGNORED, seed);

    assertThat(r.reachedTooLate(), greaterThan(0L));
    assertThat(r.allKnowMillis(), is(-1.0));
  }
}
