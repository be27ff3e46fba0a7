package org.cowslipmoor.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class FleetSizeTest {
  private final FleetSize size = FleetSize.create(0);

  @Test
  void sizeWithoutCountsIsOneHost() {
    assertThat(size.hosts(0), is(1));
  }

  /** A coordinator that has just started its term has reports from only a few hosts. */
  @Test
  void smallerCountDoesNotEnlargeTheSharesAtOnce() {
    size.onCount(102, 1);
    size.onCount(3, 2);
    assertThat(size.hosts(FleetSize.WINDOW_NANOS + 1), is(102));
  }

  @Test
  void hostsThatStayAwayAreNoLongerCounted() {
    size.onCount(102, 1);
    for (long at = 0; at < 3 * FleetSize.WINDOW_NANOS; at += FleetSize.WINDOW_NANOS / 4) {
      size.onCount(50, at);
    }
    assertThat(size.hosts(3 * FleetSize.WINDOW_NANOS), is(50));
  }
}
