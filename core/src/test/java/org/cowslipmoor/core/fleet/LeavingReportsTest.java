package org.cowslipmoor.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.junit.jupiter.api.Test;

final class LeavingReportsTest {
  private static final TargetIncarnation TARGET = new TargetIncarnation("a", 2);
  private static final TargetIncarnation FORMER = new TargetIncarnation("a", 1);
  private static final TargetDirectory DIRECTORY =
      TargetDirectory.of(
          List.of(new DiscoveredTarget(TARGET, "stock", "a:1", "cairo", 1, false, 0)));

  private final LeavingReports reports = LeavingReports.create();

  private ImmutableSet<TargetIncarnation> pending() {
    return reports.pending(ImmutableSet.of(TARGET), DIRECTORY);
  }

  private static FleetState stateListing(TargetIncarnation... leaving) {
    return new FleetState(
        1,
        ImmutableMap.of(),
        0,
        ImmutableList.of(),
        ImmutableSet.of(),
        true,
        ImmutableSet.copyOf(leaving));
  }

  /** The link may lose a report. */
  @Test
  void targetIsReportedUntilStateListsIt() {
    reports.onTerm(new StorePlace(0, 1));
    assertThat(pending(), is(ImmutableSet.of(TARGET)));
    reports.onState(stateListing(FORMER));
    assertThat(pending(), is(ImmutableSet.of(TARGET)));

    reports.onState(stateListing(TARGET));

    assertThat(pending(), is(empty()));
    reports.onState(stateListing());
    assertThat(pending(), is(empty()));
  }

  @Test
  void targetIsReportedToTheNextCoordinator() {
    reports.onTerm(new StorePlace(0, 1));
    pending();
    reports.onState(stateListing(TARGET));

    reports.onTerm(new StorePlace(0, 1));
    assertThat(pending(), is(empty()));
    reports.onTerm(new StorePlace(0, 2));

    assertThat(pending(), is(ImmutableSet.of(TARGET)));
  }

  @Test
  void targetThatIsNotRegisteredIsNotReported() {
    assertThat(reports.pending(ImmutableSet.of(FORMER), DIRECTORY), is(empty()));
  }
}
