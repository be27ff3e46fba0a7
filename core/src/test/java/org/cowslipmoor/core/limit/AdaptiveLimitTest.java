package org.cowslipmoor.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class AdaptiveLimitTest {
  @Test
  void growsOnlyWhileExhausted() {
    AdaptiveLimit limit = AdaptiveLimit.of(2, 8);
    limit.tryAcquire();
    limit.onResponse();
    assertThat(limit.limit(), is(2.0));
    limit.tryAcquire();
    limit.tryAcquire();
    assertThat(limit.tryAcquire(), is(false));
    limit.onResponse();
    assertThat(limit.limit(), is(greaterThan(2.0)));
  }

  @Test
  void shrinksOnceForOverloadsInOneInterval() {
    AdaptiveLimit limit = AdaptiveLimit.of(10, 20);
    limit.tryAcquire();
    limit.tryAcquire();
    limit.onOverload(0);
    limit.onOverload(1);
    assertThat(limit.limit(), is(closeTo(7, 0.001)));
    assertThat(limit.inProgress(), is(0));
  }

  @Test
  void neverShrinksBelowOne() {
    AdaptiveLimit limit = AdaptiveLimit.of(1, 4);
    for (int i = 0; i < 10; i++) {
      limit.tryAcquire();
      limit.onOverload(i * 1_000_000_000L);
    }
    assertThat(limit.tryAcquire(), is(true));
  }
}
