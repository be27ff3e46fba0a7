package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.collect.ImmutableSet;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetLimits;
import org.cowslipmoor.core.fleet.MemberList;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.core.routing.RequestKind;
import org.cowslipmoor.core.routing.RoutingConfiguration;
import org.cowslipmoor.core.routing.ServiceDescription;
import org.cowslipmoor.daemon.coordination.StoreView;
import org.cowslipmoor.daemon.settings.GatewaySettings;
import org.junit.jupiter.api.Test;

/** Guards against more requests to cold targets than they bear. */
final class ColdTargetTest extends LoopbackGateway {
  /** Largest number of requests to a cold target in a second: 4.2 x 1.5 + 8. */
  private static final int MAX_PER_SECOND = 14;

  /** Time for which a coordinator hands out nothing after the beginning of its term. */
  private static final long PAUSE_MILLIS = 2_000;

  /** Time for which a request may wait for an allowance. */
  private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private TargetLimits limits = new TargetLimits(1.5, 8, 0);

  @Override
  GatewaySettings settings() {
    GatewaySettings s = super.settings();
    return new GatewaySettings(
        s.host(),
        s.dataCentre(),
        s.callerAddress(),
        s.readyAddress(),
        s.peerAddress(),
        s.readyPath(),
        s.metricsAddress(),
        s.storeAddress(),
        s.leaseMillis(),
        s.maxHoldMillis(),
        s.configurationLimitMillis(),
        s.drainMillis(),
        s.graceMillis(),
        s.retryRatio(),
        s.retrySlack(),
        s.retryWindowMillis(),
        s.linkBytesPerSecond(),
        s.cores(),
        limits);
  }

  /** Returns a view in which all targets but those of the given id are cold for a minute. */
  private StoreView coldView(String service, RangeTable table, String warmId) {
    RoutingConfiguration c = configuration();
    List<DiscoveredTarget> discovered =
        targets.stream()
            .map(t -> t.discovered(service))
            .map(
                t ->
                    new DiscoveredTarget(
                        t.incarnation(),
                        t.service(),
                        t.address(),
                        t.dataCentre(),
                        t.slots(),
                        false,
                        t.id().equals(warmId) ? 0 : 60_000))
            .toList();
    return new StoreView(
        RoutingConfiguration.of(
            c.version(),
            c.limits(),
            List.of(
                new ServiceDescription("sheets", 100, false, "/health", 6_000, 4.2),
                new ServiceDescription("stock", 100, true, "/health", 6_000, 4.2)),
            List.of(
                rule("/safe/", RequestKind.SAFE, "sheets"),
                rule("/once/", RequestKind.UNSAFE, "sheets"),
                rule("/keyed/", RequestKind.SAFE, "stock"))),
        TargetDirectory.of(discovered),
        table,
        1,
        MemberList.of(members),
        new StorePlace(0, 1),
        null,
        true,
        new StorePlace(0, 1),
        ImmutableSet.of());
  }

  private static void assertNotRun(AggregatedHttpResponse response) {
    assertThat(response.status().code(), is(503));
    assertThat(response.headers().get("cowslipmoor-effect"), is("not run"));
    assertThat(response.headers().get("retry-after"), is("0.300"));
  }

  @Test
  void hostWithoutCoordinatorSendsNothingToColdTargets() throws Exception {
    ScriptedTarget cold = target("t", ScriptedTarget.ok("cold"));
    target("u", ScriptedTarget.ok("warm"));
    WebClient client = start(coldView("sheets", RangeTable.empty(), "u"));

    for (int i = 0; i < 100; i++) {
      assertThat(send(client, HttpMethod.GET, "/safe/a", "").contentUtf8(), is("warm"));
    }
    assertThat(cold.requests, empty());
  }

  @Test
  void requestIsRejectedAtOnceIfAllTargetsAreColdWithoutCoordinator() throws Exception {
    ScriptedTarget cold = target("t", ScriptedTarget.ok("cold"));
    WebClient client = start(coldView("sheets", RangeTable.empty(), ""));

    long sentAt = System.nanoTime();
    assertNotRun(send(client, HttpMethod.POST, "/once/a", "body"));

    assertThat(System.nanoTime() - sentAt, lessThan(MAX_WAIT_NANOS));
    assertThat(cold.requests, empty());
    assertThat(
        metrics.get("/metrics").aggregate().join().contentUtf8(),
        allOf(
            containsString("cowslipmoor_allowance_rejections_total 1"),
            containsString("cowslipmoor_cold_targets 1")));
  }

  @Test
  void coldTargetGetsNoMoreThanTheBound() throws Exception {
    grantsLeases = true;
    target("t", ScriptedTarget.ok("cold"));
    WebClient client = start(coldView("sheets", RangeTable.empty(), ""));
    Thread.sleep(PAUSE_MILLIS + 500);

    List<Long> servedAt = new ArrayList<>();
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2_500);
    while (System.nanoTime() < end) {
      if (send(client, HttpMethod.GET, "/safe/a", "").status().code() == 200) {
        servedAt.add(System.nanoTime());
      }
      Thread.sleep(5);
    }

    assertThat(servedAt.size(), greaterThan(8));
    for (int i = 0; i < servedAt.size(); i++) {
      long from = servedAt.get(i);
      long inSecond =
          servedAt.stream()
              .filter(at -> at >= from && at - from < TimeUnit.SECONDS.toNanos(1))
              .count();
      assertThat((int) inSecond, lessThanOrEqualTo(MAX_PER_SECOND));
    }
  }

  /**
   * Creates a target that loses the connection of the second request.
   *
   * @param coldMillis what it states in its health checks
   */
  private void targetThatLosesConnection(long coldMillis) throws IOException {
    AtomicInteger requests = new AtomicInteger();
    target(
        "t",
        id -> {
          if (!id.equals("r-1")) {
            return ScriptedTarget.response("200 OK", id, "")
                .replace("stamp: s", "cold: " + coldMillis);
          }
          return requests.incrementAndGet() == 2 ? null : ScriptedTarget.response("200 OK", id, "");
        });
  }

  private void loseConnection(WebClient client) {
    assertThat(send(client, HttpMethod.GET, "/safe/a", "").status().code(), is(200));
    assertThat(send(client, HttpMethod.GET, "/safe/a", "").status().code(), is(502));
  }

  /** Returns how many requests are served within a time that ends before the suspicion does. */
  private int servedWhileSuspected(WebClient client) throws InterruptedException {
    int served = 0;
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1_500);
    while (System.nanoTime() < end) {
      served += send(client, HttpMethod.GET, "/safe/a", "").status().code() == 200 ? 1 : 0;
      Thread.sleep(5);
    }
    return served;
  }

  /** Guards against requests to a target that has restarted before its entry tells so. */
  @Test
  void targetThatLosesConnectionGetsNothingWithoutCoordinator() throws Exception {
    targetThatLosesConnection(0);
    WebClient client = start(coldView("sheets", RangeTable.empty(), "t"));
    loseConnection(client);

    assertThat(servedWhileSuspected(client), is(0));
  }

  /** Guards against the bound on a target that has only lost a connection. */
  @Test
  void targetThatIsWarmByItsHealthCheckIsUsedBeyondTheBound() throws Exception {
    grantsLeases = true;
    targetThatLosesConnection(0);
    WebClient client = start(coldView("sheets", RangeTable.empty(), "t"));
    Thread.sleep(PAUSE_MILLIS + 500);
    loseConnection(client);

    assertThat(servedWhileSuspected(client), greaterThan(MAX_PER_SECOND));
  }

  @Test
  void targetThatIsColdByItsHealthCheckIsBound() throws Exception {
    grantsLeases = true;
    targetThatLosesConnection(9_000);
    WebClient client = start(coldView("sheets", RangeTable.empty(), "t"));
    Thread.sleep(PAUSE_MILLIS + 500);
    loseConnection(client);

    assertThat(
        servedWhileSuspected(client), allOf(greaterThan(0), lessThanOrEqualTo(MAX_PER_SECOND)));
  }

  /** Guards against an effect in deployments that don't limit cold targets. */
  @Test
  void coldTargetIsUsedAsOthersWithoutLimit() throws Exception {
    limits = TargetLimits.NONE;
    ScriptedTarget cold = target("t", ScriptedTarget.ok("cold"));
    WebClient client = start(coldView("sheets", RangeTable.empty(), ""));

    for (int i = 0; i < 20; i++) {
      assertThat(send(client, HttpMethod.GET, "/safe/a", "").status().code(), is(200));
    }
    assertThat(cold.requests.size(), is(20));
  }

  @Test
  void requestForKeyOfColdOwnerWaitsAndIsRejectedWithoutCoordinator() throws Exception {
    ScriptedTarget cold = target("t", ScriptedTarget.ok("cold"));
    WebClient client =
        start(coldView("stock", RangeTable.of(1, 1, List.of(entry(cold, 0, 65_535, 1))), ""));

    long sentAt = System.nanoTime();
    assertNotRun(send(client, HttpMethod.GET, "/keyed/a", "", "key", "7"));

    assertThat(System.nanoTime() - sentAt, greaterThan(MAX_WAIT_NANOS / 2));
    assertThat(cold.requests, empty());
  }

  @Test
  void requestForKeyOfColdOwnerIsServedOnceAnAllowanceArrives() throws Exception {
    grantsLeases = true;
    ScriptedTarget cold = target("t", ScriptedTarget.ok("cold"));
    WebClient client =
        start(coldView("stock", RangeTable.of(1, 1, List.of(entry(cold, 0, 65_535, 1))), ""));
    Thread.sleep(PAUSE_MILLIS + 500);

    CompletableFuture<AggregatedHttpResponse> response =
        CompletableFuture.supplyAsync(
            () -> send(client, HttpMethod.GET, "/keyed/a", "", "key", "7"));

    assertThat(response.get(3, TimeUnit.SECONDS).status().code(), is(200));
  }
}
