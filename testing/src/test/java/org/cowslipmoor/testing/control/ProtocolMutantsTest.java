package org.cowslipmoor.testing.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Shows that the checks find each rule that is broken on purpose. */
final class ProtocolMutantsTest {
  private static final int MOST_SEEDS = 500;

  @TestFactory
  Stream<DynamicTest> checksFindEachBrokenRule() {
    return ProtocolMutants.all().stream()
        .map(v -> DynamicTest.dynamicTest(v.name(), () -> assertFound(v)));
  }

  private static void assertFound(ProtocolMutants.Mutant v) {
    OptionalLong seed = v.findViolatingSeed(MOST_SEEDS);
    assertThat("a seed finds it", seed.isPresent(), is(true));
    assertThat(v.runUnmodified(seed.orElseThrow()).checker().violations(), is(empty()));
  }
}
