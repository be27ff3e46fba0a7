import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker of a service without keys, as PROTOCOL.md describes it. */
final class Worker {
  private static final ScheduledExecutorService BEATS =
      Executors.newScheduledThreadPool(1, Main.daemon());

  final String id;
  private final String service;
  private final String zone;
  private final int slots;
  private final int workMillis;
  private final int bodyBytes;
  private final Store store;
  private final Record record;
  private final HttpServer server;
  private final long born = System.currentTimeMillis();
  private final AtomicInteger running = new AtomicInteger();
  private int seq;

  Worker(
      String ip,
      String id,
      String service,
      String zone,
      int slots,
      int workMillis,
      int bodyBytes,
      Store store,
      Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMillis = workMillis;
    this.bodyBytes = bodyBytes;
    this.store = store;
    this.record = record;
    server = HttpServer.create(new InetSocketAddress(ip, 0), 100);
    server.setExecutor(Executors.newCachedThreadPool(Main.daemon()));
    server.createContext("/", this::serve);
    server.start();
  }

  /** Writes the worker's entry every 870 ms. */
  void register() {
    BEATS.scheduleAtFixedRate(this::beat, 0, 870, TimeUnit.MILLISECONDS);
  }

  private synchronized void beat() {
    seq++;
    store.put(
        "servers/" + id,
        ("{\"addr\":\"%s:%d\",\"born\":%d,\"info\":{\"service\":\"%s\",\"version\":\"v1\","
                + "\"zone\":\"%s\",\"slots\":%d},\"status\":{\"state\":\"ready\",\"seq\":%d,"
                + "\"cold_left_ms\":0}}")
            .formatted(
                server.getAddress().getAddress().getHostAddress(),
                server.getAddress().getPort(),
                born,
                service,
                zone,
                slots,
                seq));
  }

  private void serve(HttpExchange call) throws IOException {
    call.getRequestBody().readAllBytes();
    String request = call.getRequestHeaders().getFirst("X-Request-Id");
    String expected = call.getRequestHeaders().getFirst("X-Expect-Instance");
    if (request != null) {
      call.getResponseHeaders().set("X-Request-Id", request);
    }
    call.getResponseHeaders().set("X-Instance-Id", id);
    if (expected != null && !expected.equals(id)) {
      call.getResponseHeaders().set("X-Not-Run", "1");
      reply(call, 421, 0);
      return;
    }
    int now = running.incrementAndGet();
    try {
      if (now > 4 * slots) {
        call.getResponseHeaders().set("X-Not-Run", "1");
        reply(call, 503, 0);
        return;
      }
      record.onRun(request, id, call.getRequestMethod());
      Main.sleep(workMillis);
      call.getResponseHeaders()
          .set("X-Upstream-Load", running.get() - 1 + ",0," + slots);
      call.getResponseHeaders().set("X-Upstream-Stamp", "stamp-" + request);
      reply(call, 200, bodyBytes);
    } finally {
      running.decrementAndGet();
    }
  }

  private static void reply(HttpExchange call, int status, int length) throws IOException {
    byte[] bytes = "x".repeat(length).getBytes(StandardCharsets.UTF_8);
    call.getResponseHeaders().set("Keep-Alive", "timeout=10");
    try {
      call.sendResponseHeaders(status, length == 0 ? -1 : length);
      call.getResponseBody().write(bytes);
    } catch (IOException e) {
      // The host has closed the connection.
    }
    call.close();
  }
}
