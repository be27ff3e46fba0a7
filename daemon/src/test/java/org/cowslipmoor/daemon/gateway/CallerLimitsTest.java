package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.range.RangeTable;
import org.junit.jupiter.api.Test;

/**
 * Tests the limits of the configuration on what callers send: a head of at most 8,192 bytes within
 * 1 s, and connections that are idle for at most 4 s.
 */
final class CallerLimitsTest extends LoopbackGateway {
  private static final long HEAD_MILLIS = 1_000;
  private static final long IDLE_MILLIS = 4_000;

  /** Connections are checked once a second; while a host lags, they are not. */
  private static final long MAX_DELAY_MILLIS = 6_000;

  private static final String HEAD =
      "GET /safe/a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r-1\r\n";

  /** Sends text on a new connection; returns the milliseconds until the host closes it. */
  private long millisUntilClosed(String text) throws IOException {
    return millisUntilClosed(ports[0], text);
  }

  private static long millisUntilClosed(int port, String text) throws IOException {
    final long startedAt = System.nanoTime();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout((int) (IDLE_MILLIS + 2 * MAX_DELAY_MILLIS));
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      byte[] buffer = new byte[8_192];
      while (socket.getInputStream().read(buffer) >= 0) {
        // The response is not of interest.
      }
    }
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
  }

  @Test
  void headBeyondTheLimitIsRejectedAsNotRun() throws Exception {
    final ScriptedTarget t = target("t", ScriptedTarget.ok("sheet"));
    WebClient client = start(view("sheets", RangeTable.empty()));

    AggregatedHttpResponse response =
        send(client, HttpMethod.GET, "/safe/a", "", "long", "x".repeat(8_192));

    assertThat(response.status().code(), is(431));
    assertThat(response.headers().get("cowslipmoor-result"), is("1019"));
    assertThat(t.requests.size(), is(0));
    assertThat(
        send(client, HttpMethod.GET, "/safe/a", "", "long", "x".repeat(7_900)).status().code(),
        is(200));
  }

  @Test
  void connectionWithUnfinishedHeadIsClosed() throws Exception {
    target("t", ScriptedTarget.ok("sheet"));
    start(view("sheets", RangeTable.empty()));

    assertThat(
        millisUntilClosed(HEAD),
        both(greaterThan(HEAD_MILLIS - 1)).and(lessThan(HEAD_MILLIS + MAX_DELAY_MILLIS)));
  }

  /** Callers reuse connections that have been idle for less than the limit. */
  @Test
  void connectionIsClosedOnlyOnceItWasIdleForTheLimit() throws Exception {
    target("t", ScriptedTarget.ok("sheet"));
    start(view("sheets", RangeTable.empty()));

    assertThat(
        millisUntilClosed(HEAD + "\r\n"),
        both(greaterThan(IDLE_MILLIS - 1)).and(lessThan(IDLE_MILLIS + MAX_DELAY_MILLIS)));
  }

  /** A request that waits for its target is neither idle nor an unfinished head. */
  @Test
  void connectionWithRequestInProgressIsNotClosed() throws Exception {
    target("t", requestId -> "");
    WebClient client = start(view("sheets", RangeTable.empty()));

    assertThat(send(client, HttpMethod.POST, "/once/a", "body").status().code(), is(504));
  }

  /** The load balancer may check readiness on a connection that it keeps. */
  @Test
  void connectionOfReadinessCheckIsNotClosed() throws Exception {
    target("t", ScriptedTarget.ok("sheet"));
    start(view("sheets", RangeTable.empty()));

    assertThrows(
        SocketTimeoutException.class,
        () -> millisUntilClosed(ports[1], "GET /ready HTTP/1.1\r\nhost: a\r\n\r\n"));
  }
}
