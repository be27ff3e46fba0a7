package org.cowslipmoor.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipmoor.core.fleet.FailingTargetsSimulation.Variant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks how failing targets are found out and tried again, over random faults. */
final class FailingTargetsProperties {
  /** Guards against hosts that each find out by failures of their own, and against wrong blame. */
  @Property(tries = 100, seed = "20261206")
  void failingTargetsAreFoundOutOnce(@ForAll long seed) {
    FailingTargetsSimulation simulation =
        new FailingTargetsSimulation(seed, Variant.CORRECT, false);
    assertThat(simulation.run(), empty());
    assertThat(simulation.recovers(), is(true));
  }

  /** Guards against targets that stay out, or too many of them, when messages are lost. */
  @Property(tries = 100, seed = "20261206")
  void targetsReturnAlthoughReportsAndStatesAreLost(@ForAll long seed) {
    FailingTargetsSimulation simulation = new FailingTargetsSimulation(seed, Variant.CORRECT, true);
    assertThat(simulation.run(), empty());
    assertThat(simulation.recovers(), is(true));
  }

  @ParameterizedTest
  @CsvSource({
    "UNPUBLISHED, used although it was found out",
    "DATA_CENTRES_IGNORED, path taken for the target",
    "TRIALS_BY_ALL, used although it was found out"
  })
  void simulationFindsBrokenVariants(Variant variant, String violation) {
    boolean isFound =
        LongStream.range(0, 30)
            .mapToObj(seed -> new FailingTargetsSimulation(seed, variant, false).run())
            .flatMap(List::stream)
            .anyMatch(line -> line.startsWith(violation));
    assertThat(isFound, is(true));
  }

  @Test
  void simulationFindsMissingTrials() {
    boolean isFound =
        LongStream.range(0, 30)
            .mapToObj(seed -> new FailingTargetsSimulation(seed, Variant.NO_TRIALS, false))
            .anyMatch(
                simulation -> {
                  simulation.run();
                  return !simulation.recovers();
                });
    assertThat(isFound, is(true));
  }

  /** Guards against publication that costs more failed requests than it saves. */
  @Test
  void fewerRequestsFailThanWithoutPublication() {
    int published = 0;
    int unpublished = 0;
    for (long seed = 0; seed < 20; seed++) {
      published += failures(seed, Variant.CORRECT);
      unpublished += failures(seed, Variant.UNPUBLISHED);
    }
    assertThat(published, lessThan(unpublished / 2));
  }

  private static int failures(long seed, Variant variant) {
    FailingTargetsSimulation simulation = new FailingTargetsSimulation(seed, variant, false);
    simulation.run();
    return simulation.failures();
  }
}
