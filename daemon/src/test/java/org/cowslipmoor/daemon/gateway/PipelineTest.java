package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.fleet.MemberList;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.core.routing.RequestKind;
import org.cowslipmoor.core.routing.RouteRule;
import org.cowslipmoor.core.routing.RoutingConfiguration;
import org.cowslipmoor.core.routing.ServiceDescription;
import org.cowslipmoor.daemon.coordination.StoreView;
import org.junit.jupiter.api.Test;

/** Tests callers that send requests before the earlier ones have been answered. */
final class PipelineTest extends LoopbackGateway {
  private static final int MAX_REQUESTS = 32;
  private static final long TIMEOUT_MILLIS = 10_000;

  /** Time after which requests that the host passes on would have arrived at the target. */
  private static final long SETTLING_MILLIS = 400;

  private static final String BIG_BODY = "x".repeat(200_000) + "end";

  private long timeoutMillis = 3_000;
  private final CountDownLatch released = new CountDownLatch(1);

  /** Responds to the request with id r-0 only once it is released, and to others at once. */
  private String respond(String id, String body) {
    if (id.equals("r-0")) {
      awaitRelease();
    }
    return ScriptedTarget.response("200 OK", id, body);
  }

  private void awaitRelease() {
    try {
      released.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns a view whose targets take many requests at once. */
  private StoreView roomyView() {
    List<DiscoveredTarget> roomy =
        targets.stream()
            .map(t -> t.discovered("sheets"))
            .map(
                d ->
                    new DiscoveredTarget(
                        d.incarnation(), d.service(), d.address(), "cairo", 1_000, false, 0))
            .toList();
    RouteRule safe = rule("/safe/", RequestKind.SAFE, "sheets");
    RouteRule longSafe =
        new RouteRule(
            "/safe/",
            safe.host(),
            safe.prefix(),
            safe.kind(),
            safe.maxAttempts(),
            timeoutMillis,
            safe.objectiveMillis(),
            safe.priority(),
            safe.destinations());
    return new StoreView(
        RoutingConfiguration.of(
            1,
            configuration().limits(),
            List.of(new ServiceDescription("sheets", 100, false)),
            List.of(longSafe, rule("/once/", RequestKind.UNSAFE, "sheets"))),
        TargetDirectory.of(roomy),
        RangeTable.empty(),
        1,
        MemberList.of(members),
        new StorePlace(0, 1),
        null,
        true,
        new StorePlace(0, 1));
  }

  private static String request(String method, String path, int number, String headers) {
    return "%s %s HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r-%d\r\n%s\r\n"
        .formatted(method, path, number, headers);
  }

  private static String requests(int from, int to) {
    StringBuilder all = new StringBuilder();
    for (int i = from; i < to; i++) {
      all.append(request("GET", "/safe/" + i, i, ""));
    }
    return all.toString();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports[0]);
    socket.setSoTimeout((int) TIMEOUT_MILLIS);
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Reads until the text contains another one, or to the end of the connection. */
  private static String readUntil(Socket socket, String end) throws IOException {
    StringBuilder text = new StringBuilder();
    byte[] bytes = new byte[65_536];
    while (text.indexOf(end, Math.max(0, text.length() - 70_000)) < 0) {
      int n = socket.getInputStream().read(bytes);
      if (n < 0) {
        break;
      }
      text.append(new String(bytes, 0, n, StandardCharsets.US_ASCII));
    }
    return text.toString();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (!condition.getAsBoolean() && System.nanoTime() - end < 0) {
      Thread.sleep(5);
    }
    assertThat(condition.getAsBoolean(), is(true));
  }

  /** Starts several targets: a host opens a limited number of connections to each. */
  private void severalTargets(ScriptedTarget.Script script) throws IOException {
    for (String id : List.of("a", "b", "c", "d", "e", "f", "g", "h")) {
      target(id, script);
    }
  }

  /** Returns the number of requests that arrived, without those that were sent once more. */
  private int requestCount() {
    return (int) targets.stream().flatMap(t -> t.received.stream()).distinct().count();
  }

  private String metric(String name) {
    String page = metrics.get("/metrics").aggregate().join().contentUtf8();
    return page.lines()
        .filter(line -> line.startsWith(name + " "))
        .findFirst()
        .map(line -> line.substring(name.length() + 1))
        .orElse("");
  }

  private long bodyMemory() {
    return Long.parseLong(metric("cowslipmoor_body_memory_bytes"));
  }

  private static void assertInOrder(String responses, int count) {
    int at = -1;
    for (int i = 0; i < count; i++) {
      int next = responses.indexOf("request-id: r-" + i + "\r\n");
      assertThat("response " + i, next, greaterThan(at));
      at = next;
    }
  }

  /** Guards against requests that wait for each other, and responses in another order. */
  @Test
  void requestsSentAheadRunSideBySideAndAreAnsweredInOrder() throws Exception {
    ScriptedTarget t = target("t", id -> respond(id, "body"));
    start(roomyView());
    try (Socket caller = connect()) {
      write(caller, requests(0, 8));
      await(() -> t.requests.size() == 8);
      released.countDown();

      String responses = readUntil(caller, "r-7\r\nstamp: s\r\n\r\nbody");
      assertInOrder(responses, 8);
    }
  }

  /** Guards against a caller that occupies the targets with any number of requests. */
  @Test
  void requestsReadAheadAreBoundedInNumber() throws Exception {
    timeoutMillis = 30_000;
    severalTargets(id -> respond(id, "body"));
    start(roomyView());
    try (Socket caller = connect()) {
      write(caller, requests(0, 100));
      await(() -> requestCount() >= MAX_REQUESTS);
      Thread.sleep(SETTLING_MILLIS);
      assertThat(requestCount(), is(MAX_REQUESTS));
      released.countDown();

      String responses = readUntil(caller, "r-99\r\nstamp: s\r\n\r\nbody");
      assertInOrder(responses, 100);
      assertThat(requestCount(), is(100));
    }
  }

  /** Guards against memory that fills with requests that are read but not processed. */
  @Test
  void hostStopsReadingBeyondTheBound() throws Exception {
    target("t", id -> respond(id, "body"));
    start(roomyView());
    try (Socket caller = connect()) {
      AtomicLong written = new AtomicLong();
      Thread writer =
          new Thread(
              () -> {
                try {
                  for (int i = 0; i < 1_000_000; i += 100) {
                    String text = requests(i, i + 100);
                    write(caller, text);
                    written.addAndGet(text.length());
                  }
                } catch (IOException e) {
                  // The test has ended.
                }
              });
      writer.setDaemon(true);
      writer.start();
      // The requests would have 70 MB; the buffers of two sockets hold a part of them.
      long before = -1;
      for (int i = 0; i < 20 && before != written.get(); i++) {
        before = written.get();
        Thread.sleep(SETTLING_MILLIS);
      }
      assertThat(written.get(), is(before));
      assertThat(written.get(), lessThan(24L << 20));
    }
  }

  /**
   * Guards against responses that fill the memory while they wait for their turn. They are counted
   * with the bodies of requests.
   */
  @Test
  void bytesOfWaitingResponsesAreBoundedAndCounted() throws Exception {
    ScriptedTarget t = target("t", id -> respond(id, BIG_BODY));
    start(roomyView());
    try (Socket caller = connect()) {
      write(caller, requests(0, 4));
      await(() -> bodyMemory() > CallerConnections.MAX_WAITING_BYTES);
      write(caller, requests(4, 10));
      Thread.sleep(SETTLING_MILLIS);
      // One read may exceed the bound for each response that is being read.
      assertThat(bodyMemory(), lessThanOrEqualTo(2 * CallerConnections.MAX_WAITING_BYTES));
      assertThat(t.requests, hasSize(4));
      released.countDown();

      String responses = readUntil(caller, "r-9\r\nstamp: s\r\n\r\n" + BIG_BODY.substring(0, 9));
      assertInOrder(responses, 10);
    }
    await(() -> bodyMemory() == 0);
  }

  /** Guards against waiting responses that occupy their target although there is memory. */
  @Test
  void waitingResponseIsReadToItsEnd() throws Exception {
    timeoutMillis = 30_000;
    target("t", id -> respond(id, BIG_BODY.repeat(2)));
    start(roomyView());
    try (Socket caller = connect()) {
      write(caller, requests(0, 2));
      await(() -> metric("cowslipmoor_answers_total").equals("1"));
      released.countDown();
      readUntil(caller, "r-1\r\nstamp: s\r\n\r\nx");
    }
  }

  /**
   * Guards against running requests twice: a caller sends those behind a response that closes the
   * connection again, whatever their kind.
   */
  @Test
  void nothingIsPassedOnBehindRequestThatClosesTheConnection() throws Exception {
    ScriptedTarget t = target("t", id -> respond(id, "body"));
    start(roomyView());
    try (Socket caller = connect()) {
      write(
          caller,
          request("GET", "/safe/a", 0, "connection: close\r\n")
              + request("POST", "/once/a", 1, "content-length: 0\r\n"));
      await(() -> !t.requests.isEmpty());
      Thread.sleep(SETTLING_MILLIS);
      released.countDown();

      assertThat(readUntil(caller, "\uffff"), not(containsString("r-1")));
      assertThat(t.requests, hasSize(1));
    }
  }

  /** Guards against work that goes on behind a response that is cut off. */
  @Test
  void requestsBehindResponseThatIsCutOffAreCancelled() throws Exception {
    ScriptedTarget t =
        target(
            "t",
            id -> {
              if (id.equals("r-1")) {
                awaitRelease();
                return ScriptedTarget.response("200 OK", id, "body").replace("body", "bo")
                    + ScriptedTarget.CLOSE_MARKER;
              }
              return ScriptedTarget.response("200 OK", id, "body")
                  .substring(0, id.equals("r-0") ? 9 : 0);
            });
    start(roomyView());
    try (Socket caller = connect()) {
      write(caller, requests(0, 2) + request("POST", "/once/a", 2, "content-length: 0\r\n"));
      await(() -> t.requests.size() == 3);
      released.countDown();

      assertThat(t.disconnected.poll(2, TimeUnit.SECONDS), is("r-1"));
      assertThat(t.disconnected.poll(2, TimeUnit.SECONDS), is("r-2"));
      write(caller, request("POST", "/once/a", 3, "content-length: 0\r\n"));
      Thread.sleep(SETTLING_MILLIS);
      assertThat(t.requests, hasSize(3));
    }
  }

  /** Guards against a planned stop that loses requests which were passed on already. */
  @Test
  void stoppingHostCompletesRequestsInProgressAndPassesOnNoneBehindThem() throws Exception {
    graceMillis = 4_000;
    ScriptedTarget t = target("t", id -> respond(id, "body"));
    start(roomyView());
    try (Socket caller = connect()) {
      write(caller, requests(0, 3));
      await(() -> t.requests.size() == 3);
      Thread stopper = new Thread(host::stop);
      stopper.start();
      Thread.sleep(SETTLING_MILLIS);
      write(caller, request("POST", "/once/a", 3, "content-length: 0\r\n"));
      Thread.sleep(SETTLING_MILLIS);
      released.countDown();

      String responses = readUntil(caller, "\uffff");
      assertInOrder(responses, 3);
      assertThat(responses, not(containsString("r-3")));
      assertThat(t.requests, hasSize(3));
      stopper.join();
    }
  }

  /** Guards against a caller that doesn't read and delays the responses to another one. */
  @Test
  void callerThatDoesNotReadHoldsUpNoOtherCaller() throws Exception {
    severalTargets(id -> ScriptedTarget.response("200 OK", id, BIG_BODY));
    start(roomyView());
    try (Socket silent = connect();
        Socket caller = connect()) {
      write(silent, requests(0, 200));
      await(() -> requestCount() >= MAX_REQUESTS);
      long startedAt = System.nanoTime();
      write(caller, requests(0, 1));
      readUntil(caller, "end");
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
      assertThat(millis, lessThan(2_500L));
    }
  }

  /** Guards against a caller that doesn't read and occupies a target until the deadline. */
  @Test
  void callerThatDoesNotReadHoldsUpNoTarget() throws Exception {
    timeoutMillis = 30_000;
    ScriptedTarget t =
        target(
            "t",
            id ->
                "HTTP/1.1 200 OK\r\nrequest-id: %s\r\n\r\n%sx"
                    .formatted(id, ScriptedTarget.REPEAT_MARKER));
    start(roomyView());
    try (Socket caller = connect()) {
      write(caller, requests(0, 1));
      await(() -> t.requests.size() == 1);

      t.unboundedBytes.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Guards against closing the connection of a caller that reads slowly. */
  @Test
  void callerThatReadsSlowlyGetsItsResponse() throws Exception {
    timeoutMillis = 30_000;
    String body = "x".repeat(16 << 20) + "end";
    target("t", id -> ScriptedTarget.response("200 OK", id, body));
    start(roomyView());
    try (Socket caller = connect()) {
      caller.setReceiveBufferSize(65_536);
      write(caller, requests(0, 1));
      byte[] bytes = new byte[400_000];
      for (int i = 0; i < 30; i++) {
        assertThat(caller.getInputStream().readNBytes(bytes, 0, bytes.length), is(bytes.length));
        Thread.sleep(200);
      }
      assertThat(readUntil(caller, "end"), containsString("end"));
    }
  }
}
