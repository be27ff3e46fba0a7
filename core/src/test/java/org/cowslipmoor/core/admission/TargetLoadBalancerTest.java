package org.cowslipmoor.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.FleetState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class TargetLoadBalancerTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NOW = 1_000 * NANOS_PER_MILLI;
  private static final RequestRequirements REQUIREMENTS =
      new RequestRequirements(200 * NANOS_PER_MILLI, 1_000 * NANOS_PER_MILLI, 1);

  private final TargetLoadBalancer balancer =
      TargetLoadBalancer.create("cairo", new SplittableRandom(1));

  private static DiscoveredTarget target(String id, String dataCentre) {
    return new DiscoveredTarget(
        new TargetIncarnation(id, 1), "sheets", id + ":1", dataCentre, 2, false, 0);
  }

  private void fleet(String id, int inFlight, long serviceMs) {
    balancer.onFleetState(
        new FleetState(
            1,
            ImmutableMap.of(id, new FleetState.TargetState(inFlight, serviceMs * NANOS_PER_MILLI)),
            0,
            ImmutableList.of(),
            ImmutableSet.of(),
            true,
            ImmutableSet.of()),
        NOW);
  }

  private static TargetLoadBalancer withLoads(
      Map<String, Integer> loads, long serviceMs, long now) {
    TargetLoadBalancer host = TargetLoadBalancer.create("cairo", new SplittableRandom(1));
    onLoads(host, loads, serviceMs, now);
    return host;
  }

  private static void onLoads(
      TargetLoadBalancer host, Map<String, Integer> loads, long serviceMs, long now) {
    ImmutableMap.Builder<String, FleetState.TargetState> states = ImmutableMap.builder();
    loads.forEach(
        (id, n) -> states.put(id, new FleetState.TargetState(n, serviceMs * NANOS_PER_MILLI)));
    host.onFleetState(
        new FleetState(
            10,
            states.buildOrThrow(),
            0,
            ImmutableList.of(),
            ImmutableSet.of(),
            true,
            ImmutableSet.of()),
        now);
  }

  /** Returns how many of 200 requests, all assigned at one time, leave the data centre. */
  private static int left(
      TargetLoadBalancer host, List<DiscoveredTarget> targets, RequestRequirements r, long now) {
    int left = 0;
    for (int i = 0; i < 200; i++) {
      Placement p = host.assign(targets, Set.of(), r, now);
      left += p instanceof Placement.Send s && s.target().dataCentre().equals("giza") ? 1 : 0;
    }
    return left;
  }

  private static final RequestRequirements LENIENT =
      new RequestRequirements(700 * NANOS_PER_MILLI, 2_000 * NANOS_PER_MILLI, 1);
  private static final List<DiscoveredTarget> TWO_DATA_CENTRES =
      List.of(target("near", "cairo"), target("far", "giza"));

  /** Guards against a target that fails at once, looks idle, and attracts most requests. */
  @Test
  void targetThatFailsAtOnceDoesNotLookIdle() {
    final List<DiscoveredTarget> targets =
        List.of(target("a", "cairo"), target("b", "cairo"), target("c", "cairo"));
    fleet("a", 2, 50);
    fleet("b", 2, 50);
    fleet("c", 2, 50);
    // Below the number of failures at which the host ejects a target by itself.
    for (int i = 0; i < 2; i++) {
      balancer.onSend(targets.get(0), NOW);
      balancer.onFailure(targets.get(0), NOW);
    }
    int chosen = 0;
    for (int i = 0; i < 300; i++) {
      Placement p = balancer.assign(targets, Set.of(), REQUIREMENTS, NOW);
      chosen += p instanceof Placement.Send s && s.target().id().equals("a") ? 1 : 0;
    }
    assertThat(chosen, is(lessThan(60)));
  }

  /** Guards against traffic between data centres for targets there that are merely faster. */
  @Test
  void nothingLeavesWhileTheOwnDataCentreServesInTime() {
    fleet("near", 1, 90);
    fleet("far", 0, 20);
    assertThat(left(balancer, TWO_DATA_CENTRES, REQUIREMENTS, NOW), is(0));
  }

  /** Guards against rejections while another data centre has room; the share may still be 0. */
  @Test
  void requestsThatWouldBeRejectedLeaveAtOnce() {
    TargetLoadBalancer host = withLoads(Map.of("near", 12, "far", 0), 100, NOW);
    assertThat(left(host, TWO_DATA_CENTRES, LENIENT, NOW), greaterThanOrEqualTo(50));
    assertThat(host.spilloverCounts().get("sheets").share(), is(0.0));
    assertThat(host.spilloverCounts().get("sheets").leftSaturated(), greaterThanOrEqualTo(50L));
  }

  /** Guards against late responses of slow targets while another data centre has fast ones. */
  @Test
  void requestsThatWouldBeLateLeaveAtOnce() {
    fleet("near", 0, 400);
    fleet("far", 0, 50);
    assertThat(left(balancer, TWO_DATA_CENTRES, REQUIREMENTS, NOW), is(200));
  }

  @Test
  void everythingLeavesWithoutUsableTargetsInTheOwnDataCentre() {
    TargetLoadBalancer host = withLoads(Map.of("far", 0), 50, NOW);
    assertThat(left(host, List.of(target("far", "giza")), REQUIREMENTS, NOW), is(200));
    assertThat(host.spilloverCounts().get("sheets").leftNoneUsable(), is(200L));
    assertThat(host.spilloverCounts().get("sheets").leftSaturated(), is(0L));
  }

  /** Guards against one data centre's overload that makes another one's requests late. */
  @Test
  void nothingLeavesToTargetsThatWouldServeItLate() {
    TargetLoadBalancer host = withLoads(Map.of("near", 12, "far", 7), 200, NOW);
    assertThat(left(host, TWO_DATA_CENTRES, LENIENT, NOW), is(0));
  }

  /** The share of requests that leaves although the own target would accept them, over time. */
  private static int leftAfterSteadyLoad(long bytes) {
    TargetLoadBalancer host = TargetLoadBalancer.create("cairo", new SplittableRandom(1));
    for (int i = 0; i < 40; i++) {
      host.onSend(target("near", "cairo"), NOW);
      host.onResponse(target("near", "cairo"), NOW, 100 * NANOS_PER_MILLI, bytes, null);
    }
    long now = NOW;
    for (int i = 0; i < 12; i++) {
      now += 250 * NANOS_PER_MILLI;
      onLoads(host, Map.of("near", 5, "far", 0), 100, now);
      host.assign(TWO_DATA_CENTRES, Set.of(), LENIENT, now);
    }
    return left(host, TWO_DATA_CENTRES, LENIENT, now);
  }

  @Test
  void shareOfTheRequestsLeavesWhileTheOwnTargetsAreLoaded() {
    TargetLoadBalancer host = TargetLoadBalancer.create("cairo", new SplittableRandom(1));
    int before = 0;
    long now = NOW;
    for (int i = 0; i < 12; i++) {
      now += 250 * NANOS_PER_MILLI;
      onLoads(host, Map.of("near", 5, "far", 0), 400, now);
      before += left(host, TWO_DATA_CENTRES, slowRequirements(), now);
    }
    assertThat(before, greaterThanOrEqualTo(1));
    double share = host.spilloverCounts().get("sheets").share();
    assertThat(share, greaterThanOrEqualTo(0.05));
    assertThat(share, lessThanOrEqualTo(0.5));
  }

  private static RequestRequirements slowRequirements() {
    return new RequestRequirements(2_000 * NANOS_PER_MILLI, 4_000 * NANOS_PER_MILLI, 1);
  }

  /** Guards against traffic that costs more than the waiting that it saves. */
  @Test
  void requestsWithLargeResponsesStayWhileTheyAreServed() {
    assertThat(leftAfterSteadyLoad(10_000_000), is(0));
  }

  /** Guards against hosts that return requests since they no longer hear of the others' load. */
  @Test
  void shareStaysWhenTheLoadsOfOtherHostsAreOld() {
    TargetLoadBalancer host = TargetLoadBalancer.create("cairo", new SplittableRandom(1));
    long now = NOW;
    for (int i = 0; i < 12; i++) {
      now += 250 * NANOS_PER_MILLI;
      onLoads(host, Map.of("near", 5, "far", 0), 400, now);
      host.assign(TWO_DATA_CENTRES, Set.of(), slowRequirements(), now);
    }
    double share = host.spilloverCounts().get("sheets").share();
    now += 5_000 * NANOS_PER_MILLI;
    host.assign(TWO_DATA_CENTRES, Set.of(), slowRequirements(), now);
    assertThat(host.spilloverCounts().get("sheets").share(), is(share));

    // Loads that are known again, and low, let the share fall.
    onLoads(host, Map.of("near", 0, "far", 0), 400, now);
    host.assign(TWO_DATA_CENTRES, Set.of(), slowRequirements(), now + NANOS_PER_MILLI * 100);
    assertThat(host.spilloverCounts().get("sheets").share(), lessThan(share));
  }

  /** The former rule is kept for comparison only: it leaves for targets that are faster. */
  @Test
  void formerRuleLeavesForFasterTargets() {
    TargetLoadBalancer former =
        TargetLoadBalancer.createWithFixedPathCost("cairo", new SplittableRandom(1));
    onLoads(former, Map.of("far", 0), 20, NOW);
    onLoads(former, Map.of("near", 1), 90, NOW);
    assertThat(left(former, TWO_DATA_CENTRES, REQUIREMENTS, NOW), greaterThanOrEqualTo(1));
  }

  private String assignedTarget(List<DiscoveredTarget> targets) {
    Placement p = balancer.assign(targets, Set.of(), REQUIREMENTS, NOW);
    return ((Placement.Send) p).target().id();
  }

  /** Guards against hosts that together open more connections than a target accepts. */
  @ParameterizedTest
  @CsvSource({"232, 19", "701, 102", "701, 1000", "701, 4700"})
  void hostsTogetherStayWithinTheConnectionLimitOfTargetWherePossible(int limit, int hosts) {
    DiscoveredTarget manySlots =
        new DiscoveredTarget(
            new TargetIncarnation("t", 1), "sheets", "t:1", "cairo", 100, false, 0);
    balancer.onConnectionLimits(ImmutableMap.of("sheets", limit), hosts);
    int sent = 0;
    while (sent < limit && balancer.admit(manySlots, REQUIREMENTS, NOW) instanceof Placement.Send) {
      balancer.onSend(manySlots, NOW);
      sent++;
    }
    assertThat(sent, greaterThanOrEqualTo(1));
    assertThat(sent == 1 || sent * hosts <= limit, is(true));
  }

  @Test
  void fasterTargetIsPreferred() {
    fleet("slow", 0, 90);
    fleet("fast", 0, 30);
    assertThat(
        assignedTarget(List.of(target("slow", "cairo"), target("fast", "cairo"))), is("fast"));
  }

  @Test
  void ownDataCentreIsPreferredAmongEquals() {
    fleet("far", 0, 50);
    fleet("near", 0, 50);
    assertThat(assignedTarget(List.of(target("far", "giza"), target("near", "cairo"))), is("near"));
  }

  /** Large responses cost more on the links between data centres than waiting costs. */
  @Test
  void largeResponsesStayInTheOwnDataCentreWhileTheyAreOnTime() {
    DiscoveredTarget near = target("near", "cairo");
    for (int i = 0; i < 40; i++) {
      balancer.onSend(near, NOW);
      balancer.onResponse(near, NOW, 90 * NANOS_PER_MILLI, 90_000, null);
    }
    fleet("near", 0, 90);
    fleet("far", 0, 30);
    assertThat(assignedTarget(List.of(target("far", "giza"), near)), is("near"));
  }

  /** Requests of other hosts are visible only through the fleet state. */
  @Test
  void targetFilledByOtherHostsIsAvoided() {
    fleet("full", 4, 50);
    fleet("free", 0, 60);
    assertThat(
        assignedTarget(List.of(target("full", "cairo"), target("free", "cairo"))), is("free"));
  }

  /** In overload, late requests are rejected immediately, with a time for the retry. */
  @Test
  void requestThatWouldBeLateIsRejectedImmediately() {
    DiscoveredTarget t = target("t", "cairo");
    fleet("t", 5, 100);
    Placement p = balancer.admit(t, REQUIREMENTS, NOW);
    assertThat(p, instanceOf(Placement.Reject.class));
    assertThat(
        ((Placement.Reject) p).retryAfterNanos(), greaterThanOrEqualTo(100 * NANOS_PER_MILLI));
  }

  /** If requests of a service have different objectives, the tightest one bounds the queues. */
  @Test
  void queueIsBoundedByTheTightestObjectiveOfTheService() {
    DiscoveredTarget t = target("t", "cairo");
    fleet("t", 4, 50);
    RequestRequirements lenient =
        new RequestRequirements(1_000 * NANOS_PER_MILLI, 2_000 * NANOS_PER_MILLI, 2);
    assertThat(balancer.admit(t, lenient, NOW), instanceOf(Placement.Send.class));
    balancer.admit(
        t, new RequestRequirements(100 * NANOS_PER_MILLI, 500 * NANOS_PER_MILLI, 1), NOW);
    assertThat(balancer.admit(t, lenient, NOW), instanceOf(Placement.Reject.class));
  }

  /**
   * Guards against hosts that all choose the target with the lowest load in the last report, which
   * is the same for all of them.
   */
  @ParameterizedTest
  @ValueSource(ints = {19, 102, 1000})
  void hostsWithTheSameReportSpreadTheirRequests(int hosts) {
    ImmutableMap.Builder<String, FleetState.TargetState> loads = ImmutableMap.builder();
    List<DiscoveredTarget> targets = new ArrayList<>();
    for (int i = 0; i < hosts; i++) {
      targets.add(target("t" + i, "cairo"));
      loads.put("t" + i, new FleetState.TargetState(i % 10 == 0 ? 0 : 2, 50 * NANOS_PER_MILLI));
    }
    FleetState state =
        new FleetState(
            hosts,
            loads.buildOrThrow(),
            0,
            ImmutableList.of(),
            ImmutableSet.of(),
            true,
            ImmutableSet.of());
    Map<String, Integer> received = new HashMap<>();
    int unassigned = 0;
    for (int h = 0; h < hosts; h++) {
      TargetLoadBalancer host = TargetLoadBalancer.create("cairo", new SplittableRandom(h));
      host.onFleetState(state, NOW);
      if (host.assign(targets, Set.of(), REQUIREMENTS, NOW) instanceof Placement.Send send) {
        received.merge(send.target().id(), 1, Integer::sum);
      } else {
        unassigned++;
      }
    }
    assertThat(unassigned, is(0));
    assertThat(Collections.max(received.values()), lessThanOrEqualTo(8));
  }

  @Test
  void ownRequestIsSeenBeforeTheNextReport() {
    balancer.onFleetState(
        new FleetState(
            10,
            ImmutableMap.of(
                "a", new FleetState.TargetState(0, 50 * NANOS_PER_MILLI),
                "b", new FleetState.TargetState(1, 50 * NANOS_PER_MILLI)),
            0,
            ImmutableList.of(),
            ImmutableSet.of(),
            true,
            ImmutableSet.of()),
        NOW);
    List<DiscoveredTarget> both = List.of(target("a", "cairo"), target("b", "cairo"));
    balancer.onSend(target("a", "cairo"), NOW);
    assertThat(assignedTarget(both), is("b"));
  }

  @Test
  void lateRequestIsServedWhenNothingIsQueued() {
    DiscoveredTarget t = target("t", "cairo");
    fleet("t", 0, 400);
    assertThat(balancer.admit(t, REQUIREMENTS, NOW), instanceOf(Placement.Send.class));
  }

  @Test
  void excludedTargetsAreNotChosen() {
    Placement p = balancer.assign(List.of(target("t", "cairo")), Set.of("t"), REQUIREMENTS, NOW);
    assertThat(p, instanceOf(Placement.NoTarget.class));
  }
}
