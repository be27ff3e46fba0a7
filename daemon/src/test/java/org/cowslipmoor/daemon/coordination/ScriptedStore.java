package org.cowslipmoor.daemon.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import org.cowslipmoor.core.fleet.MemberList;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.Leadership;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.core.range.TableRestoration;
import org.cowslipmoor.schema.fleet.StoreNews;

/** A store whose reads the test completes, and whose writes get no response. */
final class ScriptedStore implements SharedStore {
  static final Leadership.Lease LEASE = new Leadership.Lease(1, new StorePlace(0, 2));

  /** Marks the update that names the coordinator. */
  static final long COORDINATOR_UPDATE = 77;

  final Queue<CompletableFuture<TableResult>> reads = new ArrayDeque<>();
  final List<Leadership.Lease> ended = new ArrayList<>();
  CompletableFuture<ClaimResult> claim =
      CompletableFuture.completedFuture(new ClaimResult(CallResult.DONE, LEASE));
  CallResult renewal = CallResult.DONE;
  RangeTable written = RangeTable.empty();
  int writes;
  long era;

  /** What the store has in a new era. */
  RecordsResult records = RecordsResult.UNKNOWN;

  /** The records that were restored. */
  final List<TableRestoration.Records> restored = new ArrayList<>();

  /** The members as hosts that objected to their removal wrote them. */
  final List<MemberList> objections = new ArrayList<>();

  /** The updates that other hosts relayed. */
  final BlockingQueue<StoreNews> relayed = new LinkedBlockingQueue<>();

  @Override
  public void watch(Consumer<StoreView> onChange) {}

  @Override
  public void onRelayAvailable(boolean isAvailable) {}

  @Override
  public boolean isCurrent(long now) {
    return true;
  }

  @Override
  public long confirmedAt() {
    return 0;
  }

  @Override
  public long era() {
    return era;
  }

  @Override
  public StorePlace place() {
    return new StorePlace(0, 1);
  }

  @Override
  public StorePlace trackedSince() {
    return StorePlace.START;
  }

  @Override
  public StoreNews updatesSince(StorePlace place) {
    return StoreNews.getDefaultInstance();
  }

  @Override
  public StoreNews coordinatorUpdate() {
    return StoreNews.newBuilder().setSince(COORDINATOR_UPDATE).build();
  }

  @Override
  public void onRelayedUpdates(StoreNews updates) {
    relayed.add(updates);
  }

  @Override
  public CompletableFuture<ClaimResult> claim() {
    return claim;
  }

  @Override
  public CompletableFuture<CallResult> renew(Leadership.Lease lease) {
    return CompletableFuture.completedFuture(renewal);
  }

  @Override
  public CompletableFuture<CallResult> end(Leadership.Lease lease) {
    ended.add(lease);
    return CompletableFuture.completedFuture(CallResult.UNKNOWN);
  }

  @Override
  public CompletableFuture<WriteResult> write(
      RangeTable table, long revision, Leadership.Lease lease) {
    writes++;
    written = table;
    return CompletableFuture.completedFuture(new WriteResult(CallResult.UNKNOWN, 0));
  }

  @Override
  public CompletableFuture<WriteResult> writeMembers(
      MemberList list, long revision, Leadership.Lease lease) {
    return CompletableFuture.completedFuture(new WriteResult(CallResult.UNKNOWN, 0));
  }

  @Override
  public CompletableFuture<WriteResult> objectToRemoval(MemberList list, StorePlace place) {
    objections.add(list);
    return CompletableFuture.completedFuture(new WriteResult(CallResult.UNKNOWN, 0));
  }

  @Override
  public CompletableFuture<TableResult> readTable() {
    CompletableFuture<TableResult> read = new CompletableFuture<>();
    reads.add(read);
    return read;
  }

  @Override
  public CompletableFuture<RecordsResult> readRecords() {
    return CompletableFuture.completedFuture(records);
  }

  @Override
  public CompletableFuture<WriteResult> writeRestored(
      TableRestoration.Records newRecords, RecordsResult read, Leadership.Lease lease) {
    restored.add(newRecords);
    return CompletableFuture.completedFuture(new WriteResult(CallResult.DONE, 12));
  }

  @Override
  public StoreNews recordsRequest() {
    return StoreNews.getDefaultInstance();
  }

  @Override
  public boolean isRecordsRequest(StoreNews message) {
    return message.getAsOf() == 0;
  }

  @Override
  public StoreNews encodeRecords(TableRestoration.Records own) {
    RangeTable table = own.table();
    return StoreNews.newBuilder()
        .setAsOf(Math.max(1, table.version()))
        .setSince(table.lastFence())
        .build();
  }

  @Override
  public TableRestoration.Records decodeRecords(StoreNews message) {
    return new TableRestoration.Records(
        RangeTable.of(message.getAsOf(), message.getSince(), List.of()), MemberList.empty());
  }
}
