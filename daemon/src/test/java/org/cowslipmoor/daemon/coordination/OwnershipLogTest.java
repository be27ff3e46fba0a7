package org.cowslipmoor.daemon.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;

import java.util.ArrayList;
import java.util.List;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.GrantOutcome;
import org.cowslipmoor.core.range.KeyRange;
import org.cowslipmoor.core.range.Leadership;
import org.cowslipmoor.core.range.RangeEntry;
import org.cowslipmoor.core.range.RangeListener;
import org.cowslipmoor.core.range.RangeTable;
import org.junit.jupiter.api.Test;

final class OwnershipLogTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long HOLD_NANOS = 3_000 * NANOS_PER_MILLI;
  private static final RangeEntry ENTRY =
      new RangeEntry("stock", new KeyRange(0, 9), new TargetIncarnation("t1", 5), "t1:1", 7, null);

  private final List<String> lines = new ArrayList<>();
  private final OwnershipLog log = OwnershipLog.to(lines::add, 0);

  @Test
  void eachEventIsLoggedOnOneLine() {
    RangeTable table = RangeTable.of(3, 7, List.of(ENTRY));
    RangeEntry next =
        new RangeEntry(
            "stock", new KeyRange(0, 9), new TargetIncarnation("t2", 6), "t2:1", 8, null);

    log.onTermStart(table, new Leadership.Lease(11, new StorePlace(0, 12)));
    log.onLease(false, 800 * NANOS_PER_MILLI);
    log.onWrite(table, SharedStore.CallResult.UNKNOWN, 9 * NANOS_PER_MILLI);
    log.onLookUp(table, "not_written", 3 * NANOS_PER_MILLI);
    log.onGrant(
        ENTRY, HOLD_NANOS, GrantOutcome.UNKNOWN, 600 * NANOS_PER_MILLI, 100 * NANOS_PER_MILLI);
    log.onRelease(ENTRY, new TargetCommands.ReleaseResult(true, "x"), 40 * NANOS_PER_MILLI);
    log.onReassigned(
        new RangeListener.Reassignment(
            ENTRY,
            next,
            RangeListener.Reason.LAPSED,
            4 * NANOS_PER_MILLI,
            -3 * NANOS_PER_MILLI,
            -2 * NANOS_PER_MILLI,
            -NANOS_PER_MILLI));
    log.onTermEnd("another table is in the store");

    String entry = "service=stock from=0 to=9 owner=t1 life=5 address=t1:1 fence=7";
    assertThat(
        lines,
        contains(
            "event=tenure_begin table=3 ranges=1 last_fence=7 lease=11 term=12",
            "event=lease certain=false renewed_ago_ms=800",
            "event=table_write table=3 ranges=1 last_fence=7 result=UNKNOWN took_ms=9",
            "event=table_look_up table=3 outcome=not_written took_ms=3",
            "event=grant " + entry + " hold_ms=3000 outcome=UNKNOWN took_ms=600 lease_age_ms=100",
            "event=release " + entry + " done=true handover=true took_ms=40",
            "event=reassign "
                + entry
                + " next=t2 next_life=6 next_fence=8 reason=LAPSED accepted_ago_ms=4"
                + " held_for_ms=-3 unsettled_for_ms=-2 inherited_for_ms=-1",
            "event=tenure_end reason=\"another table is in the store\""));
  }

  @Test
  void renewalsAreSummarized() {
    for (int i = 0; i < 5; i++) {
      log.onGrant(ENTRY, HOLD_NANOS, GrantOutcome.ACCEPTED, NANOS_PER_MILLI, NANOS_PER_MILLI);
    }
    log.tick(1_000 * NANOS_PER_MILLI);

    assertThat(lines, hasSize(2));
    assertThat(lines.get(1), containsString("outcomes={ACCEPTED=4} dropped_lines=0"));
  }

  @Test
  void linesOverTheLimitAreCounted() {
    for (int i = 0; i < OwnershipLog.MAX_LINES_PER_SECOND + 3; i++) {
      log.onLease(true, 0);
    }
    log.tick(1_000 * NANOS_PER_MILLI);

    assertThat(lines, hasSize(OwnershipLog.MAX_LINES_PER_SECOND + 1));
    assertThat(lines.get(lines.size() - 1), containsString("dropped_lines=3"));
  }
}
