package org.cowslipmoor.daemon.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class RetiredIdsTest {
  private final RetiredIds ids = new RetiredIds();

  private boolean contains(String id) {
    return ids.contains(RetiredIds.fingerprint(id));
  }

  @Test
  void containsAddedIdsOnly() {
    ids.add(RetiredIds.fingerprint("r-1"));

    assertThat(contains("r-1"), is(true));
    assertThat(contains("r-2"), is(false));
  }

  @Test
  void equalIdsCountOnce() {
    for (int i = 0; i < 2 * RetiredIds.MAX_IDS; i++) {
      ids.add(RetiredIds.fingerprint("r-1"));
    }

    assertThat(ids.isFull(), is(false));
  }

  @Test
  void idsBeyondMaximumAreNotAdded() {
    for (int i = 0; i <= RetiredIds.MAX_IDS; i++) {
      assertThat(ids.isFull(), is(i == RetiredIds.MAX_IDS));
      ids.add(RetiredIds.fingerprint("r-" + i));
    }

    assertThat(contains("r-0"), is(true));
    assertThat(contains("r-" + (RetiredIds.MAX_IDS - 1)), is(true));
    assertThat(contains("r-" + RetiredIds.MAX_IDS), is(false));
  }
}
