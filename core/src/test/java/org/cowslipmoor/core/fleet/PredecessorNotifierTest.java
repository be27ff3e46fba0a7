package org.cowslipmoor.core.fleet;

import static org.cowslipmoor.core.fleet.PredecessorNotifier.INTERVAL_NANOS;
import static org.cowslipmoor.core.fleet.PredecessorNotifier.MAX_DURATION_NANOS;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class PredecessorNotifierTest {
  private static final ImmutableSet<String> NOBODY = ImmutableSet.of();

  private final PredecessorNotifier notifier = new PredecessorNotifier();

  @Test
  void firstCoordinatorHasNobodyToNotify() {
    assertThat(notifier.nextNotice(NOBODY, 0), is(Optional.empty()));
  }

  @Test
  void predecessorIsNotifiedUntilItReports() {
    notifier.onOtherCoordinator("old");

    assertThat(notifier.nextNotice(NOBODY, 0), is(Optional.of("old")));
    assertThat(notifier.nextNotice(NOBODY, INTERVAL_NANOS - 1), is(Optional.empty()));
    assertThat(notifier.nextNotice(NOBODY, INTERVAL_NANOS), is(Optional.of("old")));
    assertThat(
        notifier.nextNotice(ImmutableSet.of("old"), 3 * INTERVAL_NANOS), is(Optional.empty()));
    assertThat(notifier.nextNotice(NOBODY, 5 * INTERVAL_NANOS), is(Optional.empty()));
  }

  @Test
  void lostPredecessorIsGivenUp() {
    notifier.onOtherCoordinator("old");
    notifier.nextNotice(NOBODY, 0);

    assertThat(notifier.nextNotice(NOBODY, MAX_DURATION_NANOS), is(Optional.empty()));
  }

  @Test
  void laterPredecessorIsNotifiedAsWell() {
    notifier.onOtherCoordinator("old");
    notifier.nextNotice(ImmutableSet.of("old"), 0);
    notifier.onOtherCoordinator("older");

    assertThat(notifier.nextNotice(NOBODY, MAX_DURATION_NANOS), is(Optional.of("older")));
  }
}
