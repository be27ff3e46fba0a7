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

/** Takes one caller's request through its attempts to its answer or refusal. Used once. */
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
  private boolean waiting;

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

  /** Starts the request; the future never fails. */
  CompletableFuture<HttpResponse> run() {
    dependencies.retries().onRequest();
    dependencies.metrics().counter("requests").inc();
    proceed();
    return result;
  }

  private void proceed() {
    logExceptions(this::step);
  }

  private void logExceptions(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      Logger.error(e, "request {} failed", request.id());
      reject(ResultCode.INTERNAL_ERROR, "the host failed");
    }
  }

  private void step() {
    if (ctx.isCancelled()) {
      reject(ResultCode.DEADLINE_NOT_MET, "the caller has gone");
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
      reject(code, "the owner of the key was not settled before the deadline");
      return;
    }
    if (!waiting) {
      if (!dependencies.waiting().tryAcquire()) {
        reject(ResultCode.OVERLOADED, "too many requests wait for the owners of their keys");
        return;
      }
      waiting = true;
    }
    later(OWNER_POLL_INTERVAL_NANOS);
  }

  private void later(long delayNanos) {
    dependencies
        .timer()
        .schedule(() -> ctx.eventLoop().execute(this::proceed), delayNanos, TimeUnit.NANOSECONDS);
  }

  private void sendToOwner(Route.ToOwner route) {
    Target owner = route.target();
    String queue = "target/" + owner.id();
    enter(queue, List.of(owner), target -> sendFenced(queue, route));
  }

  private void sendFenced(String queue, Route.ToOwner route) {
    ShardId shard = route.shard();
    // Counted before the route is looked up again: a host that reports a withdrawn shard as idle
    // has either published the withdrawal before this look, or sees this request's count.
    dependencies.activity().begin(shard);
    if (!route(System.nanoTime()).equals(route)) {
      dependencies.activity().end(shard);
      dependencies.limiter().release(queue, route.target(), Completion.OTHER, System.nanoTime());
      later(0);
      return;
    }
    RequestHeadersBuilder headers = headers();
    headers.set(SHARD, Integer.toString(shard.index()));
    headers.set(FENCE, route.fence().epoch() + "." + route.fence().sequence());
    send(queue, route.target(), headers.build(), () -> dependencies.activity().end(shard));
  }

  private void sendToAny(List<Target> targets) {
    String queue = "service/" + request.service();
    enter(queue, targets, target -> send(queue, target, headers().build(), () -> {}));
  }

  private void enter(String queue, List<Target> targets, Consumer<Target> onAssigned) {
    stopWaiting();
    dependencies
        .limiter()
        .submit(
            new TargetLimiter.PendingRequest(
                queue,
                targets,
                priority,
                deadline,
                target ->
                    ctx.eventLoop().execute(() -> logExceptions(() -> onAssigned.accept(target))),
                () -> later(0),
                () -> reject(ResultCode.OVERLOADED, "no capacity before the deadline")),
            System.nanoTime());
  }

  private void send(String queue, Target target, RequestHeaders headers, Runnable whenOver) {
    Consumer<Completion> over =
        how -> {
          dependencies.limiter().release(queue, target, how, System.nanoTime());
          whenOver.run();
        };
    attempt(TargetAddresses.of(target), headers, over);
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
        how -> dependencies.hosts().recordOutcome(host, how, System.nanoTime()));
  }

  private RequestHeadersBuilder headers() {
    RequestHeadersBuilder headers = ctx.request().headers().toBuilder();
    headers.remove(HttpHeaderNames.HOST);
    headers.remove(HttpHeaderNames.AUTHORITY);
    // Only this host says which grant a request relies on.
    headers.remove(SHARD);
    headers.remove(FENCE);
    headers.path(request.path());
    headers.set("cowslipmoor-service", request.service());
    headers.set(CallerRequest.REQUEST_ID, request.id());
    long left = Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime()));
    headers.set(CallerRequest.DEADLINE, Long.toString(left));
    headers.set(CallerRequest.REPEATABLE, Boolean.toString(repeatable));
    return headers;
  }

  private void attempt(String address, RequestHeaders headers, Consumer<Completion> over) {
    stopWaiting();
    attempts++;
    HttpRequest outgoing = body.with(headers);
    long timeout = deadline - System.nanoTime();
    dependencies
        .requests()
        .send(address, outgoing, timeout)
        .thenAccept(
            r -> {
              switch (r) {
                case Result.Response a -> answer(a, over);
                case Result.Failure f -> {
                  over.accept(leave(f.outcome()));
                  onFailure(f.outcome());
                }
              }
            });
  }

  private void answer(Result.Response a, Consumer<Completion> over) {
    ResponseHeaders headers = a.headers();
    if (isFromUnreadyHost(headers)) {
      a.response().abort();
      over.accept(hasResult(headers, ResultCode.STOPPING) ? Completion.STOPPING : Completion.OTHER);
      onFailure(new AttemptOutcome.NotRun(AttemptOutcome.Reason.NOT_OWNER));
      return;
    }
    a.response()
        .whenComplete()
        .whenComplete(
            (unused, error) -> over.accept(error == null ? Completion.ANSWERED : Completion.OTHER));
    if (!headers.contains(Rejections.RESULT)) {
      headers = headers.toBuilder().add(Rejections.RESULT, "0").build();
    }
    dependencies.metrics().counter("answers").inc();
    ResponseHeaders sent = headers;
    result.complete(a.response().mapHeaders(unused -> sent));
  }

  /** Tells whether a host that the request was forwarded to has no state yet, or is stopping. */
  private static boolean isFromUnreadyHost(ResponseHeaders headers) {
    return hasResult(headers, ResultCode.NO_CONFIGURATION)
        || hasResult(headers, ResultCode.UNKNOWN_SERVICE)
        || hasResult(headers, ResultCode.NOT_HOME)
        || hasResult(headers, ResultCode.STOPPING);
  }

  private static boolean hasResult(ResponseHeaders headers, ResultCode code) {
    return headers.get(Rejections.RESULT, "").equals(Integer.toString(code.number()));
  }

  private static Completion leave(AttemptOutcome outcome) {
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
    long left = deadline - System.nanoTime();
    OptionalLong delay =
        body instanceof Body.Streamed
            ? OptionalLong.empty()
            : RetryPolicy.nextDelayNanos(
                outcome,
                repeatable,
                attempts,
                left,
                dependencies.retries(),
                ThreadLocalRandom.current());
    if (delay.isPresent()) {
      dependencies.metrics().counter("retries").inc();
      later(delay.getAsLong());
    } else {
      reject(RetryPolicy.resultCode(outcome), "the last attempt ended with " + outcome);
    }
  }

  private void reject(ResultCode code, String reason) {
    stopWaiting();
    // A repeatable request may have run in an earlier attempt: "not run" would not be true.
    boolean unknown = mayHaveRun && code.effect() == ResultCode.Effect.NOT_RUN;
    ResultCode told = unknown ? ResultCode.TARGET_FAILED : code;
    dependencies.metrics().counter("refusals." + told.number()).inc();
    result.complete(Rejections.of(told, reason));
  }

  private void stopWaiting() {
    if (waiting) {
      waiting = false;
      dependencies.waiting().release();
    }
  }
}
