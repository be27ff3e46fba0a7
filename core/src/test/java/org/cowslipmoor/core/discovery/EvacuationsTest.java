package org.cowslipmoor.core.discovery;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class EvacuationsTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long LIMIT_NANOS = 5_000 * NANOS_PER_MILLI;
  private static final long DEADLINE_NANOS = 4_000 * NANOS_PER_MILLI;
  private static final int TARGETS = 20;

  private final Evacuations evacuations = Evacuations.create();

  EvacuationsTest() {
    evacuations.onLimit(LIMIT_NANOS);
  }

  private static TargetDirectory directory(String... dataCentres) {
    List<DiscoveredTarget> targets = new ArrayList<>();
    for (String dc : dataCentres) {
      for (int i = 0; i < TARGETS; i++) {
        TargetIncarnation incarnation = new TargetIncarnation(dc + i, 1);
        targets.add(new DiscoveredTarget(incarnation, "sheets", dc + ":" + i, dc, 4, false, 0));
      }
    }
    return TargetDirectory.of(targets);
  }

  private void evacuateAfterClear(long clearAt, long learntAt) {
    evacuations.onEvacuated(Set.of(), true, clearAt);
    evacuations.onConfirmed(clearAt);
    evacuations.onEvacuated(Set.of("cairo"), true, learntAt);
    evacuations.onConfirmed(learntAt);
  }

  /** Guards against a deadline that counts from the arrival of news that are seconds old. */
  @Test
  void deadlineCountsFromLastConfirmationBefore() {
    evacuateAfterClear(0, DEADLINE_NANOS - 1);
    assertThat(evacuations.hasPassed("cairo", DEADLINE_NANOS - 1), is(false));
    assertThat(evacuations.hasPassed("cairo", DEADLINE_NANOS), is(true));
    assertThat(evacuations.hasPassed("delta", DEADLINE_NANOS), is(false));
  }

  @Test
  void hostThatStartsSendsNothingToEvacuatedDataCentre() {
    evacuations.onConfirmed(-1);
    evacuations.onEvacuated(Set.of("cairo"), true, 0);
    assertThat(evacuations.hasPassed("cairo", 0), is(true));
    assertThat(evacuations.clearAt("cairo"), is(OptionalLong.empty()));
  }

  /** Guards against changes that arrive before the first read and are taken for all items. */
  @Test
  void incompleteStateDoesNotShowThatOthersAreNotEvacuated() {
    evacuations.onEvacuated(Set.of(), false, 0);
    evacuations.onConfirmed(0);
    evacuations.onEvacuated(Set.of("cairo"), true, 1);
    assertThat(evacuations.hasPassed("cairo", 1), is(true));
  }

  @Test
  void nothingIsRestrictedWithoutLimit() {
    evacuations.onLimit(0);
    evacuateAfterClear(0, 1);
    assertThat(evacuations.hasPassed("cairo", 10 * LIMIT_NANOS), is(false));
    assertThat(evacuations.restricted(directory("cairo", "delta"), 1), is(empty()));
    assertThat(evacuations.inForce().keySet(), is(empty()));
    evacuations.onEvacuated(Set.of(), true, 2);
    assertThat(evacuations.isAnyReturning(2), is(false));
  }

  /** Guards against a settings file that turns the limit on and starts the deadline anew. */
  @Test
  void limitThatIsSetLaterCountsFromTheSameTime() {
    evacuations.onLimit(0);
    evacuateAfterClear(0, 1);
    evacuations.onLimit(LIMIT_NANOS);
    assertThat(evacuations.hasPassed("cairo", DEADLINE_NANOS - 1), is(false));
    assertThat(evacuations.hasPassed("cairo", DEADLINE_NANOS), is(true));
  }

  @Test
  void evacuationOfUnknownDataCentreHasNoEffect() {
    evacuations.onEvacuated(Set.of("nowhere"), true, 0);
    assertThat(evacuations.restricted(directory("cairo", "delta"), 0), is(empty()));
  }

  /** Guards against all hosts that turn to the same targets at the same moment. */
  @Test
  void targetsReturnOneByOneAndInTheSameOrderOnAllHosts() {
    TargetDirectory directory = directory("cairo", "delta");
    evacuateAfterClear(0, 1);
    assertThat(evacuations.restricted(directory, 2), hasSize(TARGETS));
    evacuations.onEvacuated(Set.of(), true, 10);
    Evacuations other = Evacuations.create();
    other.onLimit(LIMIT_NANOS);
    other.onEvacuated(Set.of("cairo"), true, 7);
    other.onEvacuated(Set.of(), true, 10);

    int before = TARGETS;
    for (int second = 1; second <= 4; second++) {
      long now = 10 + second * 1_000L * NANOS_PER_MILLI;
      ImmutableSet<TargetIncarnation> restricted = evacuations.restricted(directory, now);
      assertThat(other.restricted(directory, now), is(restricted));
      // Of 20 targets, 5 return in a second on average.
      assertThat(before - restricted.size(), is(allOf(greaterThan(0), lessThan(12))));
      before = restricted.size();
    }
    assertThat(before, is(0));
    assertThat(evacuations.isAnyReturning(10 + Evacuations.RETURN_NANOS), is(false));
  }

  /** Guards against one target that gets the whole load of its service at first. */
  @Test
  void targetsReturnAtOnceIfTheServiceHasNoOthers() {
    evacuateAfterClear(0, 1);
    evacuations.onEvacuated(Set.of(), true, 10);
    assertThat(evacuations.restricted(directory("cairo"), 10), is(empty()));
  }

  @Test
  void dataCentreIsEvacuatedAgainBeforeItsReturnEnds() {
    final TargetDirectory directory = directory("cairo", "delta");
    evacuateAfterClear(0, 1);
    long returnAt = 20_000 * NANOS_PER_MILLI;
    evacuations.onEvacuated(Set.of(), true, returnAt);
    evacuations.onConfirmed(returnAt);
    long againAt = returnAt + Evacuations.RETURN_NANOS / 2;
    evacuations.onEvacuated(Set.of("cairo"), true, againAt);

    assertThat(evacuations.restricted(directory, againAt), hasSize(TARGETS));
    assertThat(evacuations.hasPassed("cairo", returnAt + DEADLINE_NANOS - 1), is(false));
    assertThat(evacuations.hasPassed("cairo", returnAt + DEADLINE_NANOS), is(true));
    evacuations.onEvacuated(Set.of(), true, againAt + 1);
    assertThat(evacuations.restricted(directory, againAt + 1).size(), greaterThan(TARGETS / 2));
  }
}
