package org.cowslipmoor.daemon.operator;

import com.google.common.net.HostAndPort;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.grpc.GrpcClients;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.ConfigurationChange;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.core.configuration.Service;
import org.cowslipmoor.core.control.StoreCall;
import org.cowslipmoor.core.control.StoreResponse;
import org.cowslipmoor.core.ownership.KeyHasher;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.cowslipmoor.core.ownership.ShardEntry;
import org.cowslipmoor.core.ownership.ShardId;
import org.cowslipmoor.core.request.ResultCode;
import org.cowslipmoor.core.request.RoutingView;
import org.cowslipmoor.daemon.ControlLoop;
import org.cowslipmoor.daemon.codec.ConfigurationCodec;
import org.cowslipmoor.daemon.codec.GrpcFutures;
import org.cowslipmoor.daemon.platform.PlatformStore;
import org.cowslipmoor.schema.operator.ApproveMemberRequest;
import org.cowslipmoor.schema.operator.ChangeAnswer;
import org.cowslipmoor.schema.operator.ChangeRequest;
import org.cowslipmoor.schema.operator.CreateSetupRequest;
import org.cowslipmoor.schema.operator.DumpStateAnswer;
import org.cowslipmoor.schema.operator.DumpStateRequest;
import org.cowslipmoor.schema.operator.GetConfigurationAnswer;
import org.cowslipmoor.schema.operator.GetConfigurationRequest;
import org.cowslipmoor.schema.operator.GetRolloutAnswer;
import org.cowslipmoor.schema.operator.GetRolloutRequest;
import org.cowslipmoor.schema.operator.HostRollout;
import org.cowslipmoor.schema.operator.LocateKeyAnswer;
import org.cowslipmoor.schema.operator.LocateKeyRequest;
import org.cowslipmoor.schema.operator.OperatorGrpc;
import org.cowslipmoor.schema.operator.PlanAnswer;
import org.jspecify.annotations.Nullable;

/** Implements the operators' gRPC service. */
public final class OperatorService extends OperatorGrpc.OperatorImplBase {
  private static final Duration PEER_CALL_TIMEOUT = Duration.ofSeconds(1);

  private final PlatformStore store;
  private final ControlLoop loop;
  private final String dataCentre;
  private final StateDump dump;
  private final ConfigurationChanger changer;
  private final ClientFactory connections;

  /** Creates a service that uses the given components of a host. */
  public OperatorService(
      PlatformStore store,
      ControlLoop loop,
      String dataCentre,
      StateDump dump,
      Executor workers,
      ClientFactory connections) {
    this.store = store;
    this.loop = loop;
    this.dataCentre = dataCentre;
    this.dump = dump;
    this.changer = new ConfigurationChanger(store, loop, workers);
    this.connections = connections;
  }

  @Override
  public void createSetup(CreateSetupRequest request, StreamObserver<ChangeAnswer> observer) {
    Configuration proposed;
    try {
      proposed = ConfigurationCodec.decode(request.getConfiguration());
    } catch (IllegalArgumentException e) {
      send(observer, invalid(e));
      return;
    }
    send(observer, changer.create(proposed, operationId("")).thenApply(OperatorService::encode));
  }

  @Override
  public void getConfiguration(
      GetConfigurationRequest request, StreamObserver<GetConfigurationAnswer> observer) {
    send(
        observer,
        store
            .call(new StoreCall.ReadConfiguration())
            .thenApply(
                response -> {
                  Configuration stored =
                      response instanceof StoreResponse.ConfigurationRead r
                          ? r.configuration()
                          : null;
                  Configuration newest = stored == null ? loop.view().configuration() : stored;
                  GetConfigurationAnswer.Builder result =
                      GetConfigurationAnswer.newBuilder().setFromStore(stored != null);
                  if (newest != null) {
                    result.setConfiguration(ConfigurationCodec.encode(newest));
                  }
                  return result.build();
                }));
  }

  @Override
  public void planChange(ChangeRequest request, StreamObserver<PlanAnswer> observer) {
    ConfigurationChange change;
    try {
      change = ChangeDecoder.decode(request);
    } catch (IllegalArgumentException e) {
      send(
          observer,
          CompletableFuture.completedFuture(
              PlanAnswer.newBuilder()
                  .setCode(ResultCode.INVALID_CHANGE.number())
                  .setMessage(String.valueOf(e.getMessage()))
                  .build()));
      return;
    }
    send(
        observer,
        changer
            .plan(change)
            .thenApply(
                p ->
                    PlanAnswer.newBuilder()
                        .setCode(p.code().number())
                        .setMessage(p.message())
                        .setBaseRevision(p.revision())
                        .addAllDifferences(p.differences())
                        .build()));
  }

  @Override
  public void applyChange(ChangeRequest request, StreamObserver<ChangeAnswer> observer) {
    ConfigurationChange change;
    try {
      change = ChangeDecoder.decode(request);
    } catch (IllegalArgumentException e) {
      send(observer, invalid(e));
      return;
    }
    send(
        observer,
        changer
            .apply(change, request.getExpectedRevision(), operationId(request.getOperationId()))
            .thenApply(OperatorService::encode));
  }

  @Override
  public void approveMember(ApproveMemberRequest request, StreamObserver<ChangeAnswer> observer) {
    boolean approved = loop.read(controller -> controller.approve(request.getId()));
    ResultCode code = approved ? ResultCode.OK : ResultCode.NOT_FOUND;
    String message =
        approved ? "approved by this host" : "host " + request.getId() + " is not joining";
    send(
        observer,
        CompletableFuture.completedFuture(
            ChangeAnswer.newBuilder().setCode(code.number()).setMessage(message).build()));
  }

  @Override
  public void locateKey(LocateKeyRequest request, StreamObserver<LocateKeyAnswer> observer) {
    RoutingView view = loop.view();
    Configuration configuration = view.configuration();
    Service service =
        configuration == null ? null : configuration.service(request.getService()).orElse(null);
    if (configuration == null || service == null || !service.keyed()) {
      send(
          observer,
          CompletableFuture.completedFuture(
              failedLocation(
                  ResultCode.NOT_FOUND, "there is no keyed service " + request.getService())));
      return;
    }
    ShardId shard;
    try {
      shard = new ShardId(service.name(), KeyHasher.shardOf(request.getKey(), service.shards()));
    } catch (IllegalArgumentException e) {
      send(
          observer,
          CompletableFuture.completedFuture(
              failedLocation(ResultCode.MALFORMED_KEY, String.valueOf(e.getMessage()))));
      return;
    }
    String home = service.homes().get(shard.index());
    List<Member> hosts = configuration.membersOf(home);
    if (home.equals(dataCentre) || hosts.isEmpty()) {
      send(observer, CompletableFuture.completedFuture(locate(view.table(), shard, home)));
    } else {
      send(observer, GrpcFutures.adapt(stub(hosts.get(0)).locateKey(request)));
    }
  }

  @Override
  public void getRollout(GetRolloutRequest request, StreamObserver<GetRolloutAnswer> observer) {
    Configuration configuration = loop.view().configuration();
    if (configuration == null) {
      send(observer, CompletableFuture.completedFuture(GetRolloutAnswer.getDefaultInstance()));
      return;
    }
    List<CompletableFuture<HostRollout>> hosts =
        configuration.members().stream().map(this::rollout).toList();
    send(
        observer,
        CompletableFuture.allOf(hosts.toArray(new CompletableFuture<?>[0]))
            .thenApply(
                unused ->
                    GetRolloutAnswer.newBuilder()
                        .setNewestRevision(configuration.revision())
                        .addAllHosts(hosts.stream().map(CompletableFuture::join).toList())
                        .build()));
  }

  @Override
  public void dumpState(DumpStateRequest request, StreamObserver<DumpStateAnswer> observer) {
    Configuration configuration = loop.view().configuration();
    send(
        observer,
        CompletableFuture.completedFuture(
            DumpStateAnswer.newBuilder()
                .setJson(dump.toJson().toPrettyString())
                .setRevision(configuration == null ? 0 : configuration.revision())
                .build()));
  }

  private CompletableFuture<HostRollout> rollout(Member m) {
    HostRollout.Builder host = HostRollout.newBuilder().setId(m.id()).setDataCentre(m.dataCentre());
    return GrpcFutures.adapt(stub(m).dumpState(DumpStateRequest.getDefaultInstance()))
        .thenApply(a -> host.setRevision(a.getRevision()).build())
        .exceptionally(e -> host.build());
  }

  private OperatorGrpc.OperatorFutureStub stub(Member m) {
    HostAndPort address = HostAndPort.fromParts(m.ip(), m.operatorPort());
    return GrpcClients.builder("gproto+h2c://" + address + "/")
        .factory(connections)
        .responseTimeout(PEER_CALL_TIMEOUT)
        .build(OperatorGrpc.OperatorFutureStub.class);
  }

  private static LocateKeyAnswer locate(
      @Nullable OwnershipTable table, ShardId shard, String home) {
    ShardEntry e = table == null ? null : table.entry(shard);
    if (e == null) {
      return failedLocation(ResultCode.OWNER_UNKNOWN, "the shard has no owner yet");
    }
    String owner = e.owner();
    return LocateKeyAnswer.newBuilder()
        .setShard(shard.index())
        .setHomeDataCentre(home)
        .setOwner(owner == null ? "" : owner)
        .setFenceEpoch(e.fence().epoch())
        .setFenceSequence(e.fence().sequence())
        .setPhase(e.phase().name())
        .build();
  }

  private static LocateKeyAnswer failedLocation(ResultCode code, String message) {
    return LocateKeyAnswer.newBuilder().setCode(code.number()).setMessage(message).build();
  }

  private static CompletableFuture<ChangeAnswer> invalid(IllegalArgumentException e) {
    return CompletableFuture.completedFuture(
        ChangeAnswer.newBuilder()
            .setCode(ResultCode.INVALID_CHANGE.number())
            .setMessage(String.valueOf(e.getMessage()))
            .build());
  }

  private static ChangeAnswer encode(ConfigurationChanger.Outcome o) {
    return ChangeAnswer.newBuilder()
        .setCode(o.code().number())
        .setMessage(o.message())
        .setRevision(o.revision())
        .build();
  }

  private static String operationId(String requested) {
    return requested.isEmpty() ? UUID.randomUUID().toString() : requested;
  }

  private static <T> void send(StreamObserver<T> observer, CompletableFuture<T> response) {
    response.whenComplete(
        (value, error) -> {
          if (error != null) {
            observer.onError(
                Status.UNAVAILABLE.withDescription(error.toString()).asRuntimeException());
          } else {
            observer.onNext(value);
            observer.onCompleted();
          }
        });
  }
}
