package org.cowslipmoor.daemon.coordination;

import com.google.common.annotations.VisibleForTesting;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cowslipmoor.core.range.GrantOutcome;
import org.cowslipmoor.core.range.Leadership;
import org.cowslipmoor.core.range.RangeEntry;
import org.cowslipmoor.core.range.RangeListener;
import org.cowslipmoor.core.range.RangeTable;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Logs what changes who holds which keys, one line an event. Confined to the host's event loop;
 * times are nanoseconds.
 *
 * <p>Renewals that go as expected are summed up once a second, and the lines of each second are
 * bounded: those beyond the bound are counted.
 */
final class OwnershipLog implements RangeListener {
  /** Most lines in a second; a host that takes over grants all its ranges within one or two. */
  @VisibleForTesting static final int LINES_PER_SECOND = 400;

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final Consumer<String> sink;
  private final Map<Start, Accepted> accepted = new HashMap<>();
  private final Map<GrantOutcome, Integer> renewals = new EnumMap<>(GrantOutcome.class);
  private long secondBeganAt;
  private int lines;
  private int dropped;

  /** Where a range begins. */
  private record Start(String service, int from) {}

  /** The newest grant that was accepted. */
  private record Accepted(long fence, long hold) {}

  private OwnershipLog(long now, Consumer<String> sink) {
    this.secondBeganAt = now;
    this.sink = sink;
  }

  /** Creates a log that writes to the process's log. */
  static OwnershipLog create(long now) {
    return new OwnershipLog(now, Logger::info);
  }

  /** Creates a log that writes elsewhere. */
  @VisibleForTesting
  static OwnershipLog to(Consumer<String> sink, long now) {
    return new OwnershipLog(now, sink);
  }

  /** Writes the sums that are due. */
  void tick(long now) {
    if (now - secondBeganAt < SECOND) {
      return;
    }
    secondBeganAt = now;
    lines = 0;
    if (!renewals.isEmpty() || dropped > 0) {
      line("event=renewals outcomes=%s dropped_lines=%d", renewals, dropped);
    }
    renewals.clear();
    dropped = 0;
  }

  void onTenure(RangeTable table, Leadership.@Nullable Lease lease) {
    accepted.clear();
    line(
        "event=tenure_begin table=%d ranges=%d last_fence=%d lease=%d term=%d",
        table.version(),
        table.entries().size(),
        table.lastFence(),
        lease == null ? 0 : lease.id(),
        lease == null ? 0 : lease.term());
  }

  void onTenureEnd(String reason) {
    line("event=tenure_end reason=\"%s\"", reason);
  }

  /**
   * Takes a change of whether the coordinator's lease was renewed lately.
   *
   * @param sinceRenewal time since the last renewal that succeeded was sent
   */
  void onLease(boolean certain, long sinceRenewal) {
    line("event=lease certain=%b renewed_ago_ms=%d", certain, millis(sinceRenewal));
  }

  void onWrite(RangeTable table, SharedStore.CallResult result, long took) {
    line(
        "event=table_write table=%d ranges=%d last_fence=%d result=%s took_ms=%d",
        table.version(), table.entries().size(), table.lastFence(), result, millis(took));
  }

  /**
   * Takes the outcome of a look for a table whose write got no answer.
   *
   * @param outcome whether the store has the table, in a word
   * @param took time from the call to its outcome
   */
  void onLookUp(RangeTable table, String outcome, long took) {
    line(
        "event=table_look_up table=%d outcome=%s took_ms=%d",
        table.version(), outcome, millis(took));
  }

  /**
   * Takes the outcome of a grant.
   *
   * @param took time from the decision to the outcome
   * @param leaseAge time from the lease's last renewal to the decision
   */
  void onGrant(RangeEntry entry, long hold, GrantOutcome outcome, long took, long leaseAge) {
    Start start = new Start(entry.service(), entry.range().from());
    Accepted newest = new Accepted(entry.fence(), hold);
    if (outcome != GrantOutcome.ACCEPTED) {
      accepted.remove(start);
    } else if (newest.equals(accepted.put(start, newest))) {
      renewals.merge(outcome, 1, Integer::sum);
      return;
    }
    line(
        "event=grant %s hold_ms=%d outcome=%s took_ms=%d lease_age_ms=%d",
        describe(entry), millis(hold), outcome, millis(took), millis(leaseAge));
  }

  void onRelease(RangeEntry entry, TargetCommands.ReleaseResult released, long took) {
    line(
        "event=release %s done=%b handover=%b took_ms=%d",
        describe(entry), released.done(), released.handover() != null, millis(took));
  }

  @Override
  public void onReassigned(Reassignment r) {
    line(
        "event=reassign %s next=%s next_life=%d next_fence=%d reason=%s accepted_ago_ms=%d"
            + " held_for_ms=%d unsettled_for_ms=%d inherited_for_ms=%d",
        describe(r.former()),
        r.next().owner().id(),
        r.next().owner().startedAt(),
        r.next().fence(),
        r.reason(),
        millis(r.sinceAcceptedNanos()),
        millis(r.heldForNanos()),
        millis(r.unsettledForNanos()),
        millis(r.inheritedForNanos()));
  }

  private void line(String format, Object... arguments) {
    if (lines >= LINES_PER_SECOND) {
      dropped++;
      return;
    }
    lines++;
    sink.accept(String.format(Locale.ROOT, format, arguments));
  }

  private static String describe(RangeEntry e) {
    return String.format(
        Locale.ROOT,
        "service=%s from=%d to=%d owner=%s life=%d address=%s fence=%d",
        e.service(),
        e.range().from(),
        e.range().to(),
        e.owner().id(),
        e.owner().startedAt(),
        e.address(),
        e.fence());
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
