import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/** The platform's metadata store, as PROTOCOL.md describes it. */
final class Store {
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final HttpServer server;
  private long revision = 100;
  private long lastLease = 7000;

  private record Item(String key, String value, long revision, long createRev, long lease) {
    String json() {
      return "{\"key\":%s,\"value\":\"%s\",\"revision\":%d,\"create_rev\":%d,\"lease\":%d}"
          .formatted(Json.quote(key), value, revision, createRev, lease);
    }
  }

  private record Event(String key, long revision, String json) {}

  private record Lease(long ttlMillis, long endsAt) {}

  private record Answer(int status, String body) {}

  Store(String ip) throws IOException {
    server = HttpServer.create(new InetSocketAddress(ip, 0), 100);
    server.setExecutor(Executors.newCachedThreadPool(Main.daemon()));
    server.createContext("/", this::serve);
    server.start();
    Main.daemon()
        .newThread(
            () -> {
              while (true) {
                Main.sleep(10);
                expire();
              }
            })
        .start();
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  /** Writes an item for the operator or a worker; returns once the store has accepted it. */
  synchronized void put(String key, String value) {
    write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    notifyAll();
  }

  synchronized String read(String key) {
    Item i = items.get(key);
    return i == null ? "" : new String(Base64.getDecoder().decode(i.value()), StandardCharsets.UTF_8);
  }

  private synchronized void expire() {
    long now = System.nanoTime();
    for (Map.Entry<Long, Lease> e : List.copyOf(leases.entrySet())) {
      if (now - e.getValue().endsAt() >= 0) {
        end(e.getKey());
      }
    }
  }

  private void end(long lease) {
    leases.remove(lease);
    for (Item i : List.copyOf(items.values())) {
      if (i.lease() == lease) {
        delete(i.key());
      }
    }
    notifyAll();
  }

  private void write(String key, String value, long lease) {
    revision++;
    Item before = items.get(key);
    Item i = new Item(key, value, revision, before == null ? revision : before.createRev(), lease);
    items.put(key, i);
    history.add(new Event(key, revision, i.json()));
  }

  private void delete(String key) {
    if (items.remove(key) != null) {
      revision++;
      history.add(
          new Event(
              key,
              revision,
              "{\"key\":%s,\"revision\":%d,\"deleted\":true}".formatted(Json.quote(key), revision)));
    }
  }

  private void serve(HttpExchange call) throws IOException {
    String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Map<String, String> query = query(call);
    String path = call.getRequestURI().getPath();
    Main.sleep(4);
    Answer a;
    if (path.equals("/v1/kv-watch")) {
      a = watch(query);
    } else {
      synchronized (this) {
        a = answer(path, query, body);
        notifyAll();
      }
    }
    byte[] bytes = a.body().getBytes(StandardCharsets.UTF_8);
    try {
      call.getResponseHeaders().set("Content-Type", "application/json");
      call.sendResponseHeaders(a.status(), bytes.length == 0 ? -1 : bytes.length);
      call.getResponseBody().write(bytes);
    } catch (IOException e) {
      // The caller has left.
    }
    call.close();
  }

  private Answer answer(String path, Map<String, String> query, String body) {
    if (path.equals("/v1/kv-key")) {
      Item i = items.get(query.get("key"));
      return i == null
          ? new Answer(404, "{}")
          : new Answer(200, i.json().replaceFirst("}$", ",\"as_of\":" + revision + "}"));
    }
    if (path.equals("/v1/kv-range")) {
      String after = query.getOrDefault("after", "");
      String prefix = query.getOrDefault("prefix", "");
      List<Item> found =
          items.values().stream()
              .filter(i -> i.key().startsWith(prefix) && i.key().compareTo(after) > 0)
              .limit(501)
              .toList();
      String page = found.stream().limit(500).map(Item::json).collect(Collectors.joining(","));
      return new Answer(
          200,
          "{\"items\":[%s],\"more_pages\":%s,\"as_of\":%d}"
              .formatted(page, found.size() > 500, revision));
    }
    if (path.equals("/v1/kv-txn")) {
      return transact(body);
    }
    if (path.equals("/v1/kv-lease")) {
      long ttl = number(((Map<?, ?>) Json.read(body)).get("ttl_ms"));
      lastLease++;
      leases.put(lastLease, new Lease(ttl, System.nanoTime() + ttl * 1_000_000));
      return new Answer(200, "{\"lease\":%d,\"ttl_ms\":%d}".formatted(lastLease, ttl));
    }
    long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    Lease held = leases.get(id);
    if (held == null) {
      return new Answer(404, "{}");
    }
    if (path.startsWith("/v1/kv-keep/")) {
      leases.put(
          id, new Lease(held.ttlMillis(), System.nanoTime() + held.ttlMillis() * 1_000_000));
      return new Answer(200, "{\"ttl_ms\":%d}".formatted(held.ttlMillis()));
    }
    end(id);
    return new Answer(200, "{}");
  }

  private Answer transact(String body) {
    Map<?, ?> txn = (Map<?, ?>) Json.read(body);
    List<?> conditions = (List<?>) txn.get("if_rev");
    for (Object o : conditions) {
      Map<?, ?> c = (Map<?, ?>) o;
      Item i = items.get((String) c.get("key"));
      if ((i == null ? 0 : i.revision()) != number(c.get("revision"))) {
        String now =
            conditions.stream()
                .map(x -> items.get((String) ((Map<?, ?>) x).get("key")))
                .filter(x -> x != null)
                .map(Item::json)
                .collect(Collectors.joining(","));
        return new Answer(412, "{\"items\":[" + now + "]}");
      }
    }
    for (Object o : (List<?>) txn.get("puts")) {
      Map<?, ?> p = (Map<?, ?>) o;
      long lease = number(p.get("lease"));
      if (lease != 0 && !leases.containsKey(lease)) {
        return new Answer(404, "{}");
      }
      String key = (String) p.get("key");
      if (key.startsWith("op/") || key.startsWith("servers/")) {
        return new Answer(403, "{}");
      }
    }
    for (Object o : (List<?>) txn.get("puts")) {
      Map<?, ?> p = (Map<?, ?>) o;
      write((String) p.get("key"), (String) p.get("value"), number(p.get("lease")));
    }
    for (Object o : (List<?>) txn.get("deletes")) {
      delete((String) o);
    }
    return new Answer(200, "{\"revision\":" + revision + "}");
  }

  /** Waits for events. */
  private Answer watch(Map<String, String> query) {
    long after = Long.parseLong(query.get("after"));
    String prefix = query.getOrDefault("prefix", "");
    long endsAt = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    synchronized (this) {
      while (true) {
        String events =
            history.stream()
                .filter(e -> e.revision() > after && e.key().startsWith(prefix))
                .map(Event::json)
                .collect(Collectors.joining(","));
        long leftMillis = (endsAt - System.nanoTime()) / 1_000_000;
        if (!events.isEmpty() || leftMillis <= 0) {
          return new Answer(200, "{\"events\":[%s],\"as_of\":%d}".formatted(events, revision));
        }
        try {
          wait(leftMillis);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
    }
  }

  private static long number(Object o) {
    return ((Double) o).longValue();
  }

  private static Map<String, String> query(HttpExchange call) {
    Map<String, String> result = new HashMap<>();
    String raw = call.getRequestURI().getRawQuery();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int eq = part.indexOf('=');
        result.put(
            part.substring(0, eq),
            URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
      }
    }
    return result;
  }
}
