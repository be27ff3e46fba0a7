package org.cowslipmoor.core.discovery;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipmoor.core.discovery.DrainSimulation.Variant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the use of targets that are leaving, over random orders of events. */
final class DrainProperties {
  /** Guards against a target that is used beyond the limit, whichever way the host learnt of it. */
  @Property(tries = 2_000, seed = "35")
  void targetIsUsedUntilItsDeadlineOnly(@ForAll long seed) {
    assertThat(new DrainSimulation(seed, Variant.CORRECT).run(), empty());
  }

  @ParameterizedTest
  @CsvSource({
    "STATEMENTS_IGNORED, used too late",
    "STATEMENTS_IGNORED, written too late",
    "STATEMENTS_BY_ID, not used although it stays",
    "FORGOTTEN_WITH_ENTRY, used too late"
  })
  void simulationFindsBrokenVariants(Variant variant, String violation) {
    boolean isFound =
        LongStream.range(0, 200)
            .mapToObj(seed -> new DrainSimulation(seed, variant).run())
            .flatMap(List::stream)
            .anyMatch(line -> line.startsWith(violation));
    assertThat(isFound, is(true));
  }
}
