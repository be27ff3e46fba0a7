package org.cowslipmoor.core.coldstart;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.discovery.TargetLimits;
import org.cowslipmoor.core.routing.ServiceDescription;
import org.junit.jupiter.api.Test;

final class ColdTargetsTest {
  private static final TargetLimits LIMITS = new TargetLimits(1.5, 8, 0);
  private static final ServiceDescription STOCK =
      new ServiceDescription("stock", 100, false, "", 6_000, 4.2);

  private static final TargetIncarnation T = new TargetIncarnation("t", 1);

  private final ColdTargets targets = ColdTargets.create();

  ColdTargetsTest() {
    targets.onLimits(LIMITS);
    targets.onServices(ImmutableMap.of("stock", STOCK));
  }

  private static DiscoveredTarget target(long coldMillis) {
    return new DiscoveredTarget(
        new TargetIncarnation("t", 1), "stock", "127.0.0.1:1", "cairo", 4, false, coldMillis);
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void read(long coldMillis, long atMillis) {
    targets.onTargets(List.of(target(coldMillis)), millis(atMillis));
  }

  private boolean isCold(long atMillis) {
    return targets.isCold(target(0), millis(atMillis));
  }

  @Test
  void targetIsColdForTheStatedTimeFromWhenTheHostLearntIt() {
    read(5_000, 100);
    assertThat(isCold(5_099), is(true));
    assertThat(isCold(5_100), is(false));
  }

  /** Guards against a cold period that never ends because the same entry is read again. */
  @Test
  void unchangedEntryDoesNotProlongTheColdPeriod() {
    read(5_000, 100);
    read(5_000, 4_000);
    assertThat(isCold(5_100), is(false));
  }

  @Test
  void newerEntryReplacesWhatWasKnown() {
    read(5_000, 100);
    read(4_500, 1_000);
    assertThat(isCold(5_499), is(true));
    read(0, 2_000);
    assertThat(isCold(2_000), is(false));
    read(3_000, 9_000);
    assertThat(isCold(9_000), is(true));
  }

  @Test
  void targetWithoutLimitIsNeverCold() {
    read(5_000, 0);
    targets.onLimits(TargetLimits.NONE);
    assertThat(isCold(1), is(false));
    assertThat(targets.room(target(0), 40, 1), is(40.0));
  }

  /** Guards against full load on a target right at the end of its cold period. */
  @Test
  void roomRisesGraduallyAfterTheColdPeriod() {
    read(5_000, 0);
    assertThat(targets.room(target(0), 40, millis(1_000)), closeTo(3, 1e-9));
    assertThat(targets.room(target(0), 40, millis(5_000)), closeTo(3, 1e-9));
    assertThat(targets.room(target(0), 40, millis(6_000)), closeTo(20, 1e-9));
    assertThat(targets.room(target(0), 40, millis(7_000)), closeTo(40, 1e-9));
    assertThat(targets.room(target(0), 2, millis(1_000)), closeTo(2, 1e-9));
  }

  @Test
  void suspectedTargetIsColdForTwoSeconds() {
    read(0, 0);
    assertThat(targets.onSuspicion(T, millis(100)), is(true));
    assertThat(targets.onSuspicion(T, millis(200)), is(false));
    assertThat(isCold(2_199), is(true));
    assertThat(isCold(2_200), is(false));
  }

  @Test
  void healthCheckIsMadeAtMostOnceInEachInterval() {
    read(0, 0);
    assertThat(targets.startCheck(T, true, millis(0)), is(true));
    assertThat(targets.startCheck(T, true, millis(299)), is(false));
    assertThat(targets.startCheck(T, false, millis(300)), is(true));
  }

  /** Guards against a health check for each request to a target that is known to be cold. */
  @Test
  void coldTargetIsCheckedOnlyIfItMayHaveRestarted() {
    read(5_000, 0);
    assertThat(targets.startCheck(T, false, millis(1)), is(false));
    assertThat(targets.startCheck(T, true, millis(1)), is(true));
  }

  @Test
  void warmTargetIsKnownToBeWarmForShortTime() {
    read(0, 0);
    assertThat(targets.onChecked(T, OptionalLong.of(0), millis(10)), is(false));
    assertThat(targets.isCheckedWarm(T, millis(409)), is(true));
    assertThat(targets.isCheckedWarm(T, millis(410)), is(false));
  }

  /** Guards against allowances without limit because the former process was warm. */
  @Test
  void reportEndsTheEffectOfAnEarlierCheck() {
    read(0, 0);
    targets.startCheck(T, true, millis(0));
    targets.onChecked(T, OptionalLong.of(0), millis(10));
    assertThat(targets.startCheck(T, true, millis(20)), is(false));
    assertThat(targets.isCheckedWarm(T, millis(20)), is(false));
  }

  @Test
  void targetThatIsColdForLongerThanItsEntrySaysHasRestarted() {
    read(0, 0);
    assertThat(targets.onChecked(T, OptionalLong.of(3_000), millis(10)), is(true));
    assertThat(isCold(3_009), is(true));
    assertThat(targets.onChecked(T, OptionalLong.of(2_900), millis(20)), is(false));
    assertThat(targets.onChecked(T, OptionalLong.empty(), millis(30)), is(true));
    assertThat(targets.isCheckedWarm(T, millis(30)), is(false));
  }

  /** Guards against a ramp for targets that have long been warm when the host starts. */
  @Test
  void targetThatWasNeverColdHasItsFullRoom() {
    read(0, 0);
    assertThat(targets.room(target(0), 40, 1), is(40.0));
  }
}
