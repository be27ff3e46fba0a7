package org.cowslipmoor.daemon.codec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.stream.IntStream;
import org.cowslipmoor.core.coldstart.Allowance;
import org.cowslipmoor.core.coldstart.AllowanceRequest;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.KeyRange;
import org.cowslipmoor.schema.fleet.ColdAllowance;
import org.cowslipmoor.schema.fleet.ColdAllowanceRequest;
import org.cowslipmoor.schema.fleet.ColdTargetRequests;
import org.cowslipmoor.schema.fleet.KeyLoad;
import org.cowslipmoor.schema.fleet.LeavingTarget;
import org.cowslipmoor.schema.member.Envelope;
import org.junit.jupiter.api.Test;

final class FleetCodecTest {
  @Test
  void reportIsDecodedAsEncoded() {
    HostReport report =
        new HostReport(
            ImmutableMap.of("stock", ImmutableMap.of(3, 7)),
            ImmutableMap.of("t", new HostReport.TargetSample(2, 5, 4_000_000, 3)),
            new HostReport.StoreKnowledge(new StorePlace(2, 17), 9, 40),
            ImmutableSet.of("new"),
            ImmutableSet.of(new TargetIncarnation("t", 1_796_000_000_000L)),
            -5,
            "cairo");
    assertThat(FleetCodec.decodeReport(FleetCodec.encodeReport(report)), is(report));
  }

  @Test
  void stateIsDecodedAsEncoded() {
    FleetState state =
        new FleetState(
            4,
            ImmutableMap.of("t", new FleetState.TargetState(9, 2_000_000)),
            8,
            ImmutableList.of(new FleetState.MovingRange("stock", new KeyRange(1, 2))),
            ImmutableSet.of("new"),
            true,
            ImmutableSet.of(new TargetIncarnation("t", -3)),
            ImmutableList.of(
                new FleetState.FailingTarget("t", "", ""),
                new FleetState.FailingTarget("u", "cairo", "host-1")));
    assertThat(FleetCodec.decodeState(FleetCodec.encodeState(state)), is(state));
  }

  @Test
  void allowancesAreDecodedAsEncoded() {
    ImmutableMap<TargetIncarnation, Integer> requests =
        ImmutableMap.of(
            new TargetIncarnation("t", 1_796_000_000_000L), 2, new TargetIncarnation("u", -3), 0);
    AllowanceRequest request = new AllowanceRequest(requests, -7);
    Allowance allowance = new Allowance(requests, -7, 1_000_000_000L);

    assertThat(
        FleetCodec.decodeAllowanceRequest(FleetCodec.encodeAllowanceRequest(request)), is(request));
    assertThat(FleetCodec.decodeAllowance(FleetCodec.encodeAllowance(allowance)), is(allowance));
  }

  /** Guards against a number beyond the range of int that would count as negative. */
  @Test
  void invalidAllowancesAreRejected() {
    ColdTargetRequests nameless = ColdTargetRequests.newBuilder().setRequests(1).build();
    ColdTargetRequests tooMany =
        ColdTargetRequests.newBuilder().setTarget("t").setRequests(-1).build();
    ColdTargetRequests valid =
        ColdTargetRequests.newBuilder().setTarget("t").setRequests(1).build();
    for (List<ColdTargetRequests> targets :
        List.of(List.of(nameless), List.of(tooMany), List.of(valid, valid))) {
      ColdAllowanceRequest request =
          ColdAllowanceRequest.newBuilder().addAllTargets(targets).build();
      ColdAllowance allowance = ColdAllowance.newBuilder().addAllTargets(targets).build();
      assertThrows(
          IllegalArgumentException.class, () -> FleetCodec.decodeAllowanceRequest(request));
      assertThrows(IllegalArgumentException.class, () -> FleetCodec.decodeAllowance(allowance));
    }
  }

  @Test
  void inconsistentReportIsRejected() {
    org.cowslipmoor.schema.fleet.HostReport message =
        org.cowslipmoor.schema.fleet.HostReport.newBuilder()
            .addKeyLoads(KeyLoad.newBuilder().setService("stock").addKeys(1))
            .build();
    assertThrows(IllegalArgumentException.class, () -> FleetCodec.decodeReport(message));
  }

  @Test
  void leavingTargetWithoutIdIsRejected() {
    LeavingTarget nameless = LeavingTarget.newBuilder().setStartedAt(1).build();
    org.cowslipmoor.schema.fleet.HostReport report =
        org.cowslipmoor.schema.fleet.HostReport.newBuilder().addLeaving(nameless).build();
    org.cowslipmoor.schema.fleet.FleetState state =
        org.cowslipmoor.schema.fleet.FleetState.newBuilder().addLeaving(nameless).build();
    assertThrows(IllegalArgumentException.class, () -> FleetCodec.decodeReport(report));
    assertThrows(IllegalArgumentException.class, () -> FleetCodec.decodeState(state));
  }

  /** Each host sends a report and receives a state four times a second, for 15 KB/s at most. */
  @Test
  void thirtyLeavingTargetsFitIntoTheTrafficOfOneHost() {
    ImmutableSet<TargetIncarnation> leaving =
        IntStream.range(0, 30)
            .mapToObj(
                i -> new TargetIncarnation(String.format("i-%08x", 31 * i), 1_796_000_000_000L))
            .collect(ImmutableSet.toImmutableSet());
    HostReport report =
        new HostReport(
            ImmutableMap.of(),
            ImmutableMap.of(),
            new HostReport.StoreKnowledge(new StorePlace(2, 17), 9, 1_000_000_040L),
            ImmutableSet.of(),
            leaving,
            1_000_000_000L);
    FleetState state =
        new FleetState(
            1_000, ImmutableMap.of(), 8, ImmutableList.of(), ImmutableSet.of(), true, leaving);
    Envelope reportFrame =
        Envelope.newBuilder().setHostReport(FleetCodec.encodeReport(report)).build();
    Envelope stateFrame =
        Envelope.newBuilder().setFleetState(FleetCodec.encodeState(state)).build();

    int bytesPerSecond = 4 * (reportFrame.getSerializedSize() + stateFrame.getSerializedSize());

    assertThat(bytesPerSecond, lessThan(15_000));
  }
}
