package org.cowslipmoor.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.junit.jupiter.api.Test;

final class FleetAggregatorTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final TargetIncarnation TARGET = new TargetIncarnation("a", 2);
  private static final TargetIncarnation FORMER = new TargetIncarnation("a", 1);

  private final FleetAggregator aggregator = FleetAggregator.create(0);

  private ImmutableSet<TargetIncarnation> report(
      String host, long now, TargetIncarnation... leaving) {
    return aggregator.onReport(
        host,
        new HostReport(
            ImmutableMap.of(),
            ImmutableMap.of(),
            HostReport.StoreKnowledge.NONE,
            ImmutableSet.of(),
            ImmutableSet.copyOf(leaving),
            now),
        now);
  }

  private ImmutableSet<TargetIncarnation> listed(long now) {
    return aggregator.state(now, 0, ImmutableList.of(), ImmutableSet.of(), true).leaving();
  }

  private void register(TargetIncarnation... targets) {
    aggregator.onTargets(
        List.of(targets).stream()
            .map(t -> new DiscoveredTarget(t, "stock", "a:1", "cairo", 1, false, 0))
            .toList());
  }

  @Test
  void reportThatLacksLeavingTargetTakesNothingBack() {
    register(TARGET);
    report("x", 0, TARGET);

    report("x", 1);
    report("y", 2);

    assertThat(listed(3), is(ImmutableSet.of(TARGET)));
  }

  @Test
  void leavingTargetIsNewInItsFirstReportOnly() {
    assertThat(report("x", 0, TARGET), is(ImmutableSet.of(TARGET)));
    assertThat(report("y", 1, TARGET, FORMER), is(ImmutableSet.of(FORMER)));
    assertThat(report("x", 2, TARGET), is(empty()));
  }

  @Test
  void leavingTargetIsListedForSomeTimeAfterItsLatestReport() {
    register(TARGET);
    report("x", 0, TARGET);
    report("y", SECOND, TARGET);
    long end = SECOND + FleetAggregator.LEAVING_ANNOUNCEMENT_NANOS;

    assertThat(listed(end - 1), is(ImmutableSet.of(TARGET)));
    assertThat(listed(end), is(empty()));
    assertThat(report("z", end, TARGET), is(ImmutableSet.of(TARGET)));
    assertThat(listed(end), is(ImmutableSet.of(TARGET)));
  }

  /** The coordinator's view of the store may be older than that of a host. */
  @Test
  void onlyRegisteredIncarnationsAreListed() {
    register(FORMER);
    report("x", 0, TARGET);
    assertThat(listed(1), is(empty()));

    register(TARGET);

    assertThat(listed(2), is(ImmutableSet.of(TARGET)));
  }

  @Test
  void leavingTargetIsUnlistedUntilStateThatListsItIsSent() {
    register(TARGET);
    assertThat(aggregator.hasUnlistedLeaving(), is(false));
    report("x", 0, TARGET, FORMER);
    assertThat(aggregator.hasUnlistedLeaving(), is(true));
    FleetState state = aggregator.state(1, 0, ImmutableList.of(), ImmutableSet.of(), true);

    aggregator.onSent(state.withoutLeaving());
    assertThat(aggregator.hasUnlistedLeaving(), is(true));
    aggregator.onSent(state.withoutTargets());

    assertThat(aggregator.hasUnlistedLeaving(), is(false));
    report("y", 2, TARGET);
    assertThat(aggregator.hasUnlistedLeaving(), is(false));
  }
}
