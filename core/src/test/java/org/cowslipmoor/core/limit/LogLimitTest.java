package org.cowslipmoor.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

final class LogLimitTest {
  @Test
  void eventsBeyondTheLimitAreCounted() {
    LogLimit limit = LogLimit.create(2, 100, 0);
    assertThat(limit.tryAcquire(0), is(true));
    assertThat(limit.tryAcquire(1), is(true));
    assertThat(limit.tryAcquire(2), is(false));
    assertThat(limit.tryAcquire(99), is(false));
    assertThat(limit.tryAcquire(100), is(true));
    assertThat(limit.drainSuppressed(), is(2L));
    assertThat(limit.drainSuppressed(), is(0L));
  }

  @Test
  void limitsOutOfRangeAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> LogLimit.create(0, 1, 0));
    assertThrows(IllegalArgumentException.class, () -> LogLimit.create(1, 0, 0));
  }
}
