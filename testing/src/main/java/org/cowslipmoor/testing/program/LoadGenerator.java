package org.cowslipmoor.testing.program;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import com.google.common.hash.Hashing;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.util.Exceptions;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/** Sends a bounded number of requests at a constant rate and checks the responses. */
final class LoadGenerator {
  private static final long DEADLINE_MS = 8_000;
  private static final long RESPONSE_GRACE_MS = 2_000;
  private static final long MAX_DRAIN_SECONDS = 60;
  private static final long RETRY_DELAY_MS = 20;

  /** Delay between the chunks of a large response, so that it takes about one second. */
  private static final long CHUNK_DELAY_MS = 50;

  private static final int SMALL_RESPONSE_BYTES = 200;
  private static final int LARGE_RESPONSE_BYTES = 300_000;
  private static final int KEY_COUNT = 500;
  private static final int HOT_KEY_COUNT = 5;
  private static final double HOT_SHARE = 0.2;
  private static final double POST_SHARE = 0.2;
  private static final double LARGE_RESPONSE_SHARE = 0.05;

  private final ReadyHostSelector hosts;
  private final List<ServiceSpec> serviceSpecs;
  private final SplittableRandom random;
  private final LoadReport report = new LoadReport();
  private final List<CompletableFuture<?>> pending = new ArrayList<>();
  private final long seed;
  private long lastId;

  /**
   * A service to send requests to.
   *
   * @param service its name
   * @param keyed whether its requests have keys
   * @param once whether none of its requests may be repeated
   */
  record ServiceSpec(String service, boolean keyed, boolean once) {
    static ServiceSpec parse(String text) {
      List<String> parts = Splitter.on(':').splitToList(text);
      checkArgument(
          parts.size() == 2 || parts.size() == 3,
          "a service must be name:keyed or name:free, optionally followed by :once, but is '%s'",
          text);
      return new ServiceSpec(
          parts.get(0),
          parts.get(1).equals("keyed"),
          parts.size() == 3 && parts.get(2).equals("once"));
    }
  }

  /**
   * A request that was sent.
   *
   * @param id its id
   * @param key its key; empty if it has none
   * @param bytes requested size of the response, in bytes
   * @param sent time when it was sent, in nanoseconds
   * @param headers its headers
   */
  private record SentRequest(String id, String key, int bytes, long sent, RequestHeaders headers) {}

  LoadGenerator(List<String> addresses, List<ServiceSpec> serviceSpecs, long seed) {
    ClientFactory factory = ClientFactory.builder().workerGroup(2).build();
    this.hosts =
        new ReadyHostSelector(
            addresses, factory, Duration.ofMillis(DEADLINE_MS + RESPONSE_GRACE_MS));
    this.serviceSpecs = serviceSpecs;
    this.random = new SplittableRandom(seed);
    this.seed = seed;
  }

  /**
   * Sends requests at a constant rate, then waits for the remaining responses.
   *
   * @param seconds the time to send for, in seconds
   * @param rate requests per second
   */
  void send(int seconds, int rate) {
    long start = System.nanoTime();
    long total = (long) seconds * rate;
    for (long i = 0; i < total; i++) {
      long due = start + i * TimeUnit.SECONDS.toNanos(1) / rate;
      LockSupport.parkNanos(due - System.nanoTime());
      sendRequest();
    }
    CompletableFuture.allOf(pending.toArray(new CompletableFuture<?>[0]))
        .orTimeout(MAX_DRAIN_SECONDS, TimeUnit.SECONDS)
        .join();
    hosts.close();
  }

  LoadReport report() {
    return report;
  }

  private synchronized void sendRequest() {
    ServiceSpec spec = serviceSpecs.get(random.nextInt(serviceSpecs.size()));
    boolean hot = random.nextDouble() < HOT_SHARE;
    String key = "key-" + random.nextInt(hot ? HOT_KEY_COUNT : KEY_COUNT);
    final boolean post = random.nextDouble() < POST_SHARE;
    int bytes =
        random.nextDouble() < LARGE_RESPONSE_SHARE ? LARGE_RESPONSE_BYTES : SMALL_RESPONSE_BYTES;
    lastId++;
    String id = "load-" + seed + "-" + lastId;
    RequestHeadersBuilder headers =
        RequestHeaders.builder(
                post ? HttpMethod.POST : HttpMethod.GET, "/v1/services/" + spec.service() + "/item")
            .add("cowslipmoor-request-id", id)
            .add("cowslipmoor-deadline-ms", Long.toString(DEADLINE_MS))
            .add("cowslipmoor-answer-bytes", Integer.toString(bytes));
    if (spec.keyed()) {
      headers.add("cowslipmoor-key", key);
    }
    if (bytes == LARGE_RESPONSE_BYTES) {
      headers.add("cowslipmoor-chunk-delay-ms", Long.toString(CHUNK_DELAY_MS));
    }
    if (post) {
      headers.add("cowslipmoor-repeatable", "false");
    }
    report.recordSent(id, post || spec.once());
    SentRequest request =
        new SentRequest(id, spec.keyed() ? key : "", bytes, System.nanoTime(), headers.build());
    CompletableFuture<Void> completion = new CompletableFuture<>();
    pending.add(completion);
    attempt(request, completion);
  }

  private void attempt(SentRequest request, CompletableFuture<Void> completion) {
    HttpData body =
        request.headers().method() == HttpMethod.POST
            ? HttpData.ofUtf8(request.id())
            : HttpData.empty();
    select()
        .execute(HttpRequest.of(request.headers(), body))
        .aggregate()
        .handle(
            (response, error) -> {
              long waited = System.nanoTime() - request.sent();
              boolean beforeDeadline = waited < TimeUnit.MILLISECONDS.toNanos(DEADLINE_MS);
              if (wasNotProcessed(error) && beforeDeadline) {
                // No host processed the request, so the load balancer retries it at another one.
                CompletableFuture.delayedExecutor(RETRY_DELAY_MS, TimeUnit.MILLISECONDS)
                    .execute(() -> attempt(request, completion));
              } else {
                check(request, waited, response, error);
                completion.complete(null);
              }
              return beforeDeadline;
            });
  }

  private static boolean wasNotProcessed(@Nullable Throwable error) {
    return error != null && Exceptions.peel(error) instanceof UnprocessedRequestException;
  }

  private synchronized WebClient select() {
    return hosts.select(random);
  }

  private void check(
      SentRequest request,
      long nanos,
      @Nullable AggregatedHttpResponse response,
      @Nullable Throwable error) {
    final String id = request.id();
    report.recordWait(TimeUnit.NANOSECONDS.toMillis(nanos));
    if (response == null) {
      report.recordRejection(
          id, "connection: " + (error == null ? "" : error.getClass().getSimpleName()), "unknown");
      return;
    }
    String code = response.headers().get("cowslipmoor-result", "none");
    if (!code.equals("0")) {
      report.recordRejection(id, code, response.headers().get("cowslipmoor-effect", "none"));
    } else if (isComplete(id, request.key(), request.bytes(), response)) {
      report.recordResponse(id, TimeUnit.NANOSECONDS.toMicros(nanos));
    } else {
      report.recordInvalidResponse(id);
    }
  }

  private static boolean isComplete(
      String id, String key, int bytes, AggregatedHttpResponse response) {
    byte[] body = response.content().array();
    String digest = Hashing.murmur3_128().hashBytes(body).toString();
    byte[] start = (id + "|" + key + "|").getBytes(StandardCharsets.UTF_8);
    if (body.length != bytes
        || !digest.equals(response.headers().get("cowslipmoor-answer-digest"))) {
      return false;
    }
    for (int i = 0; i < start.length; i++) {
      if (body[i] != start[i]) {
        return false;
      }
    }
    return true;
  }
}
