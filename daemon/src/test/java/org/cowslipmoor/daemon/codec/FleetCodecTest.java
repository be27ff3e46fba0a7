package org.cowslipmoor.daemon.codec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.range.KeyRange;
import org.cowslipmoor.schema.fleet.KeyLoad;
import org.junit.jupiter.api.Test;

final class FleetCodecTest {
  @Test
  void reportIsDecodedAsEncoded() {
    HostReport report =
        new HostReport(
            ImmutableMap.of("stock", ImmutableMap.of(3, 7)),
            ImmutableMap.of("t", new HostReport.TargetSample(2, 5, 4_000_000)),
            17,
            ImmutableSet.of("new"),
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
            true);
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
}
