package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipmoor.core.range.RangeTable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests responses of targets that can't be passed on to a caller. */
final class UnusableResponseTest extends LoopbackGateway {
  private static final String REST = "\r\nrequest-id: r-1\r\ncontent-length: 2\r\n\r\nok";
  private static final String HEADERS =
      "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 2\r\n";
  private static final long TIMEOUT_SECONDS = 5;

  /** Guards against status lines such as that with status 000 reaching the caller as an answer. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 Broken" + REST,
        "HTTP/1.1 0 Broken" + REST,
        "HTTP/1.1 099 Broken" + REST,
        "HTTP/1.1 600 Broken" + REST,
        "HTTP/1.1 999 Broken" + REST,
        "HTTP/1.1 1000 Broken" + REST,
        "HTTP/1.1 2 00" + REST,
        "HTTP/1.1 20 OK" + REST,
        "HTTP/1.1 +20 OK" + REST,
        "HTTP/1.1 -200 OK" + REST,
        "HTTP/1.1 0200 OK" + REST,
        "HTTP/1.1 20x OK" + REST,
        "HTTP/1.1 OK" + REST,
        "HTTP/1.1 600 Broken\r\nnot-run: 1" + REST,
        "HTTP/0.9 200 OK" + REST,
        "HTTP/2.0 200 OK" + REST,
        "HTTP/1 200 OK" + REST,
        "http/1.1 200 OK" + REST,
        "ICY 200 OK" + REST,
        "HTTP/1.1 200 O\rK" + REST,
        "HTTP/1.1 101 Switching" + REST,
        HEADERS + "x: a\u0000b\r\n\r\nok",
        HEADERS + "x: a\u0001b\r\n\r\nok",
        HEADERS + "x: a\u000bb\r\n\r\nok",
        HEADERS + "x: a\u007fb\r\n\r\nok",
        HEADERS + "x: a\rb\r\n\r\nok",
        HEADERS + "x\u0001y: a\r\n\r\nok",
        HEADERS + "x\351: a\r\n\r\nok",
        HEADERS + "x,y: a\r\n\r\nok",
        HEADERS + "x=y: a\r\n\r\nok",
        HEADERS + ":status: 500\r\n\r\nok",
        HEADERS + ": a\r\n\r\nok"
      })
  void responseThatCannotBePassedOnFailsItsAttempt(String response) throws Exception {
    ScriptedTarget t = target("t", id -> response);
    WebClient client = start(view("sheets", RangeTable.empty()));

    AggregatedHttpResponse rejection = send(client, HttpMethod.POST, "/once/a", "body");

    assertThat(rejection.status().code(), is(502));
    assertThat(rejection.headers().get("cowslipmoor-result"), is("1010"));
    assertThat(t.requests, hasSize(1));
    assertThat(t.disconnected.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), is("r-1"));
  }

  /** Guards against a failed attempt that costs a caller an answer that another target has. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600", "2 00"})
  void requestThatMayBeRepeatedIsRetried(String status) throws Exception {
    AtomicInteger count = new AtomicInteger();
    ScriptedTarget.Script script =
        id ->
            count.incrementAndGet() == 1
                ? "HTTP/1.1 " + status + " Broken" + REST
                : ScriptedTarget.response("200 OK", id, "right");
    target("t", script);
    target("u", script);
    WebClient client = start(view("sheets", RangeTable.empty()));

    assertThat(send(client, HttpMethod.GET, "/safe/a", "").contentUtf8(), is("right"));
    assertThat(count.get(), is(2));
  }

  /** Guards against a check that refuses responses that a caller can use. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200" + REST,
        "HTTP/1.1 200 " + REST,
        "HTTP/1.0 200 OK" + REST,
        "HTTP/1.2 200 OK" + REST,
        "HTTP/1.1 200 \351t\351" + REST,
        "HTTP/1.1 200 a\u0001b" + REST,
        "HTTP/1.1 299 Odd" + REST,
        "HTTP/1.1 499 Odd" + REST,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK" + REST,
        "HTTP/1.1 199 Odd\r\n\r\nHTTP/1.1 200 OK" + REST,
        HEADERS + "x: a\351\tb\r\n\r\nok"
      })
  void usableResponseIsPassedOn(String response) throws Exception {
    target("t", id -> response);
    WebClient client = start(view("sheets", RangeTable.empty()));

    assertThat(send(client, HttpMethod.POST, "/once/a", "body").contentUtf8(), is("ok"));
  }
}
