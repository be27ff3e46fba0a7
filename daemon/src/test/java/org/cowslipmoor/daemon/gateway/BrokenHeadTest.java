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

/** A target that stops within its answer and closes the connection. */
final class BrokenHeadTest extends LoopbackGateway {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nstamp: s\r\n";
  private static final String BODY = "whole";

  /** Answers a 200 with an empty or short body that was framed as whole. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        HEAD + "content-length: 5\r\n\r\n" + BODY,
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nrequest-id: r-1\r\nstamp: s\r\n\r\n" + BODY,
        HEAD + "transfer-encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"
      })
  void answerThatBreaksOffAtAnyByteNeverLooksWhole(String answer) throws Exception {
    AtomicInteger length = new AtomicInteger();
    target("t", id -> answer.substring(0, length.get()) + ScriptedTarget.CLOSED);
    WebClient client = start(view("sheets", RangeTable.empty()));

    for (int cut = 0; cut < answer.length(); cut++) {
      length.set(cut);
      assertThat("cut at byte " + cut, outcome(client), is(cut < bodyOf(answer) ? "502" : "cut"));
    }
    length.set(answer.length());
    assertThat(outcome(client), is(BODY));
  }

  /** An answer without a length ends with its connection, but not within its head. */
  @ParameterizedTest
  @ValueSource(strings = {"", "connection: close\r\n", "content-type: text/plain\r\n"})
  void answerWithoutLengthThatBreaksOffInItsHeadIsNone(String header) throws Exception {
    String answer = HEAD + header + "\r\n";
    AtomicInteger length = new AtomicInteger();
    target("t", id -> answer.substring(0, length.get()) + ScriptedTarget.CLOSED);
    WebClient client = start(view("sheets", RangeTable.empty()));

    for (int cut = 0; cut < answer.length(); cut++) {
      length.set(cut);
      assertThat("cut at byte " + cut, outcome(client), is("502"));
    }
  }

  private static int bodyOf(String answer) {
    return answer.indexOf("\r\n\r\n") + 4;
  }

  /** Returns the body of a 200, another status, or that the answer was cut. */
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
