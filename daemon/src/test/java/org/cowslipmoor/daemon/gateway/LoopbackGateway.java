package org.cowslipmoor.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetLimits;
import org.cowslipmoor.core.fleet.MemberList;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.GrantOutcome;
import org.cowslipmoor.core.range.KeyRange;
import org.cowslipmoor.core.range.RangeEntry;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.core.routing.CallerLimits;
import org.cowslipmoor.core.routing.Destination;
import org.cowslipmoor.core.routing.RequestKind;
import org.cowslipmoor.core.routing.RouteRule;
import org.cowslipmoor.core.routing.RoutingConfiguration;
import org.cowslipmoor.core.routing.ServiceDescription;
import org.cowslipmoor.core.routing.UnusableRoute;
import org.cowslipmoor.daemon.coordination.SharedStore;
import org.cowslipmoor.daemon.coordination.StoreView;
import org.cowslipmoor.daemon.coordination.TargetCommands;
import org.cowslipmoor.daemon.settings.GatewaySettings;
import org.junit.jupiter.api.AfterEach;

/** Base of tests that start a host with scripted targets over loopback. */
abstract class LoopbackGateway {
  final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  final List<ScriptedTarget> targets = new ArrayList<>();
  final int[] ports = new int[4];

  /**
   * Not shared, because a pooled connection to a host of another test may have the same address.
   */
  final ClientFactory clients = ClientFactory.builder().build();

  CompletableFuture<Void> storeResponse = CompletableFuture.completedFuture(null);
  boolean grantsLeases;
  GatewayHost host;
  HeaderCodec headerCodec = new PlainHeaderCodec();
  long graceMillis = 600;
  WebClient metrics;
  TargetLimits targetLimits = TargetLimits.NONE;
  ImmutableSet<String> members = ImmutableSet.of("host-1");

  @AfterEach
  void close() throws Exception {
    if (host != null) {
      host.stop();
    }
    for (ScriptedTarget t : targets) {
      t.close();
    }
    clients.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  ScriptedTarget target(String id, ScriptedTarget.Script script) throws IOException {
    ScriptedTarget t = new ScriptedTarget(id, script);
    targets.add(t);
    return t;
  }

  static RouteRule rule(String prefix, RequestKind kind, String service) {
    return new RouteRule(
        prefix,
        "shop.example",
        prefix,
        kind,
        2,
        3_000,
        1_000,
        1,
        ImmutableList.of(new Destination(service, 1)));
  }

  static RoutingConfiguration configuration() {
    return RoutingConfiguration.of(
        1,
        new CallerLimits(100_000, 8_192, 1_000, 4_000),
        List.of(
            new ServiceDescription("sheets", 100, false),
            new ServiceDescription("stock", 100, true)),
        List.of(
            rule("/safe/", RequestKind.SAFE, "sheets"),
            rule("/once/", RequestKind.UNSAFE, "sheets"),
            rule("/upload/", RequestKind.UPLOAD, "sheets"),
            new UnusableRoute("later", "shop.example", "/safe/later/", "its kind is not known"),
            rule("/keyed/", RequestKind.SAFE, "stock"),
            rule("/keyed-once/", RequestKind.UNSAFE, "stock")));
  }

  StoreView view(String service, RangeTable table) {
    List<DiscoveredTarget> discovered = targets.stream().map(t -> t.discovered(service)).toList();
    return new StoreView(
        configuration(),
        TargetDirectory.of(discovered),
        table,
        1,
        MemberList.of(members),
        new StorePlace(0, 1),
        null,
        true,
        new StorePlace(0, 1));
  }

  WebClient client(int port) {
    return WebClient.builder("h1c://127.0.0.1:" + port).factory(clients).build();
  }

  /**
   * Chooses free ports for the host, once. All sockets are held open until every port is chosen,
   * because a port that is free again could be chosen twice.
   */
  void choosePorts() throws IOException {
    if (ports[0] != 0) {
      return;
    }
    List<ServerSocket> free = new ArrayList<>();
    for (int i = 0; i < ports.length; i++) {
      free.add(new ServerSocket(0));
      ports[i] = free.get(i).getLocalPort();
    }
    for (ServerSocket socket : free) {
      socket.close();
    }
  }

  /** Returns the settings of the host, whose ports must have been chosen. */
  GatewaySettings settings() {
    return new GatewaySettings(
        "host-1",
        "cairo",
        "127.0.0.1:" + ports[0],
        "127.0.0.1:" + ports[1],
        "127.0.0.1:" + ports[2],
        "/ready",
        "127.0.0.1:" + ports[3],
        "127.0.0.1:9",
        1_500,
        10_000,
        2_000,
        2_000,
        graceMillis,
        0.2,
        100,
        10_000,
        1e8,
        1,
        targetLimits);
  }

  WebClient start(StoreView view) throws Exception {
    return start(new FixedStore(view, storeResponse, grantsLeases));
  }

  WebClient start(SharedStore store) throws Exception {
    choosePorts();
    host =
        GatewayHost.start(
            settings(),
            group,
            group.next(),
            store,
            new NoCommands(),
            headerCodec,
            new SplittableRandom(1));
    metrics = client(ports[3]);
    return client(ports[0]);
  }

  static AggregatedHttpResponse send(
      WebClient client, HttpMethod method, String path, String body, String... headers) {
    var builder =
        RequestHeaders.builder(method, path).authority("shop.example").add("request-id", "r-1");
    for (int i = 0; i < headers.length; i += 2) {
      builder.set(headers[i], headers[i + 1]);
    }
    HttpRequest request =
        body.isEmpty()
            ? HttpRequest.of(builder.build())
            : HttpRequest.of(builder.build(), HttpData.ofUtf8(body));
    return client.execute(request).aggregate().join();
  }

  static RangeEntry entry(ScriptedTarget t, int from, int to, long fence) {
    DiscoveredTarget d = t.discovered("stock");
    return new RangeEntry(
        "stock", new KeyRange(from, to), d.incarnation(), d.address(), fence, null);
  }

  /** Commands that never reach a target. */
  private static final class NoCommands implements TargetCommands {
    @Override
    public CompletableFuture<GrantOutcome> grant(
        RangeEntry entry, long holdNanos, BooleanSupplier isAllowed) {
      return CompletableFuture.completedFuture(GrantOutcome.NOT_SENT);
    }

    @Override
    public CompletableFuture<ReleaseResult> release(RangeEntry entry, BooleanSupplier isAllowed) {
      return CompletableFuture.completedFuture(new ReleaseResult(false, null));
    }
  }
}
