package org.cowslipmoor.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class FleetSizeTest {
  private final FleetSize size = FleetSize.create(0);

  @Test
  void nothingKnownIsOneHost() {
    assertThat(size.hosts(0), is(1));
  }

  /** Answers a coordinator that has just begun and hears few hosts yet. */
  @Test
  void smallerCountDoesNotEnlargeTheParts() {
    size.onCount(102, 1);
    size.onCount(3, 2);
    assertThat(size.hosts(FleetSize.MEMORY + 1), is(102));
  }

  @Test
  void hostsThatAreGoneForGoodAreForgotten() {
    size.onCount(102, 1);
    for (long at = 0; at < 3 * FleetSize.MEMORY; at += FleetSize.MEMORY / 4) {
      size.onCount(50, at);
    }
    assertThat(size.hosts(3 * FleetSize.MEMORY), is(50));
  }
}
