package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.google.common.collect.ImmutableSet;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetLimits;
import org.cowslipmoor.core.range.KeyRange;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.daemon.coordination.StoreView;
import org.junit.jupiter.api.Test;

/** Guards against requests to a data centre that the operator has evacuated. */
final class EvacuationTest extends LoopbackGateway {
  private static final long LIMIT_MILLIS = 1_500;
  private static final long LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS);

  /** Time for which a request may wait until its key has an owner. */
  private static final long OWNER_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Time within which all targets of a data centre return. */
  private static final long RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

  private ChangingStore store;

  /** A store whose view changes, and whose responses confirm it continually. */
  private static final class ChangingStore extends FixedStore {
    private volatile StoreView view;
    private volatile Consumer<StoreView> consumer = unused -> {};

    /** Age of the state that the store last confirmed. */
    private volatile long ageNanos;

    ChangingStore(StoreView view) {
      super(view, CompletableFuture.completedFuture(null), false);
      this.view = view;
    }

    @Override
    public void watch(Consumer<StoreView> onChange) {
      consumer = onChange;
      onChange.accept(view);
    }

    @Override
    public long confirmedAt() {
      return System.nanoTime() - ageNanos;
    }
  }

  private void evacuate(String... dataCentres) {
    StoreView next = store.view.withEvacuated(ImmutableSet.copyOf(dataCentres));
    store.view = next;
    CompletableFuture.runAsync(() -> store.consumer.accept(next), group.next()).join();
  }

  /** Starts a host with a target in cairo, which it prefers, and one in delta. */
  private WebClient startHost(long limitMillis, String service) throws Exception {
    target("t", ScriptedTarget.ok("cairo"));
    target("u", ScriptedTarget.ok("delta"));
    return startHost(limitMillis, service, RangeTable.empty());
  }

  private WebClient startHost(long limitMillis, String service, RangeTable table) throws Exception {
    targetLimits = new TargetLimits(0, 0, limitMillis);
    store = new ChangingStore(inTwoDataCentres(view(service, table)));
    WebClient client = start(store);
    awaitConfirmation();
    return client;
  }

  private static StoreView inTwoDataCentres(StoreView v) {
    List<DiscoveredTarget> entries = new ArrayList<>();
    for (DiscoveredTarget t : v.directory().all().values()) {
      String dataCentre = t.id().equals("t") ? "cairo" : "delta";
      entries.add(
          new DiscoveredTarget(
              t.incarnation(), t.service(), t.address(), dataCentre, t.slots(), false, 0));
    }
    return v.withDirectory(TargetDirectory.of(entries));
  }

  /** Waits until a periodic task has passed on the time of the store's confirmation. */
  private void awaitConfirmation() throws InterruptedException {
    Thread.sleep(200);
  }

  private static AggregatedHttpResponse get(WebClient client, String path) {
    return send(client, HttpMethod.GET, path, "", "key", "7");
  }

  private static void assertRejectedAtOnce(WebClient client, String path) {
    final long sentAt = System.nanoTime();
    AggregatedHttpResponse response = get(client, path);
    assertThat(response.status().code(), is(503));
    assertThat(response.headers().get("cowslipmoor-effect"), is("not run"));
    assertThat(response.headers().get("retry-after"), is("0.300"));
    assertThat(System.nanoTime() - sentAt, lessThan(OWNER_WAIT_NANOS));
  }

  private void assertMetric(String line) {
    assertThat(metrics.get("/metrics").aggregate().join().contentUtf8(), containsString(line));
  }

  @Test
  void otherDataCentreServesAtOnceAndIdleConnectionsAreClosed() throws Exception {
    WebClient client = startHost(LIMIT_MILLIS, "sheets");
    assertThat(get(client, "/safe/a").contentUtf8(), is("cairo"));

    evacuate("cairo", "nowhere");

    for (int i = 0; i < 100; i++) {
      assertThat(get(client, "/safe/a").contentUtf8(), is("delta"));
    }
    assertThat(targets.get(0).disconnected.poll(3, TimeUnit.SECONDS), is("r-1"));
    assertMetric("cowslipmoor_evacuations 2\n");
  }

  @Test
  void evacuationHasNoEffectWithoutLimit() throws Exception {
    WebClient client = startHost(0, "sheets");
    evacuate("cairo");
    assertThat(get(client, "/safe/a").contentUtf8(), is("cairo"));
    assertMetric("cowslipmoor_evacuations 0\n");
  }

  @Test
  void serviceWithoutOtherTargetsIsServedUntilTheDeadline() throws Exception {
    final WebClient client = startHost(LIMIT_MILLIS, "sheets");
    evacuate("cairo", "delta");
    final long learntBy = System.nanoTime();
    assertThat(get(client, "/safe/a").status().code(), is(200));

    while (System.nanoTime() - learntBy < LIMIT_NANOS) {
      get(client, "/safe/a");
    }
    final int received = targets.get(0).requests.size() + targets.get(1).requests.size();
    assertRejectedAtOnce(client, "/safe/a");
    assertThat(targets.get(0).requests.size() + targets.get(1).requests.size(), is(received));
    assertMetric("cowslipmoor_evacuation_refusals_total ");
  }

  /** Guards against a deadline that begins when old news arrive. */
  @Test
  void oldNewsLeaveNoTime() throws Exception {
    final WebClient client = startHost(LIMIT_MILLIS, "sheets");
    store.ageNanos = LIMIT_NANOS;
    awaitConfirmation();
    evacuate("cairo", "delta");
    assertRejectedAtOnce(client, "/safe/a");
  }

  @Test
  void hostThatStartsSendsNothingToEvacuatedDataCentre() throws Exception {
    target("t", ScriptedTarget.ok("cairo"));
    targetLimits = new TargetLimits(0, 0, LIMIT_MILLIS);
    store =
        new ChangingStore(
            inTwoDataCentres(view("sheets", RangeTable.empty()))
                .withEvacuated(ImmutableSet.of("cairo")));
    WebClient client = start(store);
    assertRejectedAtOnce(client, "/safe/a");
    assertThat(targets.get(0).requests.size(), is(0));
  }

  @Test
  void ownerOfKeysServesUntilTheDeadline() throws Exception {
    ScriptedTarget t = target("t", ScriptedTarget.ok("cairo"));
    target("u", ScriptedTarget.ok("delta"));
    RangeTable table = RangeTable.of(1, 1, List.of(entry(t, 0, KeyRange.LAST_KEY, 1)));
    final WebClient client = startHost(LIMIT_MILLIS, "stock", table);
    evacuate("cairo");
    final long learntBy = System.nanoTime();
    assertThat(get(client, "/keyed/a").contentUtf8(), is("cairo"));
    assertMetric("cowslipmoor_evacuated_keys " + (KeyRange.LAST_KEY + 1) + "\n");

    while (System.nanoTime() - learntBy < LIMIT_NANOS) {
      get(client, "/keyed/a");
    }
    final int received = t.requests.size();
    assertRejectedAtOnce(client, "/keyed/a");
    assertThat(t.requests.size(), is(received));
    assertMetric("cowslipmoor_evacuation_refusals_total ");
  }

  @Test
  void requestInProgressIsNotCut() throws Exception {
    CompletableFuture<String> slow = new CompletableFuture<>();
    ScriptedTarget t = target("t", id -> slow.join());
    target("u", ScriptedTarget.ok("delta"));
    WebClient client = startHost(LIMIT_MILLIS, "sheets", RangeTable.empty());
    final CompletableFuture<AggregatedHttpResponse> response =
        CompletableFuture.supplyAsync(() -> send(client, HttpMethod.POST, "/once/a", "body"));
    assertThat(t.received.poll(3, TimeUnit.SECONDS), is("r-1"));

    evacuate("cairo");
    Thread.sleep(LIMIT_MILLIS);
    slow.complete(ScriptedTarget.response("200 OK", "r-1", "whole"));

    assertThat(response.join().contentUtf8(), is("whole"));
  }

  @Test
  void targetIsUsedAgainAfterTheEvacuation() throws Exception {
    WebClient client = startHost(LIMIT_MILLIS, "sheets");
    evacuate("cairo");
    assertThat(get(client, "/safe/a").contentUtf8(), is("delta"));
    evacuate();

    awaitCairo(client);
  }

  /** Guards against a changed settings file that takes no effect on evacuations. */
  @Test
  void limitTakesEffectWhenItChanges() throws Exception {
    final WebClient client = startHost(0, "sheets");
    evacuate("cairo");
    assertThat(get(client, "/safe/a").contentUtf8(), is("cairo"));

    targetLimits = new TargetLimits(0, 0, LIMIT_MILLIS);
    CompletableFuture.runAsync(() -> host.onSettings(settings()), group.next()).join();
    assertThat(get(client, "/safe/a").contentUtf8(), is("delta"));

    targetLimits = TargetLimits.NONE;
    CompletableFuture.runAsync(() -> host.onSettings(settings()), group.next()).join();
    awaitCairo(client);
  }

  private void awaitCairo(WebClient client) throws IOException, InterruptedException {
    int received = targets.get(0).requests.size();
    long until = System.nanoTime() + 2 * RETURN_NANOS;
    while (targets.get(0).requests.size() == received && System.nanoTime() - until < 0) {
      get(client, "/safe/a");
      Thread.sleep(20);
    }
    assertThat(targets.get(0).requests.size(), greaterThan(received));
  }
}
