package org.cowslipmoor.daemon.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.cowslipmoor.core.fleet.MemberList;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.Leadership;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.core.range.TableRestoration;
import org.cowslipmoor.daemon.coordination.SharedStore;
import org.cowslipmoor.daemon.coordination.StoreView;
import org.cowslipmoor.schema.fleet.StoreNews;

/** A store with a fixed view and no writes. */
class FixedStore implements SharedStore {
  private static final Leadership.Lease LEASE = new Leadership.Lease(1, new StorePlace(0, 1));

  private final StoreView view;
  private final CompletableFuture<Void> response;
  private final boolean grantsLeases;

  /**
   * Creates a store.
   *
   * @param view the view that consumers receive
   * @param response delays the delivery of the view until it completes
   * @param grantsLeases whether hosts can become coordinator
   */
  FixedStore(StoreView view, CompletableFuture<Void> response, boolean grantsLeases) {
    this.view = view;
    this.response = response;
    this.grantsLeases = grantsLeases;
  }

  @Override
  public void watch(Consumer<StoreView> onChange) {
    response.thenRun(() -> onChange.accept(view));
  }

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
    return 0;
  }

  @Override
  public StorePlace place() {
    return view.place();
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
    return StoreNews.getDefaultInstance();
  }

  @Override
  public void onRelayedUpdates(StoreNews updates) {}

  @Override
  public CompletableFuture<ClaimResult> claim() {
    return CompletableFuture.completedFuture(
        grantsLeases
            ? new ClaimResult(CallResult.DONE, LEASE)
            : new ClaimResult(CallResult.UNKNOWN, null));
  }

  @Override
  public CompletableFuture<CallResult> renew(Leadership.Lease lease) {
    return CompletableFuture.completedFuture(grantsLeases ? CallResult.DONE : CallResult.UNKNOWN);
  }

  @Override
  public CompletableFuture<CallResult> end(Leadership.Lease lease) {
    return CompletableFuture.completedFuture(CallResult.UNKNOWN);
  }

  @Override
  public CompletableFuture<WriteResult> write(
      RangeTable table, long revision, Leadership.Lease lease) {
    return CompletableFuture.completedFuture(new WriteResult(CallResult.UNKNOWN, 0));
  }

  @Override
  public CompletableFuture<WriteResult> writeMembers(
      MemberList list, long revision, Leadership.Lease lease) {
    return CompletableFuture.completedFuture(new WriteResult(CallResult.UNKNOWN, 0));
  }

  @Override
  public CompletableFuture<WriteResult> objectToRemoval(MemberList list, StorePlace place) {
    return CompletableFuture.completedFuture(new WriteResult(CallResult.UNKNOWN, 0));
  }

  @Override
  public CompletableFuture<TableResult> readTable() {
    return CompletableFuture.completedFuture(new TableResult(false, RangeTable.empty(), 0));
  }

  @Override
  public CompletableFuture<RecordsResult> readRecords() {
    return CompletableFuture.completedFuture(RecordsResult.UNKNOWN);
  }

  @Override
  public CompletableFuture<WriteResult> writeRestored(
      TableRestoration.Records records, RecordsResult read, Leadership.Lease lease) {
    return CompletableFuture.completedFuture(new WriteResult(CallResult.UNKNOWN, 0));
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
  public StoreNews encodeRecords(TableRestoration.Records records) {
    return StoreNews.newBuilder().setAsOf(1).build();
  }

  @Override
  public TableRestoration.Records decodeRecords(StoreNews message) {
    return TableRestoration.Records.NONE;
  }
}
