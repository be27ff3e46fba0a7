package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.range.KeyRange;
import org.cowslipmoor.core.range.RangeTable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests callers that close their connection before they have their response. */
final class DisconnectedCallerTest extends LoopbackGateway {
  /** Time within which a target's work for a caller that has left must end. */
  private static final long MAX_WORK_MILLIS = 500;

  private static final long TIMEOUT_SECONDS = 10;

  /** A target that never responds. */
  private static final ScriptedTarget.Script SILENT = requestId -> "";

  private Socket call(String method, String path) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports[0]);
    String request =
        "%s %s HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r-1\r\nkey: 7\r\n"
            + "content-length: 4\r\n\r\nbody";
    socket
        .getOutputStream()
        .write(request.formatted(method, path).getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  /** Guards against work that goes on after its caller has left. */
  @ParameterizedTest
  @CsvSource({"GET, /safe/a", "POST, /once/a", "GET, /keyed/a", "POST, /keyed-once/a"})
  void workOfTheTargetEndsOnceItsCallerHasLeft(String method, String path) throws Exception {
    ScriptedTarget t = target("t", SILENT);
    String service = path.startsWith("/keyed") ? "stock" : "sheets";
    start(view(service, RangeTable.of(1, 1, List.of(entry(t, 0, KeyRange.LAST_KEY, 1)))));
    try (Socket caller = call(method, path)) {
      assertThat(t.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), is("r-1"));
    }

    assertThat(t.disconnected.poll(MAX_WORK_MILLIS, TimeUnit.MILLISECONDS), is("r-1"));
    assertThat(t.requests, hasSize(1));
    assertThat(metricsPage(), containsString("cowslipmoor_callers_gone_total 1\n"));
    assertThat(metricsPage(), containsString("cowslipmoor_requests_in_progress 0\n"));
  }

  private String metricsPage() {
    return metrics.get("/metrics").aggregate().join().contentUtf8();
  }
}
