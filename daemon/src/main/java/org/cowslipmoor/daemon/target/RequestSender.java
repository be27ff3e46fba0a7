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

/** Sends requests to targets and to other hosts, and returns the result of each attempt. */
public final class RequestSender {
  /** Response header with the reason why a target did not run a request. */
  private static final String NOT_RUN = "cowslipmoor-not-run";

  private final ClientCache<WebClient> clients;

  /** The result of an attempt. */
  public sealed interface Result {

    /**
     * A response has begun; its body may still be truncated.
     *
     * @param headers the response's headers
     * @param response the whole response, headers included, to be consumed once
     */
    record Response(ResponseHeaders headers, HttpResponse response) implements Result {}

    /** There was no response, or the target did not run the request. */
    record Failure(AttemptOutcome outcome) implements Result {}
  }

  /** Creates a sender that uses the connections of {@code factory}. */
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
   * @param address address of the target or host, as {@code ip:port}
   * @param request the request; its body is consumed
   * @param timeoutNanos timeout for the whole response, greater than 0
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
                error == null ? toResult(headers, response) : toFailure(address, error));
  }

  private static Result toResult(ResponseHeaders headers, SplitHttpResponse response) {
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

  private static Result toFailure(String address, Throwable error) {
    AttemptOutcome outcome = outcome(error);
    Logger.debug(
        "request to {} failed with outcome {}: {}",
        address,
        outcome,
        Throwables.getRootCause(error));
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
