package org.cowslipmoor.core.selection;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipmoor.core.selection.EvacuationSimulation.Variant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the use of evacuated data centres, over random orders of events. */
final class EvacuationProperties {
  /**
   * Guards against a data centre that is used beyond the limit, whichever way and however late the
   * host learnt of its evacuation, and against requests that no target serves meanwhile.
   */
  @Property(tries = 2_000, seed = "20261206")
  void evacuatedDataCentreIsUsedUntilItsDeadlineOnly(@ForAll long seed) {
    assertThat(new EvacuationSimulation(seed, Variant.CORRECT).run(), empty());
  }

  @ParameterizedTest
  @CsvSource({
    "IGNORED, chosen too late",
    "IGNORED, written too late",
    "COUNTED_FROM_ARRIVAL, chosen too late",
    "COUNTED_FROM_ARRIVAL, written too late",
    "STARTED_AS_CLEAR, chosen too late",
    "NOT_CHECKED_BEFORE_WRITE, written too late",
    "USED_UNTIL_DEADLINE, used beside others",
    "NEVER_RETURNS, not used again"
  })
  void simulationFindsBrokenVariants(Variant variant, String violation) {
    boolean isFound =
        LongStream.range(0, 200)
            .mapToObj(seed -> new EvacuationSimulation(seed, variant).run())
            .flatMap(List::stream)
            .anyMatch(line -> line.startsWith(violation));
    assertThat(isFound, is(true));
  }
}
