package org.cowslipmoor.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
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
