package org.cowslipmoor.testing.platform;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.cowslipmoor.schema.platform.CompareAndSwapAnswer;
import org.cowslipmoor.schema.platform.CompareAndSwapRequest;
import org.cowslipmoor.schema.platform.Faults;
import org.cowslipmoor.schema.platform.GrantLeaseAnswer;
import org.cowslipmoor.schema.platform.GrantLeaseRequest;
import org.cowslipmoor.schema.platform.KeepAliveAnswer;
import org.cowslipmoor.schema.platform.KeepAliveRequest;
import org.cowslipmoor.schema.platform.KeyValueGrpc;
import org.cowslipmoor.schema.platform.ListHostsAnswer;
import org.cowslipmoor.schema.platform.ListHostsRequest;
import org.cowslipmoor.schema.platform.ReadAnswer;
import org.cowslipmoor.schema.platform.ReadRequest;
import org.cowslipmoor.schema.platform.WatchRequest;

/** Serves a {@link KeyValueTable} over gRPC, with rate limits and configurable faults. */
final class KeyValueService extends KeyValueGrpc.KeyValueImplBase {
  private static final double READS_PER_SECOND = 2_000;
  private static final double WRITES_PER_SECOND = 400;
  private static final long WATCH_CHECK_INTERVAL_MS = 5;

  final AtomicLong reads = new AtomicLong();
  final AtomicLong writes = new AtomicLong();
  final AtomicLong keepAlives = new AtomicLong();
  final AtomicLong watches = new AtomicLong();
  final AtomicLong rejected = new AtomicLong();
  private final KeyValueTable table = new KeyValueTable();
  private final RateLimit readLimit = new RateLimit(READS_PER_SECOND, System.nanoTime());
  private final RateLimit writeLimit = new RateLimit(WRITES_PER_SECOND, System.nanoTime());
  private final ScheduledExecutorService timer;
  private final Random random;
  private final List<PendingWatch> pendingWatches = new ArrayList<>();
  private volatile Faults faults = Faults.getDefaultInstance();

  private record PendingWatch(
      WatchRequest request, long deadline, StreamObserver<ReadAnswer> observer) {}

  KeyValueService(ScheduledExecutorService timer, long seed) {
    this.timer = timer;
    this.random = new Random(seed);
    timer.scheduleWithFixedDelay(
        this::completeWatches,
        WATCH_CHECK_INTERVAL_MS,
        WATCH_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  void setFaults(Faults value) {
    faults = value;
  }

  @Override
  public void read(ReadRequest request, StreamObserver<ReadAnswer> observer) {
    reads.incrementAndGet();
    serve(observer, readLimit, false, () -> readCurrent(request.getKey()));
  }

  @Override
  public void compareAndSwap(
      CompareAndSwapRequest request, StreamObserver<CompareAndSwapAnswer> observer) {
    writes.incrementAndGet();
    serve(
        observer,
        writeLimit,
        true,
        () -> {
          KeyValueTable.Outcome o =
              table.compareAndSwap(
                  request.getKey(),
                  request.getExpectedRevision(),
                  request.getValue().toByteArray(),
                  request.getLease(),
                  System.nanoTime());
          return CompareAndSwapAnswer.newBuilder()
              .setWritten(o.written())
              .setRevision(o.revision())
              .build();
        });
  }

  @Override
  public void grantLease(GrantLeaseRequest request, StreamObserver<GrantLeaseAnswer> observer) {
    writes.incrementAndGet();
    long ttlNanos = TimeUnit.MILLISECONDS.toNanos(request.getTtlMs());
    serve(
        observer,
        writeLimit,
        true,
        () ->
            GrantLeaseAnswer.newBuilder()
                .setLease(table.grantLease(ttlNanos, System.nanoTime()))
                .build());
  }

  @Override
  public void keepAlive(KeepAliveRequest request, StreamObserver<KeepAliveAnswer> observer) {
    keepAlives.incrementAndGet();
    serve(
        observer,
        writeLimit,
        true,
        () -> toKeepAliveAnswer(table.keepAlive(request.getLease(), System.nanoTime())));
  }

  @Override
  public void revokeLease(KeepAliveRequest request, StreamObserver<KeepAliveAnswer> observer) {
    writes.incrementAndGet();
    serve(
        observer,
        writeLimit,
        true,
        () -> toKeepAliveAnswer(table.revokeLease(request.getLease(), System.nanoTime())));
  }

  @Override
  public void watch(WatchRequest request, StreamObserver<ReadAnswer> observer) {
    watches.incrementAndGet();
    if (faults.getDown() || !readLimit.tryAcquire(System.nanoTime())) {
      reject(observer);
      return;
    }
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(request.getWaitMs());
    synchronized (pendingWatches) {
      pendingWatches.add(new PendingWatch(request, deadline, observer));
    }
  }

  @Override
  public void listHosts(ListHostsRequest request, StreamObserver<ListHostsAnswer> observer) {
    reads.incrementAndGet();
    serve(observer, readLimit, false, ListHostsAnswer::getDefaultInstance);
  }

  private static KeepAliveAnswer toKeepAliveAnswer(boolean alive) {
    return KeepAliveAnswer.newBuilder().setAlive(alive).build();
  }

  private ReadAnswer readCurrent(String key) {
    KeyValueTable.Value v = table.read(key, System.nanoTime());
    return ReadAnswer.newBuilder()
        .setRevision(v.revision())
        .setValue(ByteString.copyFrom(v.value()))
        .build();
  }

  private void completeWatches() {
    List<PendingWatch> completed = new ArrayList<>();
    long now = System.nanoTime();
    synchronized (pendingWatches) {
      for (PendingWatch w : pendingWatches) {
        long revision = table.read(w.request().getKey(), now).revision();
        boolean expired = now - w.deadline() >= 0;
        if (faults.getDown() || expired || revision != w.request().getKnownRevision()) {
          completed.add(w);
        }
      }
      pendingWatches.removeAll(completed);
    }
    for (PendingWatch w : completed) {
      if (faults.getDown()) {
        reject(w.observer());
      } else {
        respond(w.observer(), readCurrent(w.request().getKey()));
      }
    }
  }

  private <T> void serve(
      StreamObserver<T> observer, RateLimit limit, boolean write, Supplier<T> work) {
    Faults f = faults;
    if (f.getDown() || !limit.tryAcquire(System.nanoTime())) {
      reject(observer);
      return;
    }
    Runnable run =
        () -> {
          T result;
          try {
            result = work.get();
          } catch (IllegalArgumentException e) {
            observer.onError(
                Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asRuntimeException());
            return;
          }
          boolean lost = write && random.nextInt(1000) < f.getLostAnswersPerMille();
          if (lost) {
            observer.onError(Status.DEADLINE_EXCEEDED.asRuntimeException());
          } else {
            respond(observer, result);
          }
        };
    if (f.getDelayMs() == 0) {
      run.run();
    } else {
      timer.schedule(run, f.getDelayMs(), TimeUnit.MILLISECONDS);
    }
  }

  private void reject(StreamObserver<?> observer) {
    rejected.incrementAndGet();
    observer.onError(
        Status.UNAVAILABLE
            .withDescription("the store is down or its rate limit is exceeded")
            .asRuntimeException());
  }

  private static <T> void respond(StreamObserver<T> observer, T value) {
    observer.onNext(value);
    observer.onCompleted();
  }
}
