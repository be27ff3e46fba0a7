package org.cowslipmoor.daemon.target;

import com.google.common.base.Throwables;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.SplitHttpResponse;
import com.linecorp.armeria.common.stream.StreamMessage;
import com.linecorp.armeria.common.util.Exceptions;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.request.AttemptOutcome;
import org.cowslipmoor.core.request.AttemptOutcome.Reason;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Sends requests to targets and to other hosts, and tells how each attempt ended. */
public final class RequestSender {
  /** Header by which a target tells that it did not run a request, and why. */
  private static final String NOT_RUN = "cowslipmoor-not-run";

  private final ClientCache<WebClient> clients;

  /** How an attempt ended. */
  public sealed interface Result {

    /**
     * An answer has begun; its body may still break off.
     *
     * @param headers the answer's headers
     * @param response the whole answer, headers included, to be consumed once
     */
    record Response(ResponseHeaders headers, HttpResponse response) implements Result {}

    /** There was no answer. */
    record Failure(AttemptOutcome outcome) implements Result {}
  }

  /** Creates a client over the given connections. */
  public RequestSender(ClientFactory factory) {
    clients =
        new ClientCache<>(
            address ->
                WebClient.builder("h2c://" + address)
                    .factory(factory)
                    .maxResponseLength(0)
                    .build());
  }

  /**
   * Sends a request once; the future never fails.
   *
   * @param address where to, as {@code ip:port}
   * @param request the request; its body is consumed
   * @param timeoutNanos nanoseconds for the whole answer, more than 0
   */
  public CompletableFuture<Result> send(String address, HttpRequest request, long timeoutNanos) {
    RequestOptions options =
        RequestOptions.builder()
            .responseTimeoutMillis(Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeoutNanos)))
            .build();
    SplitHttpResponse response = clients.get(address).execute(request, options).split();
    return response
        .headers()
        .handle(
            (headers, error) ->
                error == null ? answered(headers, response) : failed(address, error));
  }

  private static Result answered(ResponseHeaders headers, SplitHttpResponse response) {
    Reason notRun = notRunReason(headers.get(NOT_RUN));
    if (notRun != null) {
      response.body().abort();
      return new Result.Failure(new AttemptOutcome.NotRun(notRun));
    }
    StreamMessage<HttpObject> trailers =
        StreamMessage.of(response.trailers().thenApply(RequestSender::trailers));
    return new Result.Response(
        headers, HttpResponse.of(headers, StreamMessage.concat(body(response), trailers)));
  }

  private static StreamMessage<HttpObject> body(SplitHttpResponse response) {
    return response.body().map((HttpData data) -> (HttpObject) data);
  }

  private static StreamMessage<HttpObject> trailers(HttpHeaders trailers) {
    return trailers.isEmpty() ? StreamMessage.of() : StreamMessage.of(trailers);
  }

  private static @Nullable Reason notRunReason(@Nullable String header) {
    return switch (header) {
      case null -> null;
      case "not-owner" -> Reason.NOT_OWNER;
      case "overloaded" -> Reason.SHED;
      case "deadline" -> Reason.DEADLINE;
      default -> Reason.UNREACHABLE;
    };
  }

  private static Result failed(String address, Throwable error) {
    AttemptOutcome outcome = outcome(error);
    Logger.debug(
        "a request to {} ended as {}: {}", address, outcome, Throwables.getRootCause(error));
    return new Result.Failure(outcome);
  }

  private static AttemptOutcome outcome(Throwable error) {
    Throwable cause = Exceptions.peel(error);
    if (cause instanceof UnprocessedRequestException) {
      return new AttemptOutcome.NotRun(Reason.UNREACHABLE);
    }
    return new AttemptOutcome.Unknown(
        cause instanceof ResponseTimeoutException ? Reason.DEADLINE : Reason.BROKEN);
  }
}
