package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.range.KeyRange;
import org.cowslipmoor.core.range.RangeTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that callers still hear "not run" from targets that reject what they don't run. */
final class TrueRejectionTest extends LoopbackGateway {
  private static final int REQUESTS = 200;
  private static final int SENDS_PER_REQUEST = 3;
  private static final int CALLERS = 8;
  private static final long TIMEOUT_SECONDS = 10;
  private static final long MAX_CLOSE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static ScriptedTarget.Script rejecting(String status) {
    return id ->
        "HTTP/1.1 %s\r\ncontent-length: 0\r\nnot-run: 1\r\nrequest-id: %s\r\n\r\n"
            .formatted(status, id);
  }

  /** Returns how many of the responses to a request's sends promise that it has not run. */
  private static int countPromises(WebClient client, String path, String id, int sends) {
    int promises = 0;
    for (int i = 0; i < sends; i++) {
      AggregatedHttpResponse response =
          send(client, HttpMethod.POST, path, "body", "key", "7", "request-id", id);
      promises += Set.of(408, 421, 429, 503).contains(response.status().code()) ? 1 : 0;
    }
    return promises;
  }

  /** Waits until at most a number of connections are open, less long than they may be idle. */
  private static void awaitOpenConnections(ScriptedTarget t, int max) throws Exception {
    long deadline = System.nanoTime() + MAX_CLOSE_NANOS;
    for (int i = 0; i < t.connections.get() - max; i++) {
      String ended = t.disconnected.poll(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
      assertThat(ended, notNullValue());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"503 Full", "429 Many", "408 Late"})
  void rejectedRequestsAreToldSoOnOneConnection(String status) throws Exception {
    ScriptedTarget t = target("t", rejecting(status));
    WebClient client = start(view("sheets", RangeTable.empty()));

    int promises = 0;
    for (int i = 0; i < REQUESTS; i++) {
      promises += countPromises(client, "/once/a", "r-" + i, 1);
    }

    assertThat(promises, is(REQUESTS));
    assertThat(t.connections.get(), is(1));
  }

  @Test
  void repeatsOfRejectedRequestsAreToldSoWithoutMoreOpenConnections() throws Exception {
    ScriptedTarget t = target("t", rejecting("503 Full"));
    WebClient client = start(view("sheets", RangeTable.empty()));

    int promises = 0;
    for (int i = 0; i < REQUESTS; i++) {
      promises += countPromises(client, "/once/a", "r-" + i, SENDS_PER_REQUEST);
    }

    assertThat(promises, is(REQUESTS * SENDS_PER_REQUEST));
    awaitOpenConnections(t, 1);
  }

  @Test
  void concurrentRejectionsAreToldSoWithoutMoreConnectionsThanCallers() throws Exception {
    ScriptedTarget t = target("t", rejecting("503 Full"));
    WebClient client = start(view("sheets", RangeTable.empty()));

    int promises = 0;
    try (ExecutorService callers = Executors.newFixedThreadPool(CALLERS)) {
      List<CompletableFuture<Integer>> counts = new ArrayList<>();
      for (int i = 0; i < REQUESTS; i++) {
        String id = "r-" + i;
        counts.add(
            CompletableFuture.supplyAsync(() -> countPromises(client, "/once/a", id, 1), callers));
      }
      for (CompletableFuture<Integer> count : counts) {
        promises += count.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      }
    }

    assertThat(promises, is(REQUESTS));
    assertThat(t.connections.get(), lessThanOrEqualTo(CALLERS));
  }

  @Test
  void requestsThatTheOwnerRejectsAreToldSoWithoutMoreOpenConnections() throws Exception {
    ScriptedTarget t = target("t", rejecting("421 Misdirected"));
    WebClient client =
        start(view("stock", RangeTable.of(1, 1, List.of(entry(t, 0, KeyRange.LAST_KEY, 1)))));

    int promises = 0;
    try (ExecutorService callers = Executors.newFixedThreadPool(CALLERS)) {
      List<CompletableFuture<Integer>> counts = new ArrayList<>();
      for (int i = 0; i < REQUESTS / CALLERS; i++) {
        String id = "r-" + i;
        counts.add(
            CompletableFuture.supplyAsync(
                () -> countPromises(client, "/keyed-once/a", id, 1), callers));
      }
      for (CompletableFuture<Integer> count : counts) {
        promises += count.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      }
    }

    assertThat(promises, is(REQUESTS / CALLERS));
    awaitOpenConnections(t, CALLERS);
  }
}
