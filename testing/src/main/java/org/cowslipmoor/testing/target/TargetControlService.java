package org.cowslipmoor.testing.target;

import com.google.common.collect.ImmutableMap;
import io.grpc.stub.StreamObserver;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.control.Renewal;
import org.cowslipmoor.core.control.RenewalResponse;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.ShardId;
import org.cowslipmoor.schema.target.Grant;
import org.cowslipmoor.schema.target.ReadReportRequest;
import org.cowslipmoor.schema.target.RenewAnswer;
import org.cowslipmoor.schema.target.RenewRequest;
import org.cowslipmoor.schema.target.TargetControlGrpc;
import org.cowslipmoor.schema.target.TargetFaults;
import org.cowslipmoor.schema.target.TargetReportAnswer;

/** Serves the control calls of a target stand-in over gRPC. */
final class TargetControlService extends TargetControlGrpc.TargetControlImplBase {
  private final TargetRequestExecutor executor;
  private final ScheduledExecutorService timer;

  TargetControlService(TargetRequestExecutor executor, ScheduledExecutorService timer) {
    this.executor = executor;
    this.timer = timer;
  }

  @Override
  public void renew(RenewRequest request, StreamObserver<RenewAnswer> observer) {
    timer.schedule(
        () -> respond(observer, renewNow(request)),
        executor.frozenFor(System.nanoTime()),
        TimeUnit.NANOSECONDS);
  }

  @Override
  public void readReport(ReadReportRequest request, StreamObserver<TargetReportAnswer> observer) {
    respond(observer, executor.report());
  }

  @Override
  public void setFaults(TargetFaults request, StreamObserver<TargetReportAnswer> observer) {
    executor.setFaults(request, System.nanoTime());
    respond(observer, executor.report());
  }

  private RenewAnswer renewNow(RenewRequest r) {
    Renewal renewal =
        new Renewal(
            r.getVersion(),
            r.getEpoch(),
            r.getToken(),
            TimeUnit.MILLISECONDS.toNanos(r.getDurationMs()),
            decode(r.getGrantsList()),
            decode(r.getReleasesList()));
    RenewalResponse.Received a = executor.renew(renewal, System.nanoTime());
    return RenewAnswer.newBuilder()
        .setAccepted(a.accepted())
        .setToken(a.token())
        .addAllReleased(encode(a.released()))
        .setInFlight(executor.inFlight())
        .setQueued(executor.queued())
        .build();
  }

  private static ImmutableMap<ShardId, Fence> decode(List<Grant> grants) {
    return grants.stream()
        .collect(
            ImmutableMap.toImmutableMap(
                g -> new ShardId(g.getService(), g.getShard()),
                g -> new Fence(g.getFenceEpoch(), g.getFenceSequence())));
  }

  private static List<Grant> encode(Map<ShardId, Fence> grants) {
    return grants.entrySet().stream()
        .map(
            g ->
                Grant.newBuilder()
                    .setService(g.getKey().service())
                    .setShard(g.getKey().index())
                    .setFenceEpoch(g.getValue().epoch())
                    .setFenceSequence(g.getValue().sequence())
                    .build())
        .toList();
  }

  private static <T> void respond(StreamObserver<T> observer, T value) {
    observer.onNext(value);
    observer.onCompleted();
  }
}
