package org.cowslipmoor.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class TargetHealthTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final List<String> TARGETS = List.of("a", "b", "c");

  private final TargetHealth health = TargetHealth.create(1.0 / 3);

  private void fail(String target, int times, long now) {
    for (int i = 0; i < times; i++) {
      health.onFailure(target, now);
    }
  }

  private List<String> usable(long now) {
    return health.usable(TARGETS, id -> id, now);
  }

  @Test
  void targetIsEjectedAfterThreeFailuresInRow() {
    fail("a", 2, 0);
    assertThat(usable(0), is(TARGETS));
    fail("a", 1, 0);
    assertThat(usable(0), contains("b", "c"));
  }

  @Test
  void responseResetsEarlierFailures() {
    fail("a", 2, 0);
    health.onResponse("a");
    fail("a", 2, 0);
    assertThat(usable(0), is(TARGETS));
  }

  @Test
  void targetReceivesOneTrialAfterItsEjection() {
    fail("a", 3, 0);
    assertThat(usable(NANOS_PER_SECOND - 1), contains("b", "c"));
    assertThat(usable(NANOS_PER_SECOND), is(TARGETS));
    health.onSend("a", NANOS_PER_SECOND);
    assertThat(usable(NANOS_PER_SECOND), contains("b", "c"));
    health.onResponse("a");
    assertThat(usable(NANOS_PER_SECOND), is(TARGETS));
  }

  @Test
  void failedTrialDoublesTheEjectionTime() {
    fail("a", 3, 0);
    health.onSend("a", NANOS_PER_SECOND);
    health.onFailure("a", NANOS_PER_SECOND);
    assertThat(health.isEjected("a", 3 * NANOS_PER_SECOND - 1), is(true));
    assertThat(health.isEjected("a", 3 * NANOS_PER_SECOND), is(false));
  }

  @Test
  void trialWithoutOutcomeTimesOut() {
    fail("a", 3, 0);
    health.onSend("a", NANOS_PER_SECOND);
    assertThat(health.isEjected("a", 3 * NANOS_PER_SECOND - 1), is(true));
    assertThat(health.isEjected("a", 3 * NANOS_PER_SECOND), is(false));
  }

  @Test
  void failuresOfRequestsSentBeforeTheEjectionDoNotExtendIt() {
    fail("a", 9, 0);
    assertThat(health.isEjected("a", NANOS_PER_SECOND), is(false));
  }

  @Test
  void ejectedShareIsBounded() {
    TARGETS.forEach(id -> fail(id, 3, 0));
    assertThat(usable(0), hasSize(2));
    assertThat(health.usable(List.of("a"), id -> id, 0), contains("a"));
  }

  @Test
  void targetWithTheOldestFailureIsIncludedFirstAtTheBound() {
    TargetHealth pair = TargetHealth.create(0.99);
    pair.eject("a", 0);
    pair.onSend("a", NANOS_PER_SECOND);
    pair.onFailure("a", NANOS_PER_SECOND);
    pair.eject("b", NANOS_PER_SECOND + 1);
    assertThat(pair.isEjected("a", 2 * NANOS_PER_SECOND + 2), is(true));
    pair.onFailure("b", 2 * NANOS_PER_SECOND);
    assertThat(pair.usable(List.of("a", "b"), id -> id, 2 * NANOS_PER_SECOND), contains("a"));
  }

  /** Guards against a host that has to fail three requests of its own first. */
  @Test
  void publishedTargetIsEjectedUntilItIsNoLongerPublished() {
    health.onPublished(Map.of("a", false), 0);
    assertThat(health.isEjected("a", NANOS_PER_SECOND), is(true));
    assertThat(usable(NANOS_PER_SECOND), hasSize(TARGETS.size() - 1));
    health.onPublished(Map.of(), NANOS_PER_SECOND);
    assertThat(health.isEjected("a", NANOS_PER_SECOND), is(false));
  }

  /** Guards against a coordinator that is gone and keeps targets out for ever. */
  @Test
  void publicationIsIgnoredOnceItIsOld() {
    health.onPublished(Map.of("a", false), 0);
    assertThat(health.isEjected("a", NANOS_PER_SECOND * 3 / 2 - 1), is(true));
    assertThat(health.isEjected("a", NANOS_PER_SECOND * 3 / 2), is(false));
  }

  @Test
  void hostThatMayTryPublishedTargetSendsOneRequestAtOnce() {
    fail("a", 3, 0);
    health.onPublished(Map.of("a", true), 1);
    assertThat(health.isEjected("a", 1), is(false));
    health.onSend("a", 1);
    assertThat(health.isEjected("a", 2), is(true));
    health.onResponse("a");
    assertThat(health.isEjected("a", 3), is(false));
  }

  @Test
  void ejectedShareMustBeBelowOne() {
    assertThrows(IllegalArgumentException.class, () -> TargetHealth.create(1));
  }
}
