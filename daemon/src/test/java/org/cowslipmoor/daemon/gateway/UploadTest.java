package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.range.RangeTable;
import org.junit.jupiter.api.Test;

/** Tests large request bodies, and targets that do not respond to what they can't queue. */
final class UploadTest extends LoopbackGateway {
  /** The longest body that the configuration allows. */
  private static final int BODY_BYTES = 100_000;

  /** The memory that a host has for bodies; docs/CAPACITY.md states it. */
  private static final int BODY_MEMORY_BYTES = 24 << 20;

  private static final int ADDITIONAL_CALLERS = 20;

  /** Time within which a host under this load rejects what it can't hold. */
  private static final int RESPONSE_TIMEOUT_MILLIS = 2_000;

  /** A caller that has sent a request's head and a part of its body. */
  private static final class SlowCaller implements AutoCloseable {
    private final Socket socket;
    private final int remainingBytes;

    SlowCaller(int port, int bodyBytes, int sentBytes) throws IOException {
      socket = new Socket(InetAddress.getLoopbackAddress(), port);
      socket.setTcpNoDelay(true);
      remainingBytes = bodyBytes - sentBytes;
      String head =
          "POST /upload/a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r-1\r\n"
              + "content-length: %d\r\n\r\n".formatted(bodyBytes);
      write(head + "x".repeat(sentBytes));
    }

    void finish() throws IOException {
      write("x".repeat(remainingBytes));
    }

    /** Returns the response's head; empty if none arrives in time. */
    String readHead(int timeoutMillis) throws IOException {
      socket.setSoTimeout(timeoutMillis);
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      StringBuilder head = new StringBuilder();
      try {
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
          head.append(line).append('\n');
        }
      } catch (SocketTimeoutException e) {
        return "";
      }
      return head.toString();
    }

    private void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** A target that responds before it has read the body, keeps the connection and reads on. */
  private static final ScriptedTarget.Script EARLY =
      new ScriptedTarget.Script() {
        @Override
        public String respond(String requestId) {
          return ScriptedTarget.response("200 OK", requestId, "early");
        }

        @Override
        public boolean isEarly() {
          return true;
        }
      };

  /** A target that never responds, neither to a request nor to a later one on its connection. */
  private static final ScriptedTarget.Script SILENT = requestId -> "";

  private String metricsPage() {
    return metrics.get("/metrics").aggregate().join().contentUtf8();
  }

  private List<SlowCaller> openCallers(int count, int sentBytes) throws IOException {
    List<SlowCaller> callers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      callers.add(new SlowCaller(ports[0], BODY_BYTES, sentBytes));
    }
    return callers;
  }

  private static void closeAll(List<SlowCaller> callers) throws IOException {
    for (SlowCaller c : callers) {
      c.close();
    }
  }

  @Test
  void uploadIsForwardedWhole() throws Exception {
    ScriptedTarget t = target("t", ScriptedTarget.ok("stored"));
    WebClient client = start(view("sheets", RangeTable.empty()));

    AggregatedHttpResponse response =
        send(client, HttpMethod.POST, "/upload/a", "x".repeat(BODY_BYTES));

    assertThat(response.contentUtf8(), is("stored"));
    assertThat(t.requests.get(0).length(), greaterThan(BODY_BYTES));
    assertThat(metricsPage(), containsString("cowslipmoor_body_memory_bytes 0\n"));
  }

  /** Guards against many uploads of slow callers that exhaust a host's memory. */
  @Test
  void uploadsBeyondBodyMemoryAreRejectedAsNotRun() throws Exception {
    final ScriptedTarget t = target("t", ScriptedTarget.ok("stored"));
    start(view("sheets", RangeTable.empty()));
    int fitting = BODY_MEMORY_BYTES / BODY_BYTES;
    List<SlowCaller> callers = openCallers(fitting, 10);
    List<SlowCaller> additional = openCallers(ADDITIONAL_CALLERS, 10);

    for (SlowCaller c : additional) {
      String head = c.readHead(RESPONSE_TIMEOUT_MILLIS);
      assertThat(head, startsWith("HTTP/1.1 503"));
      assertThat(head, containsString("cowslipmoor-effect: not run"));
      assertThat(head, containsString("retry-after: "));
    }
    callers.get(0).finish();
    assertThat(callers.get(0).readHead(RESPONSE_TIMEOUT_MILLIS), startsWith("HTTP/1.1 200"));
    assertThat(t.requests, hasSize(1));

    closeAll(callers);
    closeAll(additional);
    awaitMetric("cowslipmoor_body_memory_bytes 0\n");
  }

  /** Guards against uploads that hold memory after their deadline because their target is slow. */
  @Test
  void uploadsToTargetThatDoesNotReadAreEndedAtTheirDeadline() throws Exception {
    target("t", SILENT);
    start(view("sheets", RangeTable.empty()));

    List<SlowCaller> callers = openCallers(40, BODY_BYTES);
    List<String> heads = new ArrayList<>();
    for (SlowCaller c : callers) {
      heads.add(c.readHead(5_000));
    }

    assertThat(
        heads.stream().filter(h -> !h.isEmpty()).map(h -> h.substring(0, 10)).toList(),
        everyItem(startsWith("HTTP/1.1 5")));
    awaitMetric("cowslipmoor_body_memory_bytes 0\n");
    closeAll(callers);
  }

  /** Guards against sending a request where the rest of an upload's body is due. */
  @Test
  void targetThatRespondsBeforeTheBodyGetsNoOtherBytes() throws Exception {
    final ScriptedTarget t = target("t", EARLY);
    WebClient client = start(view("sheets", RangeTable.empty()));

    try (SlowCaller first = new SlowCaller(ports[0], BODY_BYTES, 70_000)) {
      assertThat(first.readHead(RESPONSE_TIMEOUT_MILLIS), startsWith("HTTP/1.1 200"));
      assertThat(send(client, HttpMethod.POST, "/once/a", "").status().code(), is(200));
      assertThat(t.connections.get(), is(2));
      assertThat(t.requests, hasSize(1));
      assertThat(t.requests.get(0), startsWith("POST /once/a"));
    }
  }

  /** A request that may have run is not sent again, however long its target is silent. */
  @Test
  void uploadToSilentTargetIsNotRepeated() throws Exception {
    final ScriptedTarget t = target("t", SILENT);
    final ScriptedTarget u = target("u", SILENT);
    WebClient client = start(view("sheets", RangeTable.empty()));

    AggregatedHttpResponse response = send(client, HttpMethod.POST, "/upload/a", "report");

    assertThat(response.status().code(), is(504));
    assertThat(t.requests.size() + u.requests.size(), is(1));
  }

  /** Guards against requests that follow an unanswered one on a connection, and hang as well. */
  @Test
  void connectionToSilentTargetIsNotReused() throws Exception {
    final ScriptedTarget t = target("t", SILENT);
    WebClient client = start(view("sheets", RangeTable.empty()));

    send(client, HttpMethod.POST, "/upload/a", "report");
    send(client, HttpMethod.POST, "/upload/a", "report");

    assertThat(t.requests, hasSize(2));
    assertThat(t.connections.get(), is(2));
  }

  @Test
  void repeatableRequestMovesOnFromSilentTargetBeforeItsDeadline() throws Exception {
    ScriptedTarget silent = target("silent", SILENT);
    target("sound", ScriptedTarget.ok("sheet"));
    WebClient client = start(view("sheets", RangeTable.empty()));

    for (int i = 0; i < 8; i++) {
      final long startedAt = System.nanoTime();
      assertThat(send(client, HttpMethod.GET, "/safe/a", "").contentUtf8(), is("sheet"));
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
      assertThat(millis, lessThan(2_500L));
    }
    assertThat(silent.requests.size(), lessThanOrEqualTo(4));
  }

  @Test
  void requestOfUnusableRouteIsRejectedAsNotRun() throws Exception {
    final ScriptedTarget t = target("t", ScriptedTarget.ok("sheet"));
    WebClient client = start(view("sheets", RangeTable.empty()));

    AggregatedHttpResponse response = send(client, HttpMethod.GET, "/safe/later/a", "");

    assertThat(response.status().code(), is(503));
    assertThat(response.headers().get("cowslipmoor-result"), is("1018"));
    assertThat(response.headers().get("cowslipmoor-effect"), is("not run"));
    assertThat(t.requests, hasSize(0));
    assertThat(send(client, HttpMethod.GET, "/safe/a", "").contentUtf8(), is("sheet"));
  }

  private void awaitMetric(String line) {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (!metricsPage().contains(line) && System.nanoTime() - until < 0) {
      Thread.onSpinWait();
    }
    assertThat(metricsPage(), containsString(line));
  }
}
