package org.cowslipmoor.daemon.codec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.stream.IntStream;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.KeyRange;
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
            ImmutableMap.of("t", new HostReport.TargetSample(2, 5, 4_000_000)),
            new HostReport.StoreKnowledge(new StorePlace(2, 17), 9, 40),
            ImmutableSet.of("new"),
            ImmutableSet.of(new TargetIncarnation("t", 1_796_000_000_000L)),
            -5);
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
            ImmutableSet.of(new TargetIncarnation("t", -3)));
    assertThat(FleetCodec.decodeState(FleetCodec.encodeState(state)), is(state));
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
