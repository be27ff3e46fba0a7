package org.cowslipmoor.daemon.platform;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.grpc.GrpcClients;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.control.Approvals;
import org.cowslipmoor.core.control.StoreCall;
import org.cowslipmoor.core.control.StoreResponse;
import org.cowslipmoor.daemon.codec.ApprovalsCodec;
import org.cowslipmoor.daemon.codec.ConfigurationCodec;
import org.cowslipmoor.daemon.codec.GrpcFutures;
import org.cowslipmoor.daemon.codec.OwnershipCodec;
import org.cowslipmoor.schema.platform.CompareAndSwapRequest;
import org.cowslipmoor.schema.platform.GrantLeaseRequest;
import org.cowslipmoor.schema.platform.KeepAliveRequest;
import org.cowslipmoor.schema.platform.KeyValueGrpc;
import org.cowslipmoor.schema.platform.ReadAnswer;
import org.cowslipmoor.schema.platform.ReadRequest;
import org.cowslipmoor.schema.platform.WatchRequest;
import org.tinylog.Logger;

/** Calls the platform's key-value service over gRPC. */
public final class GrpcPlatformStore implements PlatformStore {
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
  private static final Duration WATCH_WAIT = Duration.ofSeconds(10);
  private static final Duration PING_INTERVAL = Duration.ofSeconds(1);

  private final ClientFactory factory;
  private final KeyValueGrpc.KeyValueFutureStub calls;
  private final KeyValueGrpc.KeyValueFutureStub watches;
  private final String prefix;

  private interface Decoder {
    StoreResponse decode() throws InvalidProtocolBufferException;
  }

  private GrpcPlatformStore(
      ClientFactory factory,
      KeyValueGrpc.KeyValueFutureStub calls,
      KeyValueGrpc.KeyValueFutureStub watches,
      String prefix) {
    this.factory = factory;
    this.calls = calls;
    this.watches = watches;
    this.prefix = prefix;
  }

  /**
   * Creates a client, which connects on its first call.
   *
   * @param address IP number and port of the service, as {@code ip:port}
   * @param setup name of the setup, which is part of the prefix of all keys
   */
  public static GrpcPlatformStore create(String address, String setup) {
    ClientFactory factory =
        ClientFactory.builder()
            .workerGroup(1)
            .connectTimeoutMillis(CALL_TIMEOUT.toMillis())
            .pingIntervalMillis(PING_INTERVAL.toMillis())
            .build();
    return new GrpcPlatformStore(
        factory,
        stub(factory, address, CALL_TIMEOUT),
        stub(factory, address, WATCH_WAIT.plus(CALL_TIMEOUT)),
        "cowslipmoor/" + setup + "/");
  }

  private static KeyValueGrpc.KeyValueFutureStub stub(
      ClientFactory factory, String address, Duration timeout) {
    return GrpcClients.builder("gproto+h2c://" + address + "/")
        .factory(factory)
        .responseTimeout(timeout)
        .maxResponseLength(0)
        .build(KeyValueGrpc.KeyValueFutureStub.class);
  }

  @Override
  public CompletableFuture<StoreResponse> call(StoreCall call) {
    CompletableFuture<StoreResponse> response =
        switch (call) {
          case StoreCall.AcquireLeadership c -> acquire(c);
          case StoreCall.RenewLeadership c ->
              GrpcFutures.adapt(calls.keepAlive(leaseRequest(c.leaseId())))
                  .thenApply(a -> new StoreResponse.LeadershipRenewed(a.getAlive()));
          case StoreCall.ReleaseLeadership c -> release(c.leaseId());
          case StoreCall.ReadTable c ->
              read(tableKey(c.dataCentre())).thenApply(GrpcPlatformStore::decodeTable);
          case StoreCall.WriteTable c ->
              compareAndSwap(
                  tableKey(c.table().dataCentre()),
                  c.expectedRevision(),
                  OwnershipCodec.encode(c.table()).toByteString(),
                  0);
          case StoreCall.ReadApprovals c ->
              read(approvalsKey(c.dataCentre())).thenApply(a -> decodeApprovals(c.dataCentre(), a));
          case StoreCall.WriteApprovals c ->
              compareAndSwap(
                  approvalsKey(c.approvals().dataCentre()),
                  c.expectedRevision(),
                  ApprovalsCodec.encode(c.approvals()).toByteString(),
                  0);
          case StoreCall.WriteConfiguration c ->
              compareAndSwap(
                  configurationKey(),
                  c.expectedRevision(),
                  ConfigurationCodec.encode(c.configuration()).toByteString(),
                  0);
          case StoreCall.ReadConfiguration c ->
              read(configurationKey()).thenApply(GrpcPlatformStore::decodeConfiguration);
          case StoreCall.WatchConfiguration c ->
              GrpcFutures.adapt(
                      watches.watch(
                          WatchRequest.newBuilder()
                              .setKey(configurationKey())
                              .setKnownRevision(c.knownRevision())
                              .setWaitMs(WATCH_WAIT.toMillis())
                              .build()))
                  .thenApply(GrpcPlatformStore::decodeConfiguration);
        };
    return recoverFailures(response);
  }

  @Override
  public void close() {
    // Doesn't wait for pending calls: a watch can take up to WATCH_WAIT.
    factory.closeAsync();
  }

  private CompletableFuture<StoreResponse> acquire(StoreCall.AcquireLeadership c) {
    GrantLeaseRequest grant =
        GrantLeaseRequest.newBuilder()
            .setTtlMs(TimeUnit.NANOSECONDS.toMillis(c.ttlNanos()))
            .build();
    return GrpcFutures.adapt(calls.grantLease(grant))
        .thenCompose(
            g ->
                compareAndSwap(
                        prefix + "leader/" + c.dataCentre(),
                        0,
                        ByteString.copyFromUtf8(c.holder()),
                        g.getLease())
                    .thenApply(w -> toAcquisition(w, g.getLease())));
  }

  private static StoreResponse toAcquisition(StoreResponse write, long lease) {
    boolean written = write instanceof StoreResponse.WriteDone w && w.written();
    return written
        ? new StoreResponse.LeadershipAcquired(lease)
        : new StoreResponse.LeadershipHeld();
  }

  private CompletableFuture<StoreResponse> release(long lease) {
    return GrpcFutures.adapt(calls.revokeLease(leaseRequest(lease)))
        .thenApply(a -> new StoreResponse.LeadershipRenewed(false));
  }

  private CompletableFuture<ReadAnswer> read(String key) {
    return GrpcFutures.adapt(calls.read(ReadRequest.newBuilder().setKey(key).build()));
  }

  private CompletableFuture<StoreResponse> compareAndSwap(
      String key, long expected, ByteString value, long lease) {
    CompareAndSwapRequest request =
        CompareAndSwapRequest.newBuilder()
            .setKey(key)
            .setExpectedRevision(expected)
            .setValue(value)
            .setLease(lease)
            .build();
    return GrpcFutures.adapt(calls.compareAndSwap(request))
        .thenApply(a -> new StoreResponse.WriteDone(a.getWritten(), a.getRevision()));
  }

  private static StoreResponse decodeTable(ReadAnswer a) {
    if (a.getRevision() == 0) {
      return new StoreResponse.TableRead(0, null);
    }
    return decode(
        "ownership record",
        () ->
            new StoreResponse.TableRead(
                a.getRevision(),
                OwnershipCodec.decode(
                    org.cowslipmoor.schema.member.OwnershipTable.parseFrom(a.getValue()))));
  }

  private static StoreResponse decodeConfiguration(ReadAnswer a) {
    if (a.getRevision() == 0) {
      return new StoreResponse.ConfigurationRead(0, null);
    }
    return decode(
        "configuration",
        () ->
            new StoreResponse.ConfigurationRead(
                a.getRevision(),
                ConfigurationCodec.decode(
                    org.cowslipmoor.schema.configuration.Configuration.parseFrom(a.getValue()))));
  }

  private static StoreResponse decodeApprovals(String dataCentre, ReadAnswer a) {
    if (a.getRevision() == 0) {
      return new StoreResponse.ApprovalsRead(0, Approvals.empty(dataCentre));
    }
    return decode(
        "record of approvals",
        () ->
            new StoreResponse.ApprovalsRead(
                a.getRevision(),
                ApprovalsCodec.decode(
                    org.cowslipmoor.schema.member.Approvals.parseFrom(a.getValue()))));
  }

  /** Returns the decoded record, or {@link StoreResponse.NoResponse} if it is malformed. */
  private static StoreResponse decode(String record, Decoder decoder) {
    try {
      return decoder.decode();
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      Logger.error(e, "the {} in the store can't be decoded", record);
      return new StoreResponse.NoResponse();
    }
  }

  private static CompletableFuture<StoreResponse> recoverFailures(
      CompletableFuture<StoreResponse> response) {
    return response.exceptionally(
        e -> {
          Logger.debug("a call to the store failed: {}", e.toString());
          return new StoreResponse.NoResponse();
        });
  }

  private static KeepAliveRequest leaseRequest(long id) {
    return KeepAliveRequest.newBuilder().setLease(id).build();
  }

  private String tableKey(String dataCentre) {
    return prefix + "ownership/" + dataCentre;
  }

  private String approvalsKey(String dataCentre) {
    return prefix + "approvals/" + dataCentre;
  }

  private String configurationKey() {
    return prefix + "configuration";
  }
}
