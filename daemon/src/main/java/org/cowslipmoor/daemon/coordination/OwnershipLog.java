package org.cowslipmoor.daemon.coordination;

import com.google.common.annotations.VisibleForTesting;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.GrantOutcome;
import org.cowslipmoor.core.range.Leadership;
import org.cowslipmoor.core.range.RangeEntry;
import org.cowslipmoor.core.range.RangeListener;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.core.range.TableRestoration;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Logs the events that decide which target owns which keys, one line per event. Confined to the
 * host's event loop; times are nanoseconds.
 *
 * <p>Renewals of accepted grants are summarized once a second. The number of lines per second is
 * limited; lines over the limit are dropped and counted.
 */
final class OwnershipLog implements RangeListener {
  /** A new coordinator grants all ranges within one or two seconds. */
  @VisibleForTesting static final int MAX_LINES_PER_SECOND = 400;

  private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final Consumer<String> sink;
  private final Map<RangeStart, AcceptedGrant> accepted = new HashMap<>();
  private final Map<GrantOutcome, Integer> renewals = new EnumMap<>(GrantOutcome.class);
  private long secondStartedAt;
  private int lines;
  private int dropped;

  /** The first key of a range, which identifies the range. */
  private record RangeStart(String service, int from) {}

  /** The newest accepted grant of a range. */
  private record AcceptedGrant(long fence, long holdNanos) {}

  private OwnershipLog(long now, Consumer<String> sink) {
    this.secondStartedAt = now;
    this.sink = sink;
  }

  /** Creates a log that writes to the process log. */
  static OwnershipLog create(long now) {
    return new OwnershipLog(now, Logger::info);
  }

  /** Creates a log that writes to the given sink. */
  @VisibleForTesting
  static OwnershipLog to(Consumer<String> sink, long now) {
    return new OwnershipLog(now, sink);
  }

  /** Writes the summary of the past second when it is due. */
  void tick(long now) {
    if (now - secondStartedAt < NANOS_PER_SECOND) {
      return;
    }
    secondStartedAt = now;
    lines = 0;
    if (!renewals.isEmpty() || dropped > 0) {
      line("event=renewals outcomes=%s dropped_lines=%d", renewals, dropped);
    }
    renewals.clear();
    dropped = 0;
  }

  void onTermStart(RangeTable table, Leadership.@Nullable Lease lease) {
    accepted.clear();
    StorePlace term = lease == null ? StorePlace.START : lease.term();
    line(
        "event=tenure_begin table=%d ranges=%d last_fence=%d lease=%d term=%d%s",
        table.version(),
        table.entries().size(),
        table.lastFence(),
        lease == null ? 0 : lease.id(),
        term.revision(),
        term.era() == 0 ? "" : " era=" + term.era());
  }

  /**
   * Logs that the table and the members of a former era were restored.
   *
   * @param withheld number of ranges that were being transferred and get no owner for now
   * @param tookNanos time since the restoration began
   * @param heldNanos time for which keys get no other owner without a release
   */
  void onRestored(TableRestoration.Step.Write write, int withheld, long tookNanos, long heldNanos) {
    RangeTable table = write.records().table();
    line(
        "event=restored table=%d ranges=%d last_fence=%d members=%d from=%s heard=%d withheld=%d"
            + " took_ms=%d held_ms=%d",
        table.version(),
        table.entries().size(),
        table.lastFence(),
        write.records().members().members().size(),
        String.join(",", write.sources()),
        write.heard(),
        withheld,
        millis(tookNanos),
        millis(heldNanos));
  }

  void onTermEnd(String reason) {
    line("event=tenure_end reason=\"%s\"", reason);
  }

  /**
   * Logs a change of whether the coordinator's lease was renewed recently.
   *
   * @param sinceRenewalNanos time since the last successful renewal was sent
   */
  void onLease(boolean recentlyRenewed, long sinceRenewalNanos) {
    line("event=lease certain=%b renewed_ago_ms=%d", recentlyRenewed, millis(sinceRenewalNanos));
  }

  void onWrite(RangeTable table, SharedStore.CallResult result, long tookNanos) {
    line(
        "event=table_write table=%d ranges=%d last_fence=%d result=%s took_ms=%d",
        table.version(), table.entries().size(), table.lastFence(), result, millis(tookNanos));
  }

  /**
   * Logs the result of looking up a table whose write got no response.
   *
   * @param outcome whether the store has the table, in one word
   * @param tookNanos time from the call to its outcome
   */
  void onLookUp(RangeTable table, String outcome, long tookNanos) {
    line(
        "event=table_look_up table=%d outcome=%s took_ms=%d",
        table.version(), outcome, millis(tookNanos));
  }

  /**
   * Logs the outcome of a grant.
   *
   * @param tookNanos time from the decision to the outcome
   * @param leaseAgeNanos time from the last renewal of the lease to the decision
   */
  void onGrant(
      RangeEntry entry, long holdNanos, GrantOutcome outcome, long tookNanos, long leaseAgeNanos) {
    RangeStart start = new RangeStart(entry.service(), entry.range().from());
    AcceptedGrant newest = new AcceptedGrant(entry.fence(), holdNanos);
    if (outcome != GrantOutcome.ACCEPTED) {
      accepted.remove(start);
    } else if (newest.equals(accepted.put(start, newest))) {
      renewals.merge(outcome, 1, Integer::sum);
      return;
    }
    line(
        "event=grant %s hold_ms=%d outcome=%s took_ms=%d lease_age_ms=%d",
        describe(entry), millis(holdNanos), outcome, millis(tookNanos), millis(leaseAgeNanos));
  }

  void onRelease(RangeEntry entry, TargetCommands.ReleaseResult result, long tookNanos) {
    line(
        "event=release %s done=%b handover=%b took_ms=%d",
        describe(entry), result.done(), result.handover() != null, millis(tookNanos));
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
    if (lines >= MAX_LINES_PER_SECOND) {
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
