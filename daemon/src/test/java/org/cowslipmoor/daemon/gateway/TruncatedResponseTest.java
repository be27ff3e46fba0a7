package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipmoor.core.range.RangeTable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests responses during which the target closes the connection. */
final class TruncatedResponseTest extends LoopbackGateway {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nstamp: s\r\n";
  private static final String BODY = "whole";

  /** Guards against relaying a truncated 200 as a complete response with an empty or short body. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        HEAD + "content-length: 5\r\n\r\n" + BODY,
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nrequest-id: r-1\r\nstamp: s\r\n\r\n" + BODY,
        HEAD + "transfer-encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"
      })
  void responseTruncatedAtAnyByteNeverLooksComplete(String response) throws Exception {
    AtomicInteger length = new AtomicInteger();
    target("t", id -> response.substring(0, length.get()) + ScriptedTarget.CLOSE_MARKER);
    WebClient client = start(view("sheets", RangeTable.empty()));

    for (int cutAt = 0; cutAt < response.length(); cutAt++) {
      length.set(cutAt);
      assertThat(
          "cut at byte " + cutAt, outcome(client), is(cutAt < bodyStart(response) ? "502" : "cut"));
    }
    length.set(response.length());
    assertThat(outcome(client), is(BODY));
  }

  /**
   * The end of the connection ends a response without a length, but not one whose head is
   * incomplete.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", "connection: close\r\n", "content-type: text/plain\r\n"})
  void responseWithoutLengthTruncatedInItsHeadIsNotRelayed(String header) throws Exception {
    String response = HEAD + header + "\r\n";
    AtomicInteger length = new AtomicInteger();
    target("t", id -> response.substring(0, length.get()) + ScriptedTarget.CLOSE_MARKER);
    WebClient client = start(view("sheets", RangeTable.empty()));

    for (int cutAt = 0; cutAt < response.length(); cutAt++) {
      length.set(cutAt);
      assertThat("cut at byte " + cutAt, outcome(client), is("502"));
    }
  }

  private static int bodyStart(String response) {
    return response.indexOf("\r\n\r\n") + 4;
  }

  /**
   * Returns the body of a 200 response, another status code, or "cut" if the response was aborted.
   */
  private static String outcome(WebClient client) {
    try {
      AggregatedHttpResponse response = send(client, HttpMethod.POST, "/once/a", "body");
      return response.status().code() == 200
          ? response.contentUtf8()
          : "" + response.status().code();
    } catch (CompletionException e) {
      return "cut";
    }
  }
}
