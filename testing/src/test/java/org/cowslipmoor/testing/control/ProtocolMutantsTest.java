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
        .map(mutant -> DynamicTest.dynamicTest(mutant.name(), () -> assertDetected(mutant)));
  }

  private static void assertDetected(ProtocolMutants.Mutant mutant) {
    OptionalLong seed = mutant.findViolatingSeed(MAX_SEEDS);
    assertThat("a seed with a violation exists for " + mutant.name(), seed.isPresent(), is(true));
    assertThat(mutant.runUnmodified(seed.orElseThrow()).checker().violations(), is(empty()));
  }
}
