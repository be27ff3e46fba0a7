package org.cowslipmoor.core.discovery;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class LeavingTargetsTest {
  private static final TargetIncarnation FIRST = new TargetIncarnation("t", 1);
  private static final TargetIncarnation SECOND = new TargetIncarnation("t", 2);

  private static DiscoveredTarget entry(TargetIncarnation incarnation) {
    return new DiscoveredTarget(incarnation, "stock", "127.0.0.1:1", "cairo", 4, false, 0);
  }

  @Test
  void firstStatementCounts() {
    LeavingTargets leaving = LeavingTargets.create();
    assertThat(leaving.onLeaving(FIRST, 5), is(true));
    assertThat(leaving.onLeaving(FIRST, 9), is(false));
    assertThat(leaving.learntAt(FIRST), is(OptionalLong.of(5)));
  }

  @Test
  void statementSaysNothingAboutAnotherIncarnation() {
    LeavingTargets leaving = LeavingTargets.create();
    leaving.onLeaving(FIRST, 0);
    leaving.onTargets(List.of(entry(SECOND)), 1);
    assertThat(leaving.learntAt(SECOND), is(OptionalLong.empty()));
  }

  @Test
  void statementOutlivesMissingEntry() {
    LeavingTargets leaving = LeavingTargets.create();
    leaving.onLeaving(FIRST, 0);
    leaving.onTargets(List.of(), LeavingTargets.RETENTION_NANOS - 1);
    assertThat(leaving.targets(), contains(FIRST));
    leaving.onTargets(List.of(entry(FIRST)), LeavingTargets.RETENTION_NANOS - 1);
    leaving.onTargets(List.of(), 2 * LeavingTargets.RETENTION_NANOS - 2);
    assertThat(leaving.targets(), contains(FIRST));
  }

  @Test
  void statementOfTargetThatIsGoneIsForgotten() {
    LeavingTargets leaving = LeavingTargets.create();
    leaving.onLeaving(FIRST, 0);
    leaving.onTargets(List.of(), LeavingTargets.RETENTION_NANOS);
    assertThat(leaving.targets(), is(empty()));
  }

  @Test
  void leavingTargetIsListedAsDraining() {
    TargetDirectory directory =
        TargetDirectory.of(List.of(entry(FIRST))).withDraining(Set.of(FIRST));
    assertThat(directory.usable("stock"), is(empty()));
    assertThat(directory.isUsable(FIRST), is(false));
    assertThat(directory.find(FIRST).map(DiscoveredTarget::draining), is(Optional.of(true)));
    assertThat(
        TargetDirectory.of(List.of(entry(SECOND))).withDraining(Set.of(FIRST)).isUsable(SECOND),
        is(true));
  }
}
