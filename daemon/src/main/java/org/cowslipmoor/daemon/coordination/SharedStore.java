package org.cowslipmoor.daemon.coordination;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.cowslipmoor.core.fleet.MemberList;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.Leadership;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.core.range.TableRestoration;
import org.cowslipmoor.schema.fleet.StoreNews;
import org.jspecify.annotations.Nullable;

/**
 * The store that all hosts share. All calls are made, and all futures completed, on one event loop;
 * the futures never fail.
 */
public interface SharedStore {

  /** Starts to watch the store; the consumer is called with each change. */
  void watch(Consumer<StoreView> onChange);

  /**
   * Records whether another host announces that it relays store updates to this one. While relayed
   * updates are recent, this host does not poll the store.
   */
  void onRelayAvailable(boolean isAvailable);

  /** Returns whether the cached state was confirmed recently enough to be relayed. */
  boolean isCurrent(long now);

  /** Returns the time at which the cached state was last known to be current. */
  long confirmedAt();

  /**
   * Returns the newest era of the store that this host knows, also one of which it has read
   * nothing; 0 if the store names none.
   */
  long era();

  /** Returns the place up to which all changes are cached, whether or not there were any. */
  StorePlace place();

  /** Returns the place after which all changes are available here, deletions included. */
  StorePlace trackedSince();

  /** Returns the changes after a place, or the whole state if that is the start. */
  StoreNews updatesSince(StorePlace place);

  /**
   * Returns the update that names the coordinator, without the changes before it. A host that
   * applies it does not count as current.
   */
  StoreNews coordinatorUpdate();

  /** Applies store updates that another host relays. */
  void onRelayedUpdates(StoreNews updates);

  /** Tries to become the coordinator, under a new lease. */
  CompletableFuture<ClaimResult> claim();

  /** Renews a lease. */
  CompletableFuture<CallResult> renew(Leadership.Lease lease);

  /** Ends a lease. */
  CompletableFuture<CallResult> end(Leadership.Lease lease);

  /**
   * Writes the range table if the lease's claim is still valid and the store has the given revision
   * of the table. Revisions of conditions and results are of the era of the lease.
   */
  CompletableFuture<WriteResult> write(RangeTable table, long revision, Leadership.Lease lease);

  /** Writes the members if the lease's claim is valid and the store has the given revision. */
  CompletableFuture<WriteResult> writeMembers(
      MemberList list, long revision, Leadership.Lease lease);

  /**
   * Writes the members in which this host no longer is suspected, if the store has them as of the
   * given place; needs no claim.
   */
  CompletableFuture<WriteResult> objectToRemoval(MemberList list, StorePlace place);

  /** Reads the range table and its revision. */
  CompletableFuture<TableResult> readTable();

  /**
   * Returns when this host learnt that the store has come back older, in nanoseconds; empty if it
   * has read no former era.
   */
  default OptionalLong restoredAt() {
    return OptionalLong.empty();
  }

  /** Reads the range table and the members, and the eras in which they were written. */
  CompletableFuture<RecordsResult> readRecords();

  /**
   * Writes the restored range table and members together, if the lease's claim is still valid and
   * the store has both at the revisions that were read.
   */
  CompletableFuture<WriteResult> writeRestored(
      TableRestoration.Records records, RecordsResult read, Leadership.Lease lease);

  /** Returns the message that asks a host for its records. */
  StoreNews recordsRequest();

  /** Returns whether a message asks for records. */
  boolean isRecordsRequest(StoreNews message);

  /** Returns the message that tells a coordinator this host's records. */
  StoreNews encodeRecords(TableRestoration.Records records);

  /**
   * Reads a message with a host's records.
   *
   * @throws IllegalArgumentException if it is malformed
   */
  TableRestoration.Records decodeRecords(StoreNews message);

  /** The outcome of a call. */
  enum CallResult {
    /** The call succeeded. */
    DONE,
    /** The store rejected the call, since its condition no longer holds. */
    REFUSED,
    /** The call may or may not have taken effect. */
    UNKNOWN
  }

  /**
   * The outcome of a claim.
   *
   * @param result whether this host is the coordinator
   * @param lease the lease; null unless it is
   */
  record ClaimResult(CallResult result, Leadership.@Nullable Lease lease) {}

  /**
   * The outcome of a write.
   *
   * @param result whether the new content is in the store
   * @param revision the revision of the new content; 0 unless it is in the store
   */
  record WriteResult(CallResult result, long revision) {}

  /**
   * The outcome of a read.
   *
   * @param known whether the store responded
   * @param table the table
   * @param revision its revision; 0 when the store has none
   */
  record TableResult(boolean known, RangeTable table, long revision) {}

  /**
   * The outcome of a read of the records that are restored.
   *
   * @param known whether the store responded
   * @param records the records
   * @param tableRevision the table's revision; 0 when there is none
   * @param tableEra the era in which the table was written
   * @param membersRevision the members' revision; 0 when there are none
   */
  record RecordsResult(
      boolean known,
      TableRestoration.Records records,
      long tableRevision,
      long tableEra,
      long membersRevision) {
    /** The outcome of a read without a response. */
    public static final RecordsResult UNKNOWN =
        new RecordsResult(false, TableRestoration.Records.NONE, 0, 0, 0);
  }
}
