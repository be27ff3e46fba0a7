package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cowslipmoor.core.range.KeyRange;
import org.cowslipmoor.core.range.RangeTable;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against callers that are told "not run" of a request that ran, by a copied rejection. */
final class CopiedRejectionTest extends LoopbackGateway {
  private static final int CALLERS = 20;
  private static final int MAX_SENDS = 4;

  /** Fewer than the retries that the budget allows a host that has just started. */
  private static final int RETRIED_CALLERS = 10;

  private static final long TIMEOUT_SECONDS = 10;

  /** More than a host buffers before it sends a body. */
  private static final int UPLOAD_BYTES = 90_000;

  /**
   * Rejects the first arrival of each id; on a later arrival on a connection that has rejected the
   * id, writes the rejection again before it runs the request.
   */
  private static final class CopyingScript implements ScriptedTarget.ConnectionScript {
    private final String status;
    private final Map<String, Integer> rejectingConnections = new HashMap<>();
    private final Map<String, Integer> runs = new HashMap<>();

    CopyingScript(String status) {
      this.status = status;
    }

    @Override
    public synchronized String respond(String requestId, int connection, List<String> earlierIds) {
      String rejection = rejection(status, requestId);
      Integer rejecting = rejectingConnections.putIfAbsent(requestId, connection);
      if (rejecting == null) {
        return rejection;
      }
      int run = runs.merge(requestId, 1, Integer::sum);
      return (rejecting == connection ? rejection : "")
          + ScriptedTarget.response("200 OK", requestId, "run " + run);
    }

    synchronized int runs(String requestId) {
      return runs.getOrDefault(requestId, 0);
    }
  }

  private static String rejection(String status, String requestId) {
    return "HTTP/1.1 %s\r\ncontent-length: 0\r\nnot-run: 1\r\nrequest-id: %s\r\n\r\n"
        .formatted(status, requestId);
  }

  private static AggregatedHttpResponse sendOnce(WebClient client, String id) {
    return send(client, HttpMethod.POST, "/once/a", "body", "request-id", id);
  }

  private static boolean isPromise(AggregatedHttpResponse response) {
    return Set.of(408, 421, 429, 503).contains(response.status().code());
  }

  @ParameterizedTest
  @ValueSource(strings = {"503 Full", "429 Many", "421 Misdirected", "408 Late"})
  void repeatOnSameConnectionOfCallerEndsWithItsOwnResponse(String status) throws Exception {
    CopyingScript script = new CopyingScript(status);
    target("t", script);
    WebClient client = start(view("sheets", RangeTable.empty()));
    assertThat(isPromise(sendOnce(client, "r-1")), is(true));

    assertThat(sendOnce(client, "r-1").contentUtf8(), is("run 1"));
  }

  /** A status that would promise "not run" without the target's own sign is no promise. */
  @ParameterizedTest
  @ValueSource(strings = {"503 Full", "429 Many", "408 Late"})
  void repeatAfterRejectionWithoutSignEndsWithItsOwnResponse(String status) throws Exception {
    String rejection = "HTTP/1.1 %s\r\ncontent-length: 0\r\nrequest-id: r-1\r\n\r\n";
    ScriptedTarget t = target("t", new FixedScript(rejection.formatted(status), "", ""));
    WebClient client = start(view("sheets", RangeTable.empty()));
    assertThat(isPromise(sendOnce(client, "r-1")), is(false));

    assertThat(sendOnce(client, "r-1").contentUtf8(), is("ran"));
    assertThat(t.requests, hasSize(2));
  }

  /** Rejects the first request; writes copies of the rejection around each response. */
  private static final class FixedScript implements ScriptedTarget.ConnectionScript {
    private final String rejection;
    private final String afterRejection;
    private final String afterResponse;
    private boolean hasRejected;

    FixedScript(String rejection, String afterRejection, String afterResponse) {
      this.rejection = rejection;
      this.afterRejection = afterRejection;
      this.afterResponse = afterResponse;
    }

    @Override
    public String beforeBody(String requestId, int connection, List<String> earlierIds) {
      return earlierIds.isEmpty() ? "" : rejection;
    }

    @Override
    public synchronized String respond(String requestId, int connection, List<String> earlierIds) {
      if (!hasRejected) {
        hasRejected = true;
        return rejection + afterRejection;
      }
      String copy = earlierIds.isEmpty() ? "" : rejection;
      return copy + ScriptedTarget.response("200 OK", requestId, "ran") + copy + afterResponse;
    }
  }

  /** The copies arrive with the rejection, in pieces, and on the idle connection. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "%s",
        "%s%s%s",
        "\u0003%s",
        "\u0003HTTP/1.1 503",
        "\u0003H\u0003TTP/1.1 503 Full\r\n\r\n"
      })
  void repeatAfterCopiesOnItsConnectionEndsWithItsOwnResponse(String copies) throws Exception {
    String rejection = rejection("503 Full", "r-1");
    String formatted = copies.replace("%s", rejection);
    target("t", new FixedScript(rejection, formatted, formatted));
    WebClient client = start(view("sheets", RangeTable.empty()));
    assertThat(isPromise(sendOnce(client, "r-1")), is(true));

    for (int i = 0; i < CALLERS; i++) {
      assertThat(sendOnce(client, "r-1").contentUtf8(), is("ran"));
      assertThat(sendOnce(client, "r-2").contentUtf8(), is("ran"));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"r-1", "r-2"})
  void copyDuringUploadDoesNotEndIt(String id) throws Exception {
    ScriptedTarget t = target("t", new FixedScript(rejection("503 Full", "r-1"), "", ""));
    WebClient client = start(view("sheets", RangeTable.empty()));
    assertThat(isPromise(sendOnce(client, "r-1")), is(true));

    String body = "x".repeat(UPLOAD_BYTES);
    AggregatedHttpResponse response =
        send(client, HttpMethod.POST, "/upload/a", body, "request-id", id);

    assertThat(response.contentUtf8(), is("ran"));
    assertThat(t.requests.get(1), endsWith(body));
  }

  @Test
  void requestsSentTwiceAtTheSameTimeEndWithTheirOwnResponses() throws Exception {
    CyclicBarrier bothArrived = new CyclicBarrier(2);
    CopyingScript script = new CopyingScript("503 Full");
    target(
        "t",
        new ScriptedTarget.ConnectionScript() {

          @Override
          public @Nullable String respond(
              String requestId, int connection, List<String> earlierIds) {
            try {
              bothArrived.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException | BrokenBarrierException | TimeoutException e) {
              return null;
            }
            return script.respond(requestId, connection, earlierIds);
          }
        });
    WebClient client = start(view("sheets", RangeTable.empty()));

    for (int i = 0; i < CALLERS; i++) {
      String id = "r-" + i;
      int served = 0;
      for (int n = 0; n < 2; n++) {
        CompletableFuture<AggregatedHttpResponse> other =
            CompletableFuture.supplyAsync(() -> sendOnce(client, id));
        served += isPromise(sendOnce(client, id)) ? 0 : 1;
        served += isPromise(other.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)) ? 0 : 1;
      }
      assertThat(served, is(3));
      assertThat(script.runs(id), is(3));
    }
  }

  @Test
  void repeatOnOtherConnectionOfCallerEndsWithItsOwnResponse() throws Exception {
    CopyingScript script = new CopyingScript("503 Full");
    target("t", script);
    WebClient client = start(view("sheets", RangeTable.empty()));
    assertThat(isPromise(sendOnce(client, "r-1")), is(true));

    try (ClientFactory others = ClientFactory.builder().build()) {
      WebClient other = WebClient.builder(client.uri()).factory(others).build();
      assertThat(sendOnce(other, "r-1").contentUtf8(), is("run 1"));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void callersThatAreToldNotRunHaveNotRun(int targetCount) throws Exception {
    Map<String, CopyingScript> scripts = new HashMap<>();
    for (int i = 0; i < targetCount; i++) {
      scripts.put("t-" + i, new CopyingScript("503 Full"));
      target("t-" + i, scripts.get("t-" + i));
    }
    WebClient client = start(view("sheets", RangeTable.empty()));
    int served = 0;
    int toldWrongly = 0;
    for (int i = 0; i < CALLERS; i++) {
      String id = "r-" + i;
      boolean isServed = false;
      boolean isToldWrongly = false;
      for (int n = 0; n < MAX_SENDS && !isServed; n++) {
        isServed = !isPromise(sendOnce(client, id));
        int runs = scripts.values().stream().mapToInt(s -> s.runs(id)).sum();
        isToldWrongly |= !isServed && runs > 0;
      }
      served += isServed ? 1 : 0;
      toldWrongly += isToldWrongly ? 1 : 0;
    }

    assertThat(toldWrongly, is(0));
    assertThat(served, greaterThan(0));
  }

  @Test
  void retryOfMisdirectedRequestEndsWithItsOwnResponse() throws Exception {
    CopyingScript script = new CopyingScript("421 Misdirected");
    ScriptedTarget t = target("t", script);
    WebClient client =
        start(view("stock", RangeTable.of(1, 1, List.of(entry(t, 0, KeyRange.LAST_KEY, 1)))));

    for (int i = 0; i < RETRIED_CALLERS; i++) {
      String id = "r-" + i;
      AggregatedHttpResponse response =
          send(client, HttpMethod.POST, "/keyed-once/a", "body", "key", "7", "request-id", id);
      assertThat(response.contentUtf8(), is("run 1"));
      assertThat(script.runs(id), is(1));
    }
  }

  @Test
  void retryOfServerErrorEndsWithItsOwnResponse() throws Exception {
    ScriptedTarget.Script script =
        new ScriptedTarget.ConnectionScript() {

          private final Set<String> failed = new HashSet<>();

          @Override
          public synchronized String respond(
              String requestId, int connection, List<String> earlierIds) {
            String failure = ScriptedTarget.response("500 Failed", requestId, "failed");
            if (failed.add(requestId)) {
              return failure;
            }
            return (earlierIds.contains(requestId) ? failure.replace("failed", "copied") : "")
                + ScriptedTarget.response("200 OK", requestId, "ran");
          }
        };
    ScriptedTarget t = target("t", script);
    WebClient client =
        start(view("stock", RangeTable.of(1, 1, List.of(entry(t, 0, KeyRange.LAST_KEY, 1)))));

    for (int i = 0; i < RETRIED_CALLERS; i++) {
      AggregatedHttpResponse response =
          send(client, HttpMethod.GET, "/keyed/a", "", "key", "7", "request-id", "r-" + i);
      assertThat("request " + i, response.contentUtf8(), is("ran"));
    }
  }

  /** A rejection on its way to an attempt that was cancelled must not meet the next one. */
  @ParameterizedTest
  @CsvSource({"/once/a, sheets", "/keyed-once/a, stock"})
  void cancelledAttemptLeavesNoConnectionForItsId(String path, String service) throws Exception {
    Set<Integer> connectionsOfId = new HashSet<>();
    ScriptedTarget t =
        target(
            "t",
            new ScriptedTarget.ConnectionScript() {

              @Override
              public synchronized String respond(
                  String requestId, int connection, List<String> earlierIds) {
                boolean isFirst = connectionsOfId.isEmpty();
                connectionsOfId.add(connection);
                return isFirst
                    ? ""
                    : (earlierIds.contains(requestId) ? rejection("503 Full", requestId) : "")
                        + ScriptedTarget.response("200 OK", requestId, "ran");
              }
            });
    WebClient client =
        start(view(service, RangeTable.of(1, 1, List.of(entry(t, 0, KeyRange.LAST_KEY, 1)))));
    try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), ports[0])) {
      write(
          caller,
          "POST %s HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r-1\r\nkey: 7\r\n\r\n"
              .formatted(path));
      assertThat(t.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), is("r-1"));
    }

    AggregatedHttpResponse response = send(client, HttpMethod.POST, path, "body", "key", "7");

    assertThat(response.contentUtf8(), is("ran"));
    assertThat(connectionsOfId, hasSize(2));
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Runs the second arrival of an id, but writes the true response only after the next request. */
  private static final class DelayingScript implements ScriptedTarget.ConnectionScript {
    private final Map<String, Integer> arrivals = new HashMap<>();
    private String delayed = "";

    @Override
    public synchronized String respond(String requestId, int connection, List<String> earlierIds) {
      int arrival = arrivals.merge(requestId, 1, Integer::sum);
      String response = ScriptedTarget.response("200 OK", requestId, "arrival " + arrival);
      if (requestId.equals("r-1") && arrival == 1) {
        return rejection("503 Full", requestId);
      }
      if (arrival == 2 && earlierIds.contains(requestId)) {
        delayed = response;
        return rejection("503 Full", requestId);
      }
      return (earlierIds.isEmpty() ? "" : delayed) + response;
    }
  }

  @Test
  void responseDelayedByCopyIsNotThatOfRequestWithOtherId() throws Exception {
    target("t", new DelayingScript());
    WebClient client = start(view("sheets", RangeTable.empty()));
    sendOnce(client, "r-1");
    sendOnce(client, "r-1");

    assertThat(sendOnce(client, "r-2").contentUtf8(), is("arrival 1"));
  }

  @Test
  void responseDelayedByCopyIsNotThatOfNextRepeat() throws Exception {
    target("t", new DelayingScript());
    WebClient client = start(view("sheets", RangeTable.empty()));
    sendOnce(client, "r-1");
    sendOnce(client, "r-1");

    assertThat(sendOnce(client, "r-1").contentUtf8(), is("arrival 3"));
  }
}
