package org.cowslipmoor.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import org.junit.jupiter.api.Test;

final class LostItemsTest {
  private final LostItems lost = LostItems.create();

  /** Guards against requests into a data centre whose evacuation the store has lost. */
  @Test
  void evacuationEndsTenSecondsAfterTheEraBegan() {
    lost.onEra(0);
    lost.onMissing("e", LostItems.Kind.EVACUATION);
    assertThat(lost.removeExpired(LostItems.EVACUATION_NANOS - 1), is(empty()));
    assertThat(lost.removeExpired(LostItems.EVACUATION_NANOS), is(Set.of("e")));
    assertThat(lost.size(), is(0));
  }

  @Test
  void itemSeenInTheNewEraIsNotLost() {
    lost.onEra(0);
    lost.onMissing("t", LostItems.Kind.TARGET);
    lost.onSeen("t");
    assertThat(lost.removeExpired(LostItems.TARGET_NANOS), is(empty()));
  }

  @Test
  void periodBeginsAgainWithTheNextEra() {
    lost.onEra(0);
    lost.onMissing("t", LostItems.Kind.TARGET);
    lost.onEra(LostItems.TARGET_NANOS - 1);
    assertThat(lost.removeExpired(LostItems.TARGET_NANOS), is(empty()));
    assertThat(lost.removeExpired(2 * LostItems.TARGET_NANOS), is(Set.of("t")));
  }

  @Test
  void permanentItemNeverEndsAndLeasedOneEndsAtOnce() {
    lost.onEra(0);
    assertThat(lost.onMissing("m", LostItems.Kind.PERMANENT), is(false));
    assertThat(lost.onMissing("c", LostItems.Kind.LEASED), is(true));
    assertThat(lost.removeExpired(1_000 * LostItems.EVACUATION_NANOS), is(empty()));
  }
}
