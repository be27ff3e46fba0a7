package org.cowslipmoor.daemon.target;

import com.google.common.collect.ImmutableMap;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.grpc.GrpcClients;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.configuration.Target;
import org.cowslipmoor.core.control.Renewal;
import org.cowslipmoor.core.control.RenewalResponse;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.ShardId;
import org.cowslipmoor.daemon.codec.GrpcFutures;
import org.cowslipmoor.schema.target.Grant;
import org.cowslipmoor.schema.target.RenewAnswer;
import org.cowslipmoor.schema.target.RenewRequest;
import org.cowslipmoor.schema.target.TargetControlGrpc;
import org.tinylog.Logger;

/** Renews the grants of targets over gRPC. */
public final class TargetControlClient {
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

  private final ClientCache<TargetControlGrpc.TargetControlFutureStub> stubs;

  /** Creates a client that uses the connections of {@code factory}. */
  public TargetControlClient(ClientFactory factory) {
    stubs =
        new ClientCache<>(
            address ->
                GrpcClients.builder("gproto+h2c://" + address + "/")
                    .factory(factory)
                    .responseTimeout(CALL_TIMEOUT)
                    .build(TargetControlGrpc.TargetControlFutureStub.class));
  }

  /**
   * Renews a target's grants. The future never fails: a call without a response completes with
   * {@link RenewalResponse.Unreachable}.
   */
  public CompletableFuture<RenewalResponse> renew(Target target, Renewal renewal) {
    return GrpcFutures.adapt(stubs.get(TargetAddresses.of(target)).renew(encode(renewal)))
        .thenApply(TargetControlClient::decode)
        .exceptionally(
            e -> {
              Logger.debug("target {} did not respond to a renewal: {}", target.id(), e.toString());
              return new RenewalResponse.Unreachable();
            });
  }

  private static RenewRequest encode(Renewal r) {
    return RenewRequest.newBuilder()
        .setVersion(r.version())
        .setEpoch(r.epoch())
        .setToken(r.token())
        .setDurationMs(TimeUnit.NANOSECONDS.toMillis(r.durationNanos()))
        .addAllGrants(encodeGrants(r.grants()))
        .addAllReleases(encodeGrants(r.releases()))
        .build();
  }

  private static List<Grant> encodeGrants(Map<ShardId, Fence> grants) {
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

  private static RenewalResponse decode(RenewAnswer a) {
    ImmutableMap<ShardId, Fence> released =
        a.getReleasedList().stream()
            .collect(
                ImmutableMap.toImmutableMap(
                    g -> new ShardId(g.getService(), g.getShard()),
                    g -> new Fence(g.getFenceEpoch(), g.getFenceSequence())));
    return new RenewalResponse.Received(a.getAccepted(), a.getToken(), released);
  }
}
