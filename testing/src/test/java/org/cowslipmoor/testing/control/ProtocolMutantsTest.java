package org.cowslipmoor.testing.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Tests that the invariant checks detect each mutant of the protocol. */
final class ProtocolMutantsTest {
  private static final int MAX_SEEDS = 500;

  @TestFactory
  Stream<DynamicTest> checksDetectEachMutant() {
    return ProtocolMutants.all().stream()
        .map(v -> DynamicTest.dynamicTest(v.name(), () -> assertDetected(v)));
  }

  private static void assertDetected(ProtocolMutants.Mutant v) {
    OptionalLong seed = v.findViolatingSeed(MAX_SEEDS);
    assertThat("a seed with a violation exists for " + v.name(), seed.isPresent(), is(true));
    assertThat(v.runUnmodified(seed.orElseThrow()).checker().violations(), is(empty()));
  }
}
