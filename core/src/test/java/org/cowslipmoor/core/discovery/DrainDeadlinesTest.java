package org.cowslipmoor.core.discovery;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class DrainDeadlinesTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Time after an announcement from which on the platform allows no request. */
  private static final long LIMIT_NANOS = 2_000 * NANOS_PER_MILLI;

  private static DiscoveredTarget target(boolean draining) {
    return new DiscoveredTarget(
        new TargetIncarnation("t", 1), "stock", "127.0.0.1:1", "cairo", 4, draining, 0);
  }

  @Test
  void targetThatDoesNotDrainIsUsable() {
    DrainDeadlines d = DrainDeadlines.create(LeavingTargets.create(), LIMIT_NANOS);
    d.onTargets(List.of(target(false)), 0);
    assertThat(d.isUsable(target(false), LIMIT_NANOS), is(true));
  }

  @Test
  void targetThatDrainsWhenTheHostStartsIsNotUsed() {
    DrainDeadlines d = DrainDeadlines.create(LeavingTargets.create(), LIMIT_NANOS);
    d.onTargets(List.of(target(true)), 0);
    assertThat(d.isUsable(target(true), 0), is(false));
  }

  @Test
  void targetThatNoLongerDrainsStartsAnew() {
    DrainDeadlines d = DrainDeadlines.create(LeavingTargets.create(), LIMIT_NANOS);
    d.onTargets(List.of(target(true)), 0);
    d.onTargets(List.of(target(false)), 0);
    d.onConfirmed(LIMIT_NANOS);
    d.onTargets(List.of(target(true)), LIMIT_NANOS);
    assertThat(d.isUsable(target(true), LIMIT_NANOS), is(true));
  }

  /** Guards against a deadline that counts from when the entry was missing. */
  @Test
  void announcementMayPrecedeTheLossOfTheEntry() {
    DrainDeadlines d = DrainDeadlines.create(LeavingTargets.create(), LIMIT_NANOS);
    d.onTargets(List.of(target(false)), 0);
    d.onConfirmed(0);
    d.onTargets(List.of(), LIMIT_NANOS);
    d.onConfirmed(LIMIT_NANOS);
    d.onTargets(List.of(target(true)), LIMIT_NANOS);
    assertThat(d.isUsable(target(true), LIMIT_NANOS), is(false));
  }

  /**
   * Guards against spans that are each within the limit and whose sum isn't: the age of the host's
   * state when it learns of the announcement, and the time for which it uses the target then.
   */
  @Property(tries = 500, seed = "4")
  void drainingOwnerIsNotUsedBeyondTheLimit(
      @ForAll @IntRange(max = 3_000) int ageMillis,
      @ForAll @IntRange(max = 3_000) int announcedAfterMillis,
      @ForAll @IntRange(max = 4_000) int usedAfterMillis) {
    DrainDeadlines d = DrainDeadlines.create(LeavingTargets.create(), LIMIT_NANOS);
    d.onTargets(List.of(target(false)), 0);
    d.onConfirmed(0);
    long learntAt = ageMillis * NANOS_PER_MILLI;
    final long announcedAt = Math.min(learntAt, announcedAfterMillis * NANOS_PER_MILLI);
    d.onTargets(List.of(target(true)), learntAt);
    d.onConfirmed(learntAt);
    d.onTargets(List.of(target(true)), learntAt);

    long now = learntAt + usedAfterMillis * NANOS_PER_MILLI;
    assertThat(d.isUsable(target(true), now) && now - announcedAt >= LIMIT_NANOS, is(false));
  }
}
