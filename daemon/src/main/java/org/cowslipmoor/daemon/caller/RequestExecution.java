package org.cowslipmoor.daemon.caller;

import com.google.common.net.HostAndPort;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.core.configuration.Priority;
import org.cowslipmoor.core.configuration.Service;
import org.cowslipmoor.core.configuration.Target;
import org.cowslipmoor.core.ownership.ShardId;
import org.cowslipmoor.core.request.AttemptOutcome;
import org.cowslipmoor.core.request.ResultCode;
import org.cowslipmoor.core.request.RetryPolicy;
import org.cowslipmoor.core.request.Route;
import org.cowslipmoor.core.request.Router;
import org.cowslipmoor.daemon.target.RequestSender.Result;
import org.cowslipmoor.daemon.target.TargetAddresses;
import org.cowslipmoor.daemon.target.TargetLimiter;
import org.cowslipmoor.daemon.target.TargetLimiter.Completion;
import org.tinylog.Logger;

/** Executes a caller's request: makes its attempts and responds or rejects it. Used once. */
final class RequestExecution {
  private static final String SHARD = "cowslipmoor-shard";
  private static final String FENCE = "cowslipmoor-fence";
  private static final long OWNER_POLL_INTERVAL_NANOS = 10_000_000L;

  private final RequestDependencies dependencies;
  private final ServiceRequestContext ctx;
  private final CallerRequest request;
  private final boolean repeatable;
  private final Priority priority;
  private final long deadline;
  private final Body body;
  private final CompletableFuture<HttpResponse> result = new CompletableFuture<>();
  private int attempts;
  private boolean mayHaveRun;
  private boolean holdsWaitingPermit;

  RequestExecution(
      RequestDependencies dependencies,
      ServiceRequestContext ctx,
      CallerRequest request,
      Service service,
      long deadline,
      Body body) {
    this.dependencies = dependencies;
    this.ctx = ctx;
    this.request = request;
    this.repeatable = request.mayRepeat(service);
    this.priority = service.priority();
    this.deadline = deadline;
    this.body = body;
  }

  /** Starts the request; the returned future never fails. */
  CompletableFuture<HttpResponse> run() {
    dependencies.retries().onRequest();
    dependencies.metrics().counter("requests").inc();
    proceed();
    return result;
  }

  private void proceed() {
    runOrReject(this::step);
  }

  private void runOrReject(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      Logger.error(e, "request {} failed with an unexpected exception", request.id());
      reject(ResultCode.INTERNAL_ERROR, "internal error of the host");
    }
  }

  private void step() {
    if (ctx.isCancelled()) {
      reject(ResultCode.DEADLINE_NOT_MET, "the caller disconnected");
      return;
    }
    long now = System.nanoTime();
    if (deadline - now <= 0) {
      reject(ResultCode.DEADLINE_NOT_MET, "the deadline passed before the request was sent");
      return;
    }
    switch (route(now)) {
      case Route.Reject r -> reject(r.code(), r.reason());
      case Route.Wait r -> awaitOwner(r.code());
      case Route.ToHome r -> forward(r.hosts());
      case Route.ToAny r -> sendToAny(r.targets());
      case Route.ToOwner r -> sendToOwner(r);
    }
  }

  private Route route(long now) {
    return Router.route(
        dependencies.view(), now, request.service(), request.key(), request.forwarded());
  }

  private void awaitOwner(ResultCode code) {
    if (deadline - System.nanoTime() <= OWNER_POLL_INTERVAL_NANOS) {
      reject(code, "the owner of the key was not determined before the deadline");
      return;
    }
    if (!holdsWaitingPermit) {
      if (!dependencies.waiting().tryAcquire()) {
        reject(ResultCode.OVERLOADED, "too many requests are waiting for the owners of their keys");
        return;
      }
      holdsWaitingPermit = true;
    }
    proceedAfter(OWNER_POLL_INTERVAL_NANOS);
  }

  private void proceedAfter(long delayNanos) {
    dependencies
        .timer()
        .schedule(() -> ctx.eventLoop().execute(this::proceed), delayNanos, TimeUnit.NANOSECONDS);
  }

  private void sendToOwner(Route.ToOwner route) {
    Target owner = route.target();
    String queue = "target/" + owner.id();
    submit(queue, List.of(owner), target -> sendFenced(queue, route));
  }

  private void sendFenced(String queue, Route.ToOwner route) {
    ShardId shard = route.shard();
    // The request is counted before the route is checked again. A host that reports a revoked shard
    // as idle has therefore either published the revocation before this check, or sees this count.
    dependencies.activity().begin(shard);
    if (!route(System.nanoTime()).equals(route)) {
      dependencies.activity().end(shard);
      dependencies.limiter().release(queue, route.target(), Completion.OTHER, System.nanoTime());
      proceedAfter(0);
      return;
    }
    RequestHeadersBuilder headers = headers();
    headers.set(SHARD, Integer.toString(shard.index()));
    headers.set(FENCE, route.fence().epoch() + "." + route.fence().sequence());
    send(queue, route.target(), headers.build(), () -> dependencies.activity().end(shard));
  }

  private void sendToAny(List<Target> targets) {
    String queue = "service/" + request.service();
    submit(queue, targets, target -> send(queue, target, headers().build(), () -> {}));
  }

  private void submit(String queue, List<Target> targets, Consumer<Target> onAssigned) {
    releaseWaitingPermit();
    dependencies
        .limiter()
        .submit(
            new TargetLimiter.PendingRequest(
                queue,
                targets,
                priority,
                deadline,
                target ->
                    ctx.eventLoop().execute(() -> runOrReject(() -> onAssigned.accept(target))),
                () -> proceedAfter(0),
                () ->
                    reject(
                        ResultCode.OVERLOADED,
                        "no capacity at the targets: the queue is full or the deadline passed")),
            System.nanoTime());
  }

  private void send(String queue, Target target, RequestHeaders headers, Runnable onEnd) {
    Consumer<Completion> onCompleted =
        completion -> {
          dependencies.limiter().release(queue, target, completion, System.nanoTime());
          onEnd.run();
        };
    attempt(TargetAddresses.of(target), headers, onCompleted);
  }

  private void forward(List<Member> hosts) {
    if (hosts.isEmpty()) {
      reject(ResultCode.HOME_UNREACHABLE, "the key's home data centre has no hosts");
      return;
    }
    Member host = dependencies.hosts().choose(hosts, System.nanoTime());
    RequestHeaders headers =
        headers().path(ctx.request().path()).set(CallerRequest.FORWARDED, "1").build();
    attempt(
        HostAndPort.fromParts(host.ip(), host.callerPort()).toString(),
        headers,
        completion -> dependencies.hosts().recordOutcome(host, completion, System.nanoTime()));
  }

  private RequestHeadersBuilder headers() {
    RequestHeadersBuilder headers = ctx.request().headers().toBuilder();
    headers.remove(HttpHeaderNames.HOST);
    headers.remove(HttpHeaderNames.AUTHORITY);
    // Only this host sets the grant under which a request is sent; callers can't claim one.
    headers.remove(SHARD);
    headers.remove(FENCE);
    headers.path(request.path());
    headers.set("cowslipmoor-service", request.service());
    headers.set(CallerRequest.REQUEST_ID, request.id());
    long remainingMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime()));
    headers.set(CallerRequest.DEADLINE, Long.toString(remainingMillis));
    headers.set(CallerRequest.REPEATABLE, Boolean.toString(repeatable));
    return headers;
  }

  private void attempt(String address, RequestHeaders headers, Consumer<Completion> onCompleted) {
    releaseWaitingPermit();
    attempts++;
    HttpRequest outgoing = body.with(headers);
    long timeoutNanos = deadline - System.nanoTime();
    dependencies
        .requests()
        .send(address, outgoing, timeoutNanos)
        .thenAccept(
            r -> {
              switch (r) {
                case Result.Response a -> respond(a, onCompleted);
                case Result.Failure f -> {
                  onCompleted.accept(toCompletion(f.outcome()));
                  onFailure(f.outcome());
                }
              }
            });
  }

  private void respond(Result.Response a, Consumer<Completion> onCompleted) {
    ResponseHeaders headers = a.headers();
    if (isFromUnreadyHost(headers)) {
      a.response().abort();
      onCompleted.accept(
          hasResult(headers, ResultCode.STOPPING) ? Completion.STOPPING : Completion.OTHER);
      onFailure(new AttemptOutcome.NotRun(AttemptOutcome.Reason.NOT_OWNER));
      return;
    }
    a.response()
        .whenComplete()
        .whenComplete(
            (unused, error) ->
                onCompleted.accept(error == null ? Completion.RESPONDED : Completion.OTHER));
    if (!headers.contains(Rejections.RESULT)) {
      headers = headers.toBuilder().add(Rejections.RESULT, "0").build();
    }
    dependencies.metrics().counter("answers").inc();
    ResponseHeaders sent = headers;
    result.complete(a.response().mapHeaders(unused -> sent));
  }

  /**
   * Returns whether the response comes from a host to which the request was forwarded and which
   * lacks the state to serve it, or is stopping.
   */
  private static boolean isFromUnreadyHost(ResponseHeaders headers) {
    return hasResult(headers, ResultCode.NO_CONFIGURATION)
        || hasResult(headers, ResultCode.UNKNOWN_SERVICE)
        || hasResult(headers, ResultCode.NOT_HOME)
        || hasResult(headers, ResultCode.STOPPING);
  }

  private static boolean hasResult(ResponseHeaders headers, ResultCode code) {
    return headers.get(Rejections.RESULT, "").equals(Integer.toString(code.number()));
  }

  private static Completion toCompletion(AttemptOutcome outcome) {
    AttemptOutcome.Reason reason =
        switch (outcome) {
          case AttemptOutcome.NotRun o -> o.reason();
          case AttemptOutcome.Unknown o -> o.reason();
        };
    return switch (reason) {
      case SHED -> Completion.SHED;
      case DEADLINE -> Completion.TIMED_OUT;
      case UNREACHABLE, BROKEN -> Completion.FAILED;
      case NOT_OWNER -> Completion.OTHER;
    };
  }

  private void onFailure(AttemptOutcome outcome) {
    mayHaveRun |= outcome instanceof AttemptOutcome.Unknown;
    long remainingNanos = deadline - System.nanoTime();
    OptionalLong delay =
        body instanceof Body.Streamed
            ? OptionalLong.empty()
            : RetryPolicy.nextDelayNanos(
                outcome,
                repeatable,
                attempts,
                remainingNanos,
                dependencies.retries(),
                ThreadLocalRandom.current());
    if (delay.isPresent()) {
      dependencies.metrics().counter("retries").inc();
      proceedAfter(delay.getAsLong());
    } else {
      reject(RetryPolicy.resultCode(outcome), "the last attempt ended with " + outcome);
    }
  }

  private void reject(ResultCode code, String reason) {
    releaseWaitingPermit();
    // A repeatable request may have run in an earlier attempt, so it can't be reported as not run.
    boolean unknown = mayHaveRun && code.effect() == ResultCode.Effect.NOT_RUN;
    ResultCode reported = unknown ? ResultCode.TARGET_FAILED : code;
    dependencies.metrics().counter("refusals." + reported.number()).inc();
    result.complete(Rejections.of(reported, reason));
  }

  private void releaseWaitingPermit() {
    if (holdsWaitingPermit) {
      holdsWaitingPermit = false;
      dependencies.waiting().release();
    }
  }
}
