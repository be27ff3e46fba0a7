package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipmoor.core.range.KeyRange;
import org.cowslipmoor.core.range.RangeTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a target that writes a duplicate of an earlier rejection on a reused connection. */
final class DuplicateRejectionTest extends LoopbackGateway {
  private static final String REJECTION =
      "HTTP/1.1 503 Full\r\ncontent-length: 0\r\nnot-run: 1\r\n%s\r\n";

  /** Rejects the first request; runs and counts the others. */
  private static final class DuplicatingScript implements ScriptedTarget.Script {
    final AtomicInteger runs = new AtomicInteger();
    private final String firstResponse;
    private final String beforeResponse;
    private final String afterResponse;
    private boolean rejected;

    DuplicatingScript(String firstResponse, String beforeResponse, String afterResponse) {
      this.firstResponse = firstResponse;
      this.beforeResponse = beforeResponse;
      this.afterResponse = afterResponse;
    }

    @Override
    public String respond(String requestId) {
      throw new UnsupportedOperationException("the response depends on the connection");
    }

    @Override
    public String respond(String requestId, boolean isReused) {
      if (!rejected) {
        rejected = true;
        return firstResponse;
      }
      runs.incrementAndGet();
      String response = ScriptedTarget.response("200 OK", requestId, "ran");
      return isReused ? beforeResponse + response + afterResponse : response;
    }
  }

  private static String rejection(String header) {
    return REJECTION.formatted(header);
  }

  private AggregatedHttpResponse sendOnce(WebClient client, String id) {
    return send(client, HttpMethod.POST, "/once/a", "body", "request-id", id);
  }

  @ParameterizedTest
  @ValueSource(strings = {"request-id: r-1\r\n", ""})
  void duplicateRejectionBeforeResponseIsSkipped(String id) throws Exception {
    DuplicatingScript script =
        new DuplicatingScript(rejection("request-id: r-1\r\n"), rejection(id), "");
    target("t", script);
    WebClient client = start(view("sheets", RangeTable.empty()));
    assertThat(sendOnce(client, "r-1").status().code(), is(503));

    assertThat(sendOnce(client, "r-2").contentUtf8(), is("ran"));
    assertThat(script.runs.get(), is(1));
  }

  @Test
  void rejectionsAndSkippedResponsesAreCounted() throws Exception {
    String rejection = rejection("request-id: r-1\r\n");
    target("t", new DuplicatingScript(rejection, rejection + rejection, ""));
    WebClient client = start(view("sheets", RangeTable.empty()));
    sendOnce(client, "r-1");
    sendOnce(client, "r-2");

    String page = metrics.get("/metrics").aggregate().join().contentUtf8();

    assertThat(page, containsString("\ncowslipmoor_target_rejections_total 1\n"));
    assertThat(page, containsString("\ncowslipmoor_surplus_answers_total 2\n"));
  }

  @Test
  void completeResponsesDoNotCountAsAborted() throws Exception {
    target("t", ScriptedTarget.ok("ran"));
    WebClient client = start(view("sheets", RangeTable.empty()));
    sendOnce(client, "r-1");
    sendOnce(client, "r-2");

    String page = metrics.get("/metrics").aggregate().join().contentUtf8();

    assertThat(page, containsString("\ncowslipmoor_answers_total 2\n"));
    assertThat(page, not(containsString("\ncowslipmoor_answers_aborted_total ")));
  }

  @ParameterizedTest
  @ValueSource(strings = {"request-id: r-1\r\n", "request-id: r-2\r\n", ""})
  void duplicateRejectionAfterResponseIsIgnored(String id) throws Exception {
    DuplicatingScript script =
        new DuplicatingScript(rejection("request-id: r-1\r\n"), "", rejection(id));
    target("t", script);
    WebClient client = start(view("sheets", RangeTable.empty()));
    assertThat(sendOnce(client, "r-1").status().code(), is(503));

    for (int i = 2; i <= 6; i++) {
      assertThat(sendOnce(client, "r-" + i).contentUtf8(), is("ran"));
      assertThat(script.runs.get(), is(i - 1));
    }
  }

  @Test
  void duplicateRejectionWithinResponseAbortsIt() throws Exception {
    String begin =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nrequest-id: %s\r\n\r\n2\r\nra\r\n";
    target(
        "t", id -> begin.formatted(id) + rejection("request-id: r-1\r\n") + "1\r\nn\r\n0\r\n\r\n");
    WebClient client = start(view("sheets", RangeTable.empty()));

    assertThrows(CompletionException.class, () -> sendOnce(client, "r-2"));
  }

  /**
   * The duplicate rejection has the id of the retried request, since the first attempt had the
   * same.
   */
  @Test
  void retryDoesNotEndWithEarlierRejection() throws Exception {
    String rejection =
        "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\nnot-run: 1\r\nrequest-id: r-1\r\n\r\n";
    DuplicatingScript script = new DuplicatingScript(rejection, rejection, "");
    ScriptedTarget t = target("t", script);
    WebClient client =
        start(view("stock", RangeTable.of(1, 1, List.of(entry(t, 0, KeyRange.LAST_KEY, 1)))));

    AggregatedHttpResponse response =
        send(client, HttpMethod.POST, "/keyed-once/a", "body", "key", "7");

    assertThat(response.contentUtf8(), is("ran"));
    assertThat(script.runs.get(), is(1));
  }
}
