package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.range.KeyRange;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.daemon.coordination.StoreView;
import org.junit.jupiter.api.Test;

/** Guards against requests to a target that is leaving while its entry remains ready. */
final class StatementOfLeavingIgnoredTest extends LoopbackGateway {
  /** Time after a statement of leaving from which on the platform allows no request. */
  private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  /** Time for which a request may wait until its key has an owner. */
  private static final long OWNER_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private static String leaving(String requestId) {
    return ScriptedTarget.response("200 OK", requestId, "leaves")
        .replace("stamp: s", "stamp: s\r\nleaving: 1");
  }

  private static String rejectionWhileLeaving(String requestId) {
    return "HTTP/1.1 503 Full\r\ncontent-length: 0\r\nnot-run: 1\r\nleaving: 1\r\n"
        + "request-id: %s\r\n\r\n".formatted(requestId);
  }

  /** Returns a view in which only the first target is in the host's data centre, so preferred. */
  private StoreView viewWithRemote() {
    StoreView v = view("sheets", RangeTable.empty());
    return v.withDirectory(
        TargetDirectory.of(
            v.directory().usable("sheets").stream()
                .map(
                    t ->
                        new DiscoveredTarget(
                            t.incarnation(),
                            t.service(),
                            t.address(),
                            t.id().equals("t") ? "cairo" : "delta",
                            t.slots(),
                            false,
                            0))
                .toList()));
  }

  private static void assertRejectedAtOnce(AggregatedHttpResponse response, long elapsedNanos) {
    assertThat(response.status().code(), is(503));
    assertThat(response.headers().get("cowslipmoor-effect"), is("not run"));
    assertThat(response.headers().get("retry-after"), is("0.300"));
    assertThat(elapsedNanos, lessThan(OWNER_WAIT_NANOS));
  }

  private void sendUntilReached(WebClient client, ScriptedTarget t) {
    for (int i = 0; i < 200 && t.requests.isEmpty(); i++) {
      send(client, HttpMethod.GET, "/safe/a", "");
    }
    assertThat(t.requests.size(), is(1));
  }

  @Test
  void targetThatLeavesGetsNoFurtherRequest() throws Exception {
    ScriptedTarget t = target("t", StatementOfLeavingIgnoredTest::leaving);
    target("u", ScriptedTarget.ok("stays"));
    WebClient client = start(viewWithRemote());
    sendUntilReached(client, t);

    for (int i = 0; i < 100; i++) {
      assertThat(send(client, HttpMethod.GET, "/safe/a", "").contentUtf8(), is("stays"));
    }
    assertThat(t.requests.size(), is(1));
  }

  @Test
  void targetThatLeavesAndRejectsGetsNoFurtherRequest() throws Exception {
    ScriptedTarget t = target("t", StatementOfLeavingIgnoredTest::rejectionWhileLeaving);
    target("u", ScriptedTarget.ok("stays"));
    WebClient client = start(viewWithRemote());
    sendUntilReached(client, t);

    for (int i = 0; i < 100; i++) {
      send(client, HttpMethod.GET, "/safe/a", "");
    }
    assertThat(t.requests.size(), is(1));
  }

  @Test
  void keptConnectionToTargetThatLeavesIsClosed() throws Exception {
    ScriptedTarget t = target("t", StatementOfLeavingIgnoredTest::leaving);
    target("u", ScriptedTarget.ok("stays"));
    WebClient client = start(viewWithRemote());
    sendUntilReached(client, t);

    assertThat(t.disconnected.poll(3, TimeUnit.SECONDS), is("r-1"));
  }

  @Test
  void responseInProgressIsNotCut() throws Exception {
    CompletableFuture<String> slow = new CompletableFuture<>();
    ScriptedTarget t = target("t", id -> id.equals("slow") ? slow.join() : leaving(id));
    target("u", ScriptedTarget.ok("stays"));
    WebClient client = start(viewWithRemote());
    final CompletableFuture<AggregatedHttpResponse> response =
        CompletableFuture.supplyAsync(
            () -> send(client, HttpMethod.POST, "/once/a", "body", "request-id", "slow"));
    assertThat(t.received.poll(3, TimeUnit.SECONDS), is("slow"));
    for (int i = 0; i < 200 && t.requests.size() == 1; i++) {
      send(client, HttpMethod.GET, "/safe/a", "");
    }
    assertThat(t.disconnected.poll(3, TimeUnit.SECONDS), is("r-1"));

    slow.complete(ScriptedTarget.response("200 OK", "slow", "whole"));

    assertThat(response.join().contentUtf8(), is("whole"));
  }

  @Test
  void onlyTargetServesUntilItsDeadline() throws Exception {
    ScriptedTarget t = target("t", StatementOfLeavingIgnoredTest::leaving);
    WebClient client = start(view("sheets", RangeTable.empty()));

    assertServesUntilDeadline(client, t, "/safe/a");
  }

  @Test
  void ownerOfKeysServesUntilItsDeadline() throws Exception {
    ScriptedTarget t = target("t", StatementOfLeavingIgnoredTest::leaving);
    RangeTable table = RangeTable.of(1, 1, List.of(entry(t, 0, KeyRange.LAST_KEY, 1)));
    WebClient client = start(view("stock", table));

    assertServesUntilDeadline(client, t, "/keyed/a");
  }

  /** Guards against a request that is written although the target's time passed meanwhile. */
  @Test
  void requestThatIsNotWrittenInTimeIsRejectedAsNotRun() throws Exception {
    AtomicLong writeAt = new AtomicLong(System.nanoTime());
    headerCodec = new SlowHeaderCodec(writeAt);
    final ScriptedTarget t = target("t", StatementOfLeavingIgnoredTest::leaving);
    WebClient client = start(view("sheets", RangeTable.empty()));
    send(client, HttpMethod.POST, "/once/a", "body");

    writeAt.set(System.nanoTime() + DRAIN_NANOS);
    AggregatedHttpResponse late = send(client, HttpMethod.POST, "/once/a", "body");

    assertThat(late.status().code(), is(503));
    assertThat(late.headers().get("cowslipmoor-effect"), is("not run"));
    assertThat(t.requests.size(), is(1));
  }

  /** Delays requests between the choice of their targets and the writing. */
  private record SlowHeaderCodec(HeaderCodec delegate, AtomicLong writeAt) implements HeaderCodec {
    SlowHeaderCodec(AtomicLong writeAt) {
      this(new PlainHeaderCodec(), writeAt);
    }

    @Override
    public RequestHead readRequest(RequestHeaders headers) {
      return delegate.readRequest(headers);
    }

    @Override
    public void writeRequest(
        HttpHeaders headers, String requestId, long deadlineMillis, String targetId) {
      while (System.nanoTime() - writeAt.get() < 0) {
        Thread.onSpinWait();
      }
      delegate.writeRequest(headers, requestId, deadlineMillis, targetId);
    }

    @Override
    public ResponseHead readResponse(HttpResponse head) {
      return delegate.readResponse(head);
    }

    @Override
    public OptionalLong readHealth(HttpResponse head) {
      return delegate.readHealth(head);
    }
  }

  private void assertServesUntilDeadline(WebClient client, ScriptedTarget t, String path) {
    AggregatedHttpResponse first = send(client, HttpMethod.GET, path, "", "key", "7");
    final long learntBy = System.nanoTime();
    assertThat(first.contentUtf8(), is("leaves"));
    AggregatedHttpResponse second = send(client, HttpMethod.GET, path, "", "key", "7");
    assertThat(second.contentUtf8(), is("leaves"));

    while (System.nanoTime() - learntBy < DRAIN_NANOS) {
      send(client, HttpMethod.GET, path, "", "key", "7");
    }
    final int received = t.requests.size();
    final long sentAt = System.nanoTime();
    AggregatedHttpResponse late = send(client, HttpMethod.GET, path, "", "key", "7");

    assertRejectedAtOnce(late, System.nanoTime() - sentAt);
    assertThat(t.requests.size(), is(received));
  }
}
