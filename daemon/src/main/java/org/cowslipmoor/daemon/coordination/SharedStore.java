package org.cowslipmoor.daemon.coordination;

import com.google.common.collect.ImmutableSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.cowslipmoor.core.range.Leadership;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.schema.fleet.StoreNews;
import org.jspecify.annotations.Nullable;

/**
 * The store that all hosts share. All calls are made, and all futures completed, on one event loop;
 * the futures never fail.
 */
public interface SharedStore {

  /** Begins to follow the store; the consumer is called with each change. */
  void watch(Consumer<StoreView> onChange);

  /**
   * Takes whether another host says that it passes the store's news on to this one. While those are
   * recent, this host does not ask the store itself.
   */
  void onRelayAvailable(boolean isAvailable);

  /** Tells whether the store's state is known here to so recent a time that it can be passed on. */
  boolean isCurrent(long now);

  /** Returns the time to which the store's state is known here, at least. */
  long confirmedAt();

  /** Returns the revision up to which all changes are known here, whether or not there were any. */
  long revision();

  /** Returns the revision after which all changes are known here, deletions included. */
  long trackedSince();

  /** Returns what was written after a revision, or all that there is if that is 0. */
  StoreNews updatesSince(long revision);

  /** Takes what another host knows of the store. */
  void onRelayedUpdates(StoreNews news);

  /** Tries to become the one coordinator, under a new lease. */
  CompletableFuture<ClaimResult> claim();

  /** Renews a lease. */
  CompletableFuture<CallResult> renew(Leadership.Lease lease);

  /** Ends a lease. */
  CompletableFuture<CallResult> end(Leadership.Lease lease);

  /**
   * Writes the table of key ranges, provided that the lease's claim stands and the store has the
   * table of the given revision.
   */
  CompletableFuture<WriteResult> write(RangeTable table, long revision, Leadership.Lease lease);

  /** Writes the members under the same kind of condition. */
  CompletableFuture<WriteResult> writeMembers(
      ImmutableSet<String> members, long revision, Leadership.Lease lease);

  /** Reads the table of key ranges and its revision. */
  CompletableFuture<TableResult> readTable();

  /** How a call ended. */
  enum CallResult {
    /** It was done. */
    DONE,
    /** It was refused, since its condition no longer holds. */
    REFUSED,
    /** Whether it was done is not known. */
    UNKNOWN
  }

  /**
   * How a claim ended.
   *
   * @param result whether this host coordinates
   * @param lease the lease; null unless it does
   */
  record ClaimResult(CallResult result, Leadership.@Nullable Lease lease) {}

  /**
   * How a write ended.
   *
   * @param result whether the new content is in the store
   * @param revision its revision there; 0 unless it is
   */
  record WriteResult(CallResult result, long revision) {}

  /**
   * What a read found.
   *
   * @param known whether there was an answer
   * @param table the table
   * @param revision its revision; 0 when the store has none
   */
  record TableResult(boolean known, RangeTable table, long revision) {}
}
