package org.cowslipmoor.testing.program;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Acts as the platform's load balancer: polls the readiness of each host and selects a random one
 * of those that are ready. Thread-safe.
 */
final class ReadyHostSelector implements AutoCloseable {
  private static final long CHECK_INTERVAL_MS = 100;
  private static final Duration CHECK_TIMEOUT = Duration.ofSeconds(2);

  private final List<Host> hosts = new ArrayList<>();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

  ReadyHostSelector(List<String> addresses, ClientFactory factory, Duration requestTimeout) {
    for (String address : addresses) {
      hosts.add(
          new Host(
              client(address, factory, requestTimeout), client(address, factory, CHECK_TIMEOUT)));
    }
    timer.scheduleWithFixedDelay(
        () -> hosts.forEach(Host::check), 0, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Returns the client of a random ready host, or of any host when none is ready. */
  WebClient select(RandomGenerator random) {
    List<Host> ready = hosts.stream().filter(h -> h.ready).toList();
    List<Host> candidates = ready.isEmpty() ? hosts : ready;
    return candidates.get(random.nextInt(candidates.size())).requestClient;
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }

  private static WebClient client(String address, ClientFactory factory, Duration timeout) {
    return WebClient.builder("h2c://" + address)
        .factory(factory)
        .responseTimeout(timeout)
        .maxResponseLength(0)
        .build();
  }

  private static final class Host {
    final WebClient requestClient;
    private final WebClient checkClient;
    volatile boolean ready = true;
    private volatile boolean checkInProgress;

    Host(WebClient requestClient, WebClient checkClient) {
      this.requestClient = requestClient;
      this.checkClient = checkClient;
    }

    void check() {
      if (checkInProgress) {
        return;
      }
      checkInProgress = true;
      checkClient
          .get("/health/ready")
          .aggregate()
          .handle(
              (response, error) -> {
                ready = error == null && response.status().equals(HttpStatus.OK);
                checkInProgress = false;
                return ready;
              });
    }
  }
}
