import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients behind the platform's balancer: it asks each host once a second whether it is ready,
 * takes a host out after two misses, and uses all hosts while fewer than half are in.
 */
final class Clients {
  private final Record record;
  private final List<Host> hosts = new CopyOnWriteArrayList<>();
  private final Map<Host, Integer> misses = new ConcurrentHashMap<>();
  private final AtomicLong lastId = new AtomicLong();
  private volatile boolean stopped;

  Clients(Record record) {
    this.record = record;
    Main.daemon().newThread(this::checkReadiness).start();
  }

  void add(Host h) {
    misses.put(h, 2);
    hosts.add(h);
  }

  void remove(Host h) {
    hosts.remove(h);
  }

  boolean isIn(Host h) {
    return misses.getOrDefault(h, 2) < 2;
  }

  void stop() {
    stopped = true;
  }

  /** Starts clients that each send a request every {@code gapMillis}, on kept connections. */
  void start(int count, int gapMillis, String method, String path, int deadlineMillis) {
    for (int i = 0; i < count; i++) {
      Main.daemon().newThread(() -> run(gapMillis, method, path, deadlineMillis)).start();
    }
  }

  private void run(int gapMillis, String method, String path, int deadlineMillis) {
    Connection kept = null;
    Host host = null;
    int used = 0;
    Main.sleep(ThreadLocalRandom.current().nextInt(gapMillis));
    while (!stopped) {
      String id = "q" + lastId.incrementAndGet();
      long sentAt = record.now();
      int status = 0;
      try {
        if (kept == null || ++used % 8 == 0) {
          if (kept != null) {
            kept.close();
          }
          host = choose();
          kept = host == null ? null : new Connection(host.front());
        }
        if (kept != null) {
          record.onSent(id, host.name);
          String body = method.equals("GET") ? "" : "order";
          kept.write(
              method + " " + path + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                  + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nX-Shard-Key: "
                  + ThreadLocalRandom.current().nextInt(65_536) + "\r\n"
                  + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
                  + "\r\n" + body);
          status = kept.readStatus(deadlineMillis);
        }
      } catch (IOException e) {
        status = 0;
      }
      record.onAnswer(sentAt, id, host == null ? "-" : host.name, status);
      if (kept != null && (status == 0 || !kept.mayBeReused())) {
        kept.close();
        kept = null;
      }
      Main.sleep(gapMillis);
    }
  }

  private Host choose() {
    List<Host> in = new ArrayList<>();
    for (Host h : hosts) {
      if (isIn(h)) {
        in.add(h);
      }
    }
    List<Host> from = 2 * in.size() < hosts.size() ? List.copyOf(hosts) : in;
    return from.isEmpty() ? null : from.get(ThreadLocalRandom.current().nextInt(from.size()));
  }

  private void checkReadiness() {
    while (true) {
      for (Host h : hosts) {
        misses.put(h, h.isReady() ? 0 : misses.getOrDefault(h, 0) + 1);
      }
      Main.sleep(1_000);
    }
  }
}
