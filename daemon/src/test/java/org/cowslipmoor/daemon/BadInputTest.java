package org.cowslipmoor.daemon;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.net.InetAddresses;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.cowslipmoor.schema.member.Envelope;
import org.cowslipmoor.schema.member.Hello;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Checks that a host still serves callers after malformed or hostile input on its ports. */
final class BadInputTest {
  private static final int READ_TIMEOUT_MILLIS = 10_000;
  private static final int TOO_LONG = 100_000;

  private static LoopbackSetup setup;

  @BeforeAll
  static void start() throws Exception {
    setup = LoopbackSetup.start();
  }

  @AfterAll
  static void stop() throws Exception {
    setup.close();
  }

  @AfterEach
  void assertServes() {
    AggregatedHttpResponse response = setup.get("stock", "key-1", Map.of());
    assertThat(response.headers().get("cowslipmoor-result"), is("0"));
  }

  @Test
  void malformedHttpIsRejectedOrCutOff() throws Exception {
    String response =
        exchange(setup.member().getCallerPort(), "nonsense \1\2\r\n\r\n".getBytes(US_ASCII));
    assertThat(response, not(startsWith("HTTP/1.1 200")));
  }

  @Test
  void headersThatAreTooLongAreRejected() throws Exception {
    String request =
        "GET /v1/services/stock/item HTTP/1.1\r\nhost: a\r\ncowslipmoor-key: "
            + "k".repeat(TOO_LONG)
            + "\r\n\r\n";
    String response = exchange(setup.member().getCallerPort(), request.getBytes(US_ASCII));
    assertThat(response, not(startsWith("HTTP/1.1 200")));
  }

  @Test
  void linkFramesThatAreTooLongCloseTheLink() throws Exception {
    byte[] frame = ByteBuffer.allocate(Integer.BYTES).putInt(Integer.MAX_VALUE).array();
    exchange(setup.member().getMemberPort(), frame);
  }

  @Test
  void linkFramesThatCannotBeDecodedCloseTheLink() throws Exception {
    exchange(setup.member().getMemberPort(), frame(new byte[] {-1, -1, -1, -1}));
  }

  @Test
  void linkFramesBeforeTheHelloCloseTheLink() throws Exception {
    exchange(setup.member().getMemberPort(), frame(Envelope.getDefaultInstance().toByteArray()));
  }

  @Test
  void linksOfAnotherSetupAreClosed() throws Exception {
    Hello hello = Hello.newBuilder().setSetup("other").setMemberId("host-cairo").build();
    exchange(
        setup.member().getMemberPort(),
        frame(Envelope.newBuilder().setHello(hello).build().toByteArray()));
  }

  @Test
  void callersCannotClaimGrants() {
    AggregatedHttpResponse response =
        setup.get("stock", "key-1", Map.of("cowslipmoor-fence", "9.9", "cowslipmoor-shard", "7"));
    assertThat(response.headers().get("cowslipmoor-result"), is("0"));
  }

  @Test
  void truncatedResponsesAreErrorsAtTheCaller() {
    assertServes();
    for (String protocol : new String[] {"h1c", "h2c"}) {
      WebClient client =
          WebClient.builder(
                  protocol + "://" + LoopbackSetup.IP + ":" + setup.member().getCallerPort())
              .build();
      RequestHeaders headers =
          RequestHeaders.builder(HttpMethod.GET, "/v1/services/stock/x")
              .add("cowslipmoor-key", "key-1")
              .add("cowslipmoor-answer-bytes", "300000")
              .add("cowslipmoor-break-at-bytes", "100000")
              .build();
      CompletableFuture<AggregatedHttpResponse> response = client.execute(headers).aggregate();
      assertThrows(CompletionException.class, response::join, protocol);
    }
  }

  private static byte[] frame(byte[] content) {
    return ByteBuffer.allocate(Integer.BYTES + content.length)
        .putInt(content.length)
        .put(content)
        .array();
  }

  /** Sends bytes and returns the response up to the end of the connection. */
  private static String exchange(int port, byte[] bytes) throws IOException {
    try (Socket socket = new Socket(InetAddresses.forString(LoopbackSetup.IP), port)) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
      return new String(socket.getInputStream().readAllBytes(), US_ASCII);
    } catch (SocketException e) {
      return "closed: " + e.getMessage();
    }
  }
}
