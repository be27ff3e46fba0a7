package org.cowslipmoor.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.FleetState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class TargetLoadBalancerTest {
  private static final long MS = 1_000_000L;
  private static final long NOW = 1_000 * MS;
  private static final RequestRequirements NEEDS = new RequestRequirements(200 * MS, 1_000 * MS, 1);

  private final TargetLoadBalancer book =
      TargetLoadBalancer.create("cairo", new SplittableRandom(1));

  private static DiscoveredTarget target(String id, String dataCentre) {
    return new DiscoveredTarget(
        new TargetIncarnation(id, 1), "sheets", id + ":1", dataCentre, 2, false, 0);
  }

  private void fleet(String id, int inFlight, long serviceMs) {
    book.onFleetState(
        new FleetState(
            1,
            ImmutableMap.of(id, new FleetState.TargetState(inFlight, serviceMs * MS)),
            0,
            ImmutableList.of(),
            ImmutableSet.of(),
            true),
        NOW);
  }

  private String placed(List<DiscoveredTarget> targets) {
    Placement p = book.assign(targets, Set.of(), NEEDS, NOW);
    return ((Placement.Send) p).target().id();
  }

  /** Answers fleets whose hosts together would open more connections than a target accepts. */
  @ParameterizedTest
  @CsvSource({"232, 19", "701, 102", "701, 1000", "701, 4700"})
  void hostsTogetherStayBelowTheConnectionsOfTargetWhileTheyCan(int limit, int hosts) {
    DiscoveredTarget wide =
        new DiscoveredTarget(
            new TargetIncarnation("t", 1), "sheets", "t:1", "cairo", 100, false, 0);
    book.onConnectionLimits(ImmutableMap.of("sheets", limit), hosts);
    int sent = 0;
    while (sent < limit && book.admit(wide, NEEDS, NOW) instanceof Placement.Send) {
      book.onSend(wide, NOW);
      sent++;
    }
    assertThat(sent, greaterThanOrEqualTo(1));
    assertThat(sent == 1 || sent * hosts <= limit, is(true));
  }

  @Test
  void fasterTargetIsPreferred() {
    fleet("slow", 0, 90);
    fleet("fast", 0, 30);
    assertThat(placed(List.of(target("slow", "cairo"), target("fast", "cairo"))), is("fast"));
  }

  @Test
  void ownDataCentreIsPreferredAmongEquals() {
    fleet("far", 0, 50);
    fleet("near", 0, 50);
    assertThat(placed(List.of(target("far", "giza"), target("near", "cairo"))), is("near"));
  }

  /** Answers large downloads, which cost the links between data centres more than a wait. */
  @Test
  void largeAnswersStayNearWhileTheyAreOnTime() {
    DiscoveredTarget near = target("near", "cairo");
    for (int i = 0; i < 40; i++) {
      book.onSend(near, NOW);
      book.onResponse(near, NOW, 90 * MS, 90_000, null);
    }
    fleet("near", 0, 90);
    fleet("far", 0, 30);
    assertThat(placed(List.of(target("far", "giza"), near)), is("near"));
  }

  /** Answers other hosts' requests, which this host does not see. */
  @Test
  void targetThatOtherHostsFillIsAvoided() {
    fleet("full", 4, 50);
    fleet("free", 0, 60);
    assertThat(placed(List.of(target("full", "cairo"), target("free", "cairo"))), is("free"));
  }

  /** Answers overload: what would be late is refused at once and told when to come back. */
  @Test
  void requestThatWouldBeLateIsRefusedAtOnce() {
    DiscoveredTarget t = target("t", "cairo");
    fleet("t", 5, 100);
    Placement p = book.admit(t, NEEDS, NOW);
    assertThat(p, instanceOf(Placement.Reject.class));
    assertThat(((Placement.Reject) p).retryAfterNanos(), greaterThanOrEqualTo(100 * MS));
  }

  /** Answers classes of one service with unlike objectives: the tightest bounds the queues. */
  @Test
  void queueIsBoundedByTheTightestObjectiveOfTheService() {
    DiscoveredTarget t = target("t", "cairo");
    fleet("t", 4, 50);
    RequestRequirements patient = new RequestRequirements(1_000 * MS, 2_000 * MS, 2);
    assertThat(book.admit(t, patient, NOW), instanceOf(Placement.Send.class));
    book.admit(t, new RequestRequirements(100 * MS, 500 * MS, 1), NOW);
    assertThat(book.admit(t, patient, NOW), instanceOf(Placement.Reject.class));
  }

  /** Answers hosts that would all choose the target that looked best when they last heard. */
  @Test
  void ownUnreportedRequestsStandForThoseOfTheOtherHosts() {
    book.onFleetState(
        new FleetState(
            10,
            ImmutableMap.of(
                "a", new FleetState.TargetState(0, 50 * MS),
                "b", new FleetState.TargetState(1, 50 * MS)),
            0,
            ImmutableList.of(),
            ImmutableSet.of(),
            true),
        NOW);
    List<DiscoveredTarget> both = List.of(target("a", "cairo"), target("b", "cairo"));
    book.onSend(target("a", "cairo"), NOW);
    assertThat(placed(both), is("b"));
  }

  @Test
  void lateRequestIsStillServedWhenNobodyWaits() {
    DiscoveredTarget t = target("t", "cairo");
    fleet("t", 0, 400);
    assertThat(book.admit(t, NEEDS, NOW), instanceOf(Placement.Send.class));
  }

  @Test
  void excludedTargetsAreNotChosen() {
    Placement p = book.assign(List.of(target("t", "cairo")), Set.of("t"), NEEDS, NOW);
    assertThat(p, instanceOf(Placement.NoTarget.class));
  }
}
