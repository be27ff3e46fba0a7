package org.cowslipmoor.testing.platform;

import io.grpc.stub.StreamObserver;
import org.cowslipmoor.schema.platform.Counts;
import org.cowslipmoor.schema.platform.Faults;
import org.cowslipmoor.schema.platform.KeyValueFaultsGrpc;
import org.cowslipmoor.schema.platform.ReadCountsRequest;

/** Serves calls that set the faults of a {@link KeyValueService} and read its counts of calls. */
final class KeyValueFaultService extends KeyValueFaultsGrpc.KeyValueFaultsImplBase {
  private final KeyValueService store;

  KeyValueFaultService(KeyValueService store) {
    this.store = store;
  }

  @Override
  public void setFaults(Faults request, StreamObserver<Counts> observer) {
    store.setFaults(request);
    respond(observer);
  }

  @Override
  public void readCounts(ReadCountsRequest request, StreamObserver<Counts> observer) {
    respond(observer);
  }

  private void respond(StreamObserver<Counts> observer) {
    observer.onNext(
        Counts.newBuilder()
            .setReads(store.reads.get())
            .setWrites(store.writes.get())
            .setKeepAlives(store.keepAlives.get())
            .setWatches(store.watches.get())
            .setRefused(store.rejected.get())
            .build());
    observer.onCompleted();
  }
}
