package org.cowslipmoor.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.client.grpc.GrpcClients;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cowslipmoor.schema.configuration.Configuration;
import org.cowslipmoor.schema.configuration.Member;
import org.cowslipmoor.schema.configuration.Service;
import org.cowslipmoor.schema.configuration.Target;
import org.cowslipmoor.schema.operator.ChangeAnswer;
import org.cowslipmoor.schema.operator.CreateSetupRequest;
import org.cowslipmoor.schema.operator.OperatorGrpc;
import org.cowslipmoor.testing.platform.PlatformStandIn;
import org.cowslipmoor.testing.target.TargetSettings;
import org.cowslipmoor.testing.target.TargetStandIn;

/**
 * Two hosts, two targets and the platform's stand-in, in one process over the loopback interface.
 */
final class LoopbackSetup implements AutoCloseable {
  static final String IP = "127.0.0.1";

  private final List<AutoCloseable> components = new ArrayList<>();
  private final List<Integer> ports = new ArrayList<>();
  private final Member member;
  private final OperatorGrpc.OperatorBlockingStub operator;
  private final WebClient caller;

  private LoopbackSetup() throws Exception {
    PlatformStandIn platform = PlatformStandIn.start(IP, 0, 1);
    components.add(platform);
    Configuration.Builder setup = Configuration.newBuilder().setSetup("main");
    Service.Builder stock =
        Service.newBuilder()
            .setName("stock")
            .setKeyed(true)
            .setShards(8)
            .setRepeatable(true)
            .setDefaultDeadlineMs(20_000)
            .setMaxDeadlineMs(30_000)
            .setChecksGrants(true);
    for (String dataCentre : List.of("cairo", "alexandria")) {
      stock.addTargets(target(dataCentre));
      setup.addMembers(startMember(dataCentre, platform.port()));
    }
    setup.addServices(stock);
    member = setup.getMembers(0);
    operator =
        GrpcClients.builder("gproto+h2c://" + IP + ":" + member.getOperatorPort())
            .build(OperatorGrpc.OperatorBlockingStub.class);
    caller =
        WebClient.builder("h2c://" + IP + ":" + member.getCallerPort())
            .responseTimeoutMillis(40_000)
            .build();
    ChangeAnswer created =
        operator.createSetup(CreateSetupRequest.newBuilder().setConfiguration(setup).build());
    assertThat(created.getMessage(), created.getCode(), is(0));
  }

  /** Starts the setup; its service "stock" is keyed, checks grants and is repeatable. */
  static LoopbackSetup start() throws Exception {
    return new LoopbackSetup();
  }

  /** Returns the host to which {@link #get} and {@link #operator} connect. */
  Member member() {
    return member;
  }

  OperatorGrpc.OperatorBlockingStub operator() {
    return operator;
  }

  WebClient caller() {
    return caller;
  }

  /** Sends a request without a body and waits for its complete response. */
  AggregatedHttpResponse get(String service, String key, Map<String, String> more) {
    RequestHeadersBuilder headers =
        RequestHeaders.builder(HttpMethod.GET, "/v1/services/" + service + "/item");
    if (!key.isEmpty()) {
      headers.add("cowslipmoor-key", key);
    }
    more.forEach(headers::add);
    return caller.execute(headers.build()).aggregate().join();
  }

  @Override
  public void close() throws Exception {
    for (int i = components.size() - 1; i >= 0; i--) {
      components.get(i).close();
    }
  }

  private Target target(String dataCentre) {
    String id = "stock-" + dataCentre;
    TargetStandIn standIn =
        TargetStandIn.start(new TargetSettings(id, IP, 0, 4, 64, 230, true, 500, 1));
    components.add(standIn);
    return Target.newBuilder()
        .setId(id)
        .setDataCentre(dataCentre)
        .setIp(IP)
        .setPort(standIn.port())
        .setSlots(4)
        .setConnections(230)
        .build();
  }

  private Member startMember(String dataCentre, int platformPort) throws Exception {
    Member m =
        Member.newBuilder()
            .setId("host-" + dataCentre)
            .setDataCentre(dataCentre)
            .setIp(IP)
            .setCallerPort(freePort())
            .setOperatorPort(freePort())
            .setMemberPort(freePort())
            .build();
    DaemonSettings settings =
        DaemonSettings.resolve(
            Map.of(
                DaemonSetting.ID, m.getId(),
                DaemonSetting.DATA_CENTRE, dataCentre,
                DaemonSetting.CALLER_PORT, "" + m.getCallerPort(),
                DaemonSetting.OPERATOR_PORT, "" + m.getOperatorPort(),
                DaemonSetting.MEMBER_PORT, "" + m.getMemberPort(),
                DaemonSetting.BALANCER_LAG_MS, "0",
                DaemonSetting.PLATFORM, IP + ":" + platformPort),
            Map.of());
    components.add(Daemon.start(settings));
    return m;
  }

  private int freePort() throws Exception {
    while (true) {
      try (ServerSocket socket = new ServerSocket(0)) {
        if (!ports.contains(socket.getLocalPort())) {
          ports.add(socket.getLocalPort());
          return socket.getLocalPort();
        }
      }
    }
  }
}
