package org.cowslipmoor.testing.target;

import com.google.common.base.Splitter;
import com.google.common.hash.Hashing;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.ShardId;
import org.jspecify.annotations.Nullable;

/**
 * Responds to the requests of a target stand-in. A response's body begins with the request's id and
 * key; its headers contain a digest of the whole body. Headers of the request set the response's
 * size, a delay between its chunks, additional work, or a number of bytes after which the response
 * is cut.
 */
final class TargetRequestService implements HttpService {
  private static final int DEFAULT_RESPONSE_BYTES = 200;
  private static final int MAX_RESPONSE_BYTES = 16 << 20;
  private static final int CHUNK_BYTES = 16 << 10;
  private static final long DEFAULT_DEADLINE_MS = 60_000;

  private final TargetRequestExecutor executor;
  private final ScheduledExecutorService timer;

  TargetRequestService(TargetRequestExecutor executor, ScheduledExecutorService timer) {
    this.executor = executor;
    this.timer = timer;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext ctx, HttpRequest req) {
    return HttpResponse.of(req.aggregate().thenCompose(request -> respond(ctx, request)));
  }

  private CompletableFuture<HttpResponse> respond(
      ServiceRequestContext ctx, AggregatedHttpRequest request) {
    CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    RequestHeaders headers = request.headers();
    long now = System.nanoTime();
    long deadline =
        now
            + TimeUnit.MILLISECONDS.toNanos(
                headerValue(headers, "deadline-ms", DEFAULT_DEADLINE_MS));
    TargetRequestExecutor.Task task =
        new TargetRequestExecutor.Task(
            headers.get("cowslipmoor-request-id", ""),
            serviceKey(headers),
            claim(headers),
            deadline,
            TimeUnit.MILLISECONDS.toNanos(headerValue(headers, "work-ms", 0)),
            outcome -> result.complete(toResponse(outcome, request)));
    timer.schedule(() -> submit(ctx, task, result), executor.frozenFor(now), TimeUnit.NANOSECONDS);
    return result;
  }

  private void submit(
      ServiceRequestContext ctx,
      TargetRequestExecutor.Task task,
      CompletableFuture<HttpResponse> result) {
    if (ctx.isCancelled()) {
      result.complete(rejection("cancelled"));
      return;
    }
    executor.submit(task, System.nanoTime());
  }

  private HttpResponse toResponse(
      TargetRequestExecutor.Outcome outcome, AggregatedHttpRequest whole) {
    return switch (outcome) {
      case DONE -> completedResponse(whole);
      case NOT_OWNER -> rejection("not-owner");
      case OVERLOADED -> rejection("overloaded");
      case DEADLINE -> rejection("deadline");
      case LAPSED ->
          HttpResponse.ofFailure(
              new IllegalStateException("the grant expired while the request was in progress"));
    };
  }

  private static HttpResponse rejection(String reason) {
    return HttpResponse.of(
        ResponseHeaders.of(HttpStatus.SERVICE_UNAVAILABLE, "cowslipmoor-not-run", reason));
  }

  private HttpResponse completedResponse(AggregatedHttpRequest whole) {
    RequestHeaders request = whole.headers();
    final byte[] body = body(request);
    ResponseHeaders headers =
        ResponseHeaders.builder(HttpStatus.OK)
            .add("cowslipmoor-answer-digest", Hashing.murmur3_128().hashBytes(body).toString())
            .add("cowslipmoor-request-bytes", Integer.toString(whole.content().length()))
            .build();
    long cutAfterBytes = headerValue(request, "break-at-bytes", 0);
    long chunkDelayMs = headerValue(request, "chunk-delay-ms", 0);
    if (cutAfterBytes == 0 && chunkDelayMs == 0) {
      return HttpResponse.of(headers, HttpData.wrap(body));
    }
    HttpResponseWriter writer = HttpResponse.streaming();
    writer.write(headers);
    writeChunk(writer, body, 0, cutAfterBytes, chunkDelayMs);
    return writer;
  }

  private void writeChunk(
      HttpResponseWriter writer, byte[] body, int from, long cutAfterBytes, long chunkDelayMs) {
    if (from >= body.length) {
      writer.close();
      return;
    }
    int to = Math.min(body.length, from + CHUNK_BYTES);
    boolean written = writer.tryWrite(HttpData.copyOf(body, from, to - from));
    if (!written) {
      return;
    }
    if (cutAfterBytes > 0 && to >= cutAfterBytes) {
      writer.close(
          new IllegalStateException(
              "the response is cut as requested, after " + to + " of " + body.length + " bytes"));
      return;
    }
    timer.schedule(
        () -> writeChunk(writer, body, to, cutAfterBytes, chunkDelayMs),
        chunkDelayMs,
        TimeUnit.MILLISECONDS);
  }

  private static byte[] body(RequestHeaders request) {
    byte[] start =
        (request.get("cowslipmoor-request-id", "") + "|" + request.get("cowslipmoor-key", "") + "|")
            .getBytes(StandardCharsets.UTF_8);
    int requestedBytes =
        (int)
            Math.min(
                MAX_RESPONSE_BYTES, headerValue(request, "answer-bytes", DEFAULT_RESPONSE_BYTES));
    byte[] body = new byte[Math.max(start.length, requestedBytes)];
    System.arraycopy(start, 0, body, 0, start.length);
    for (int i = start.length; i < body.length; i++) {
      body[i] = (byte) ('a' + i % 26);
    }
    return body;
  }

  private static long headerValue(RequestHeaders headers, String name, long defaultValue) {
    return headers.getLong("cowslipmoor-" + name, defaultValue);
  }

  /**
   * Returns the key, prefixed with its service because services may use the same keys; empty
   * without a key.
   */
  private static String serviceKey(RequestHeaders headers) {
    String key = headers.get("cowslipmoor-key");
    return key == null ? "" : headers.get("cowslipmoor-service", "") + "/" + key;
  }

  private static TargetRequestExecutor.@Nullable Claim claim(RequestHeaders headers) {
    String shard = headers.get("cowslipmoor-shard");
    String fence = headers.get("cowslipmoor-fence");
    if (shard == null || fence == null) {
      return null;
    }
    List<String> parts = Splitter.on('.').splitToList(fence);
    return new TargetRequestExecutor.Claim(
        new ShardId(headers.get("cowslipmoor-service", ""), Integer.parseInt(shard)),
        new Fence(Long.parseLong(parts.get(0)), Long.parseLong(parts.get(1))));
  }
}
