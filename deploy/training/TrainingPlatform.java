import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Simulates the platform while the class-data archive of a host is created: the archive contains
 * the classes that the host loads to serve a few requests. Writes the host's settings to the file
 * that the argument names, and exits once the requests were served or a timeout has passed.
 */
public final class TrainingPlatform {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int REQUESTS = 40;

  /** Matches a put in the body of a transaction. */
  private static final Pattern PUT = Pattern.compile("\"key\":\"([^\"]+)\",\"value\":\"([^\"]*)\"");

  /** The configuration; HOST is replaced by an IP address, as the client can't send a host name. */
  private static final String CONFIGURATION =
      """
      {"version":1,
       "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
                 "idle_timeout_ms":15000},
       "listeners":[{"host":"HOST","policy":[
         {"name":"keyed","kind":"safe","slo_ms":500,"priority":1,"match":{"prefix":"/keyed/"},
          "action":{"service":"stock","timeout_ms":1200,"attempts":2}},
         {"name":"split","kind":"unsafe","slo_ms":500,"priority":1,"match":{"prefix":"/split/"},
          "action":{"split":[{"service":"sheets","weight":9},{"service":"orders","weight":1}],
                    "timeout_ms":1200,"attempts":2}}]}],
       "upstreams":[{"name":"stock","max_conns":100,"sharded":true},
                    {"name":"sheets","max_conns":100},{"name":"orders","max_conns":100}]}
      """;

  private final Map<String, Item> items = new TreeMap<>();
  private long revision = 1;

  /** An item of the store; the value is in base64. */
  private record Item(String key, String value, long revision) {
    String json() {
      return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"create_rev\":%d,\"lease\":0}"
          .formatted(key, value, revision, revision);
    }
  }

  private TrainingPlatform() {}

  /** Runs one training; the argument is the settings file to write. */
  public static void main(String[] args) throws Exception {
    new TrainingPlatform().run(Path.of(args[0]));
  }

  private void run(Path settings) throws Exception {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    // Uses a separate loopback address, since the port of a host's metrics is fixed.
    String ip = "127.%d.%d.%d".formatted(random.nextInt(1, 255), random.nextInt(255), 1);
    HttpServer targets = serve(ip, this::respondAsTarget);
    HttpServer store = serve(ip, this::respondAsStore);
    put("op/config", CONFIGURATION.replace("HOST", ip));
    for (String service : new String[] {"stock", "sheets", "orders"}) {
      put(
          "servers/" + service + "-1",
          """
          {"addr":"%s:%d","born":1,"info":{"service":"%s","version":"v1","zone":"a","slots":4},
           "status":{"state":"ready","seq":1,"cold_left_ms":0}}
          """
              .formatted(ip, targets.getAddress().getPort(), service));
    }
    int front = freePort(ip);
    int ready = freePort(ip);
    int links = freePort(ip);
    Path draft = settings.resolveSibling(settings.getFileName() + ".draft");
    Files.writeString(
        draft,
        """
        [self]
        node = "training"
        ip = "%1$s"
        zone = "a"
        [self.limits]
        cpu_share = 0.42
        cores = 1
        link_mbps = 700.0
        [network]
        port_range = [%4$d, %4$d]
        [network.listen]
        front = "%1$s:%2$d"
        ready = "%1$s:%3$d"
        [provider]
        heartbeat_ms = 1000
        [provider.provider]
        addr = "%1$s:%5$d"
        ttl_min_ms = 1000
        [terms.bounds]
        grace_s = 2
        budget_ratio = 0.1
        budget_slack = 10
        budget_window_s = 10
        config_ms = 2000
        drain_ms = 2000
        hold_max_ms = 10000
        """
            .formatted(ip, front, ready, links, store.getAddress().getPort()));
    Files.move(draft, settings);
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    long end = System.nanoTime() + TIMEOUT.toNanos();
    int succeeded = 0;
    while (succeeded < REQUESTS && System.nanoTime() < end) {
      succeeded += send(client, "http://%s:%d".formatted(ip, front), succeeded) ? 1 : 0;
    }
    send(client, "http://%s:%d".formatted(ip, ready), 0);
    System.out.println("served " + succeeded + " requests");
    System.exit(succeeded == REQUESTS ? 0 : 1);
  }

  private static boolean send(HttpClient client, String base, int number) throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(base + (number % 2 == 0 ? "/keyed/" : "/split/")))
            .timeout(Duration.ofSeconds(2))
            .header("X-Request-Id", "r" + number)
            .header("X-Deadline-Ms", "1000")
            .header("X-Shard-Key", "" + number * 1000);
    if (number % 2 == 1) {
      request.POST(HttpRequest.BodyPublishers.ofString("order"));
    }
    try {
      int status = client.send(request.build(), HttpResponse.BodyHandlers.ofString()).statusCode();
      Thread.sleep(status == 200 ? 10 : 100);
      return status == 200;
    } catch (IOException e) {
      Thread.sleep(100);
      return false;
    }
  }

  private synchronized void respondAsStore(HttpExchange call) throws IOException {
    String path = call.getRequestURI().getPath();
    String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    if (path.equals("/v1/kv-range")) {
      reply(call, "{\"items\":[%s],\"more_pages\":false,\"as_of\":%d}".formatted(all(0), revision));
    } else if (path.equals("/v1/kv-watch")) {
      Matcher after = Pattern.compile("after=(\\d+)").matcher(call.getRequestURI().getQuery());
      String events = after.find() ? all(Long.parseLong(after.group(1))) : "";
      reply(call, "{\"events\":[%s],\"as_of\":%d}".formatted(events, revision));
    } else if (path.equals("/v1/kv-txn")) {
      Matcher put = PUT.matcher(body);
      while (put.find()) {
        write(put.group(1), put.group(2));
      }
      reply(call, "{\"revision\":%d}".formatted(revision));
    } else if (path.equals("/v1/kv-key")) {
      call.sendResponseHeaders(404, -1);
      call.close();
    } else {
      reply(call, "{\"lease\":7,\"ttl_ms\":1500}");
    }
  }

  private void respondAsTarget(HttpExchange call) throws IOException {
    call.getRequestBody().readAllBytes();
    String id = call.getRequestHeaders().getFirst("X-Request-Id");
    if (id != null) {
      call.getResponseHeaders().set("X-Request-Id", id);
    }
    call.getResponseHeaders().set("X-Upstream-Load", "1,0,4");
    call.getResponseHeaders().set("Keep-Alive", "timeout=10");
    reply(call, "{}" + " ".repeat(5_000));
  }

  private synchronized void put(String key, String value) {
    write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
  }

  private void write(String key, String value) {
    revision++;
    items.put(key, new Item(key, value, revision));
  }

  private String all(long after) {
    return items.values().stream()
        .filter(i -> i.revision() > after)
        .map(Item::json)
        .collect(Collectors.joining(","));
  }

  private static void reply(HttpExchange call, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    call.sendResponseHeaders(200, bytes.length);
    call.getResponseBody().write(bytes);
    call.close();
  }

  private interface Handler {
    void handle(HttpExchange call) throws IOException;
  }

  private static HttpServer serve(String ip, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(ip, 0), 50);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/", handler::handle);
    server.start();
    return server;
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket free = new ServerSocket()) {
      free.bind(new InetSocketAddress(ip, 0));
      return free.getLocalPort();
    }
  }
}
