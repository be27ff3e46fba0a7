package org.cowslipmoor.daemon.gateway;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.admission.Placement;
import org.cowslipmoor.core.admission.RequestRequirements;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.request.ResultCode;
import org.cowslipmoor.core.routing.RouteEntry;
import org.cowslipmoor.core.routing.RouteRule;
import org.cowslipmoor.core.routing.RoutingConfiguration;
import org.cowslipmoor.core.routing.ServiceDescription;
import org.cowslipmoor.core.routing.UnusableRoute;
import org.cowslipmoor.daemon.caller.Rejections;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Processes one request of a caller: chooses targets, makes attempts, and relays the response or
 * rejects the request. Not reusable; confined to the event loop.
 */
final class GatewayExchange implements RequestBody.Listener {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Maximum time that a request waits until its key has an owner. */
  private static final long MAX_OWNER_WAIT_NANOS = 400 * NANOS_PER_MILLI;

  /** Interval between lookups of the key's owner while the request waits for one. */
  private static final long OWNER_CHECK_INTERVAL_NANOS = 20 * NANOS_PER_MILLI;

  /** Delay before the retry of a misdirected request. */
  private static final long MISDIRECTED_RETRY_DELAY_NANOS = 60 * NANOS_PER_MILLI;

  /**
   * Maximum number of times that a request is sent to an owner that rejects it as misdirected,
   * until the range table changes.
   */
  private static final int MAX_MISDIRECTIONS = 2;

  /** Time after which a caller should retry when the key or the service had no usable target. */
  private static final long NO_TARGET_RETRY_AFTER_NANOS = 300 * NANOS_PER_MILLI;

  /**
   * Delay after which the event loop has read what callers sent, and which connections they closed,
   * while the host lagged.
   */
  private static final long LAG_DELAY_NANOS = 3 * NANOS_PER_MILLI;

  /** Time after which a caller should retry a request to a host that can't serve callers yet. */
  private static final long START_RETRY_AFTER_NANOS = 500 * NANOS_PER_MILLI;

  /** Time after which a caller should retry, at another host, when this host is stopping. */
  private static final long STOP_RETRY_AFTER_NANOS = 50 * NANOS_PER_MILLI;

  /** Time after which a caller should retry when the host had no memory for the body. */
  private static final long BODY_MEMORY_RETRY_AFTER_NANOS = 200 * NANOS_PER_MILLI;

  private final Gateway gateway;
  private final ServiceRequestContext ctx;
  private final HttpRequest request;
  private final HttpResponseWriter writer;
  private final @Nullable Channel callerChannel;
  private final long startedAt = System.nanoTime();
  private final Set<String> triedTargets = new HashSet<>();
  private @Nullable RequestHead head;
  private @Nullable RouteRule route;
  private String service = "";
  private String requestId = "";
  private @Nullable RequestBody body;
  private @Nullable Attempt attempt;
  private @Nullable ScheduledFuture<?> deadlineTimer;
  private long deadlineAt;
  private long objectiveAt;
  private long ownerWaitUntil;
  private int attemptCount;
  private int misdirections;
  private long misdirectedTableVersion;
  private boolean mayHaveRun;
  private boolean retryReserved;
  private boolean ended;

  /** Bytes of the response that are kept until the earlier responses are complete. */
  private long waitingBytes;

  GatewayExchange(
      Gateway gateway, ServiceRequestContext ctx, HttpRequest request, HttpResponseWriter writer) {
    this.gateway = gateway;
    this.ctx = ctx;
    this.request = request;
    this.writer = writer;
    this.callerChannel = ctx.log().partial().channel();
  }

  void start() {
    gateway.onRequestStart();
    Channel channel = callerChannel;
    if (channel != null
        && !gateway.callers().onRequestStart(channel, this, ctx.sessionProtocol().isMultiplex())) {
      finish();
      return;
    }
    writer
        .whenComplete()
        .handle(
            (unused, error) -> {
              if (channel != null) {
                gateway.callers().onRequestEnd(channel, this);
              }
              releaseWaitingBytes();
              onWriterDone(error);
              return null;
            });
    if (gateway.isStopping() && !closeConnection()) {
      return;
    }
    RoutingConfiguration configuration = gateway.view().configuration();
    if (configuration == null) {
      reject(ResultCode.NO_CONFIGURATION, "no configuration is known yet", START_RETRY_AFTER_NANOS);
      return;
    }
    if (!gateway.isMember()) {
      reject(
          ResultCode.NOT_ADMITTED,
          "not every member has approved this host yet",
          START_RETRY_AFTER_NANOS);
      return;
    }
    if (CallerHead.length(request) > configuration.limits().maxHeaderBytes()) {
      reject(ResultCode.HEAD_TOO_LARGE, "the head is longer than allowed", 0);
      return;
    }
    try {
      head = gateway.headerCodec().readRequest(request.headers());
    } catch (IllegalArgumentException e) {
      reject(ResultCode.MALFORMED_REQUEST, String.valueOf(e.getMessage()), 0);
      return;
    }
    Optional<RouteEntry> found = configuration.find(CallerHead.host(request), ctx.rawPath());
    if (found.isEmpty()) {
      reject(ResultCode.UNKNOWN_ROUTE, "no route matches", 0);
      return;
    }
    switch (found.get()) {
      case RouteRule rule -> startRouted(configuration, rule, head);
      case UnusableRoute unusable ->
          reject(ResultCode.UNUSABLE_ROUTE, "the route can't be handled: " + unusable.reason(), 0);
    }
  }

  /**
   * Closes the caller's connection after this request, because the host is stopping. Behind other
   * requests, this one is not processed, and the connection is closed after them: a response that
   * announces the end of the connection would be the next one, with the rest in progress behind it.
   * Returns whether to process the request.
   */
  private boolean closeConnection() {
    Channel channel = callerChannel;
    if (channel == null || !isWaiting()) {
      ctx.initiateConnectionShutdown();
      if (channel != null) {
        gateway.callers().onClosingResponse(channel, this);
      }
      return true;
    }
    gateway.callers().closeAfterRequests(channel);
    gateway.callers().onRequestEnd(channel, this);
    finish();
    return false;
  }

  private void startRouted(
      RoutingConfiguration configuration, RouteRule rule, RequestHead callerHead) {
    route = rule;
    service = gateway.splits().next(rule);
    requestId =
        callerHead.requestId() == null ? UUID.randomUUID().toString() : callerHead.requestId();
    long timeoutMillis = rule.timeoutMillis();
    if (callerHead.deadlineMillis() != null) {
      timeoutMillis = Math.min(timeoutMillis, callerHead.deadlineMillis());
    }
    deadlineAt = startedAt + timeoutMillis * NANOS_PER_MILLI;
    objectiveAt = startedAt + rule.objectiveMillis() * NANOS_PER_MILLI;
    if (!gateway.endsBeforeHost(deadlineAt)) {
      reject(ResultCode.STOPPING, "the host may end before the request", STOP_RETRY_AFTER_NANOS);
      return;
    }
    deadlineTimer =
        ctx.eventLoop()
            .withoutContext()
            .schedule(gateway.log().logged(this::onDeadline), timeoutMillis, TimeUnit.MILLISECONDS);
    gateway.onFirstAttempt(service, startedAt);
    ServiceDescription description = configuration.services().get(service);
    if (description != null && description.keyed() && callerHead.key() != null) {
      gateway.keyCounts().count(service, callerHead.key());
    }
    long contentLength = request.headers().contentLength();
    if (contentLength > configuration.limits().maxBodyBytes()) {
      reject(ResultCode.BODY_TOO_LARGE, "the body is longer than allowed", 0);
      return;
    }
    RequestBody b =
        new RequestBody(configuration.limits().maxBodyBytes(), gateway.bodyMemory(), this);
    body = b;
    b.read(request, ctx.eventLoop().withoutContext());
  }

  @Override
  public void onReady() {
    if (gateway.isLagging(System.nanoTime())) {
      // The caller may have disconnected long ago. The event loop reads the end of the connection
      // before it runs what one of its own scheduled tasks schedules, but not always before what is
      // scheduled here. Therefore the delay is applied twice.
      ctx.eventLoop()
          .withoutContext()
          .schedule(
              gateway.log().logged(() -> assignTargetLater(LAG_DELAY_NANOS)),
              LAG_DELAY_NANOS,
              TimeUnit.NANOSECONDS);
    } else {
      assignTarget();
    }
  }

  @Override
  public void onTooLong() {
    Attempt running = attempt;
    if (running != null && running.hasResponseBegun()) {
      abort();
      return;
    }
    if (running != null) {
      mayHaveRun |= running.mayHaveRun();
      running.cancel();
    }
    reject(ResultCode.BODY_TOO_LARGE, "the body is longer than allowed", 0);
  }

  @Override
  public void onNoMemory() {
    reject(
        ResultCode.OVERLOADED,
        "the host has no memory for the request's body",
        BODY_MEMORY_RETRY_AFTER_NANOS);
  }

  @Override
  public void onAborted() {
    abort();
  }

  /** Ends the exchange if the caller has closed its connection; returns whether it has ended. */
  boolean endIfCallerDisconnected() {
    if (!ended && callerChannel != null && !callerChannel.isActive()) {
      gateway.count(GatewayMetric.CALLERS_GONE);
      abort();
    }
    return ended;
  }

  private void assignTarget() {
    if (endIfCallerDisconnected()) {
      return;
    }
    long now = System.nanoTime();
    Placement placement = choosePlacement(now);
    if (placement instanceof Placement.NoTarget && isKeyed()) {
      awaitOwner(now);
    } else {
      send(placement);
    }
  }

  private Placement choosePlacement(long now) {
    RequestRequirements requirements =
        new RequestRequirements(objectiveAt - startedAt, deadlineAt - now, route().priority());
    RequestHead callerHead = head;
    if (isKeyed() && callerHead != null && callerHead.key() != null) {
      if (misdirections >= MAX_MISDIRECTIONS && tableVersion() == misdirectedTableVersion) {
        return new Placement.NoTarget();
      }
      return gateway.assignToOwner(service, callerHead.key(), requirements, now);
    }
    return gateway.assign(service, triedTargets, requirements, now);
  }

  /**
   * Takes a retry from the budget if a target is available at once and {@link #tryAcquireRetry}
   * allows it; returns whether it did.
   */
  boolean tryAcquireImmediateRetry(Attempt running, long now) {
    return choosePlacement(now) instanceof Placement.Send && tryAcquireRetry(running, now);
  }

  private void awaitOwner(long now) {
    if (ownerWaitUntil == 0) {
      ownerWaitUntil = now + Math.min(MAX_OWNER_WAIT_NANOS, (objectiveAt - startedAt) / 2);
    }
    RequestHead callerHead = head;
    boolean hasOwnerLeft =
        callerHead != null
            && callerHead.key() != null
            && gateway.hasOwnerLeft(service, callerHead.key(), now);
    if (hasOwnerLeft || now - ownerWaitUntil >= 0) {
      reject(
          ResultCode.OWNER_UNKNOWN, "the key has no owner at present", NO_TARGET_RETRY_AFTER_NANOS);
    } else {
      assignTargetLater(OWNER_CHECK_INTERVAL_NANOS);
    }
  }

  private void assignTargetLater(long delayNanos) {
    ctx.eventLoop()
        .withoutContext()
        .schedule(gateway.log().logged(this::assignTarget), delayNanos, TimeUnit.NANOSECONDS);
  }

  private void send(Placement placement) {
    switch (placement) {
      case Placement.Send p -> {
        triedTargets.add(p.target().id());
        attemptCount++;
        attempt = new Attempt(this, gateway, p.target(), p.expectedNanos(), attemptCount);
        attempt.start();
      }
      case Placement.Reject p ->
          reject(ResultCode.OVERLOADED, "no target can answer in time", p.retryAfterNanos());
      case Placement.NoTarget p ->
          reject(
              ResultCode.NO_TARGET,
              "the service has no usable target",
              NO_TARGET_RETRY_AFTER_NANOS);
    }
  }

  /**
   * Handles an attempt whose request was not written, because the target's time to leave passed
   * after it had been chosen: places the request anew, which is no retry.
   */
  void onTargetLeft(DiscoveredTarget target) {
    attempt = null;
    attemptCount--;
    triedTargets.remove(target.id());
    if (body().isHeld()) {
      assignTargetLater(0);
    } else {
      reject(
          ResultCode.NO_TARGET,
          "the target left before the request was sent",
          NO_TARGET_RETRY_AFTER_NANOS);
    }
  }

  /**
   * Handles the end of an attempt whose response was not relayed: retries or rejects the request.
   */
  void onAttemptFailed(Attempt failed) {
    attempt = null;
    mayHaveRun |= failed.mayHaveRun();
    if (endIfCallerDisconnected()) {
      return;
    }
    long now = System.nanoTime();
    if (failed.isMisdirected()) {
      misdirections = misdirectedTableVersion == tableVersion() ? misdirections + 1 : 1;
      misdirectedTableVersion = tableVersion();
    }
    if (failed.isMisdirected() && tryAcquireRetry(failed, now)) {
      retryReserved = false;
      gateway.count(GatewayMetric.RETRIES);
      ownerWaitUntil = ownerWaitUntil == 0 ? now + MAX_OWNER_WAIT_NANOS : ownerWaitUntil;
      assignTargetLater(MISDIRECTED_RETRY_DELAY_NANOS);
      return;
    }
    if (choosePlacement(now) instanceof Placement.Send next && tryAcquireRetry(failed, now)) {
      retryReserved = false;
      gateway.count(GatewayMetric.RETRIES);
      send(next);
      return;
    }
    if (mayHaveRun) {
      reject(ResultCode.TARGET_FAILED, "the target did not answer: " + failed.outcome(), 0);
    } else {
      reject(ResultCode.TARGET_REFUSED, "not run: " + failed.outcome(), failed.retryAfterNanos());
    }
  }

  /**
   * Takes a retry from the budget if a retry is allowed and useful; returns whether the request may
   * be retried. A retry that was taken is kept until the request is sent again.
   */
  boolean tryAcquireRetry(Attempt failed, long now) {
    retryReserved =
        retryReserved || (isRetryUseful(failed, now) && gateway.tryAcquireRetry(service, now));
    return retryReserved;
  }

  private boolean isRetryUseful(Attempt failed, long now) {
    RouteRule rule = route();
    boolean isRepeatSafe = !failed.mayHaveRun() || rule.kind().isRepeatable();
    RequestBody b = body;
    boolean keyed = isKeyed();
    boolean hasAttemptsLeft = keyed || triedTargets.size() < rule.maxAttempts();
    boolean ownerWaitExpired =
        failed.isMisdirected() && ownerWaitUntil != 0 && now - ownerWaitUntil >= 0;
    return isRepeatSafe
        && hasAttemptsLeft
        && !ownerWaitExpired
        && (!keyed || failed.isMisdirected() || failed.mayHaveRun())
        && b != null
        && b.isReplayable()
        && deadlineAt - now > failed.expectedNanos() / 2;
  }

  /**
   * Returns whether the current attempt should time out in favour of a retry when its target does
   * not respond. A keyed request can go to the key's one owner only, which gets it a second time
   * because perhaps only the connection or the response was lost.
   */
  boolean mayRetryOnTimeout() {
    RequestBody b = body;
    int maxAttempts = isKeyed() ? 2 : route().maxAttempts();
    return route().kind().isRepeatable()
        && b != null
        && b.isReplayable()
        && attemptCount < maxAttempts;
  }

  /** Handles the end of the relayed response. */
  void onResponseRelayed() {
    gateway.recordResponse(System.nanoTime() - startedAt);
    finish();
  }

  /** Handles a relayed response that the target aborted. */
  void onResponseAborted(String reason) {
    gateway.count(GatewayMetric.ANSWERS_CUT);
    finish();
    closeIncomplete(reason);
  }

  /** Ends the response to the caller so that it can't be mistaken for a complete one. */
  private void closeIncomplete(String reason) {
    if (callerChannel != null) {
      gateway.callers().onClosingResponse(callerChannel, this);
    }
    gateway.count(GatewayMetric.ANSWERS_ABORTED);
    gateway.log().onAbortedResponse(requestId, service, reason, System.nanoTime());
    writer.close(new IllegalStateException(reason));
  }

  private void onDeadline() {
    if (ended) {
      return;
    }
    Attempt running = attempt;
    if (running != null && running.hasResponseBegun()) {
      running.cancel();
      finish();
      closeIncomplete("the deadline passed before the end of the response");
      return;
    }
    mayHaveRun |= running != null && running.mayHaveRun();
    if (running != null) {
      running.cancelTimedOut();
    }
    reject(
        mayHaveRun ? ResultCode.DEADLINE_PASSED : ResultCode.DEADLINE_NOT_MET,
        "the deadline passed",
        0);
  }

  private void onWriterDone(@Nullable Throwable error) {
    if (ended) {
      return;
    }
    if (error == null) {
      // The response is complete.
      finish();
      return;
    }
    gateway.count(GatewayMetric.CALLERS_GONE);
    abort();
  }

  private void abort() {
    if (ended) {
      return;
    }
    if (attempt != null) {
      attempt.cancel();
    }
    finish();
    closeIncomplete("the caller aborted its request");
  }

  /** Ends the request because an earlier response closes the caller's connection. */
  void cancelBehindClose() {
    releaseWaitingBytes();
    if (ended) {
      return;
    }
    gateway.count(GatewayMetric.CANCELLED_BEHIND_CLOSE);
    if (attempt != null) {
      attempt.cancel();
    }
    finish();
  }

  /** Returns whether earlier responses on the caller's connection have to be completed first. */
  boolean isWaiting() {
    return callerChannel != null && gateway.callers().isWaiting(callerChannel, this);
  }

  /**
   * Accounts for bytes of the response that are about to be written; returns whether more may be
   * read from the target. While earlier responses on the caller's connection are not complete, the
   * bytes stay in memory.
   */
  boolean onResponseBytes(int bytes) {
    Channel channel = callerChannel;
    if (channel == null || !isWaiting()) {
      return true;
    }
    if (!gateway.bodyMemory().tryReserve(bytes)) {
      return false;
    }
    waitingBytes += bytes;
    return gateway.callers().addWaitingBytes(channel, bytes);
  }

  /** Returns the memory of a response that no longer waits for earlier ones. */
  void releaseWaitingBytes() {
    if (waitingBytes > 0 && callerChannel != null) {
      long bytes = waitingBytes;
      waitingBytes = 0;
      gateway.bodyMemory().release(bytes);
      gateway.callers().addWaitingBytes(callerChannel, -bytes);
    }
  }

  private void reject(ResultCode code, String reason, long retryAfterNanos) {
    if (ended) {
      return;
    }
    // An earlier attempt of a repeatable request may have run, so "not run" would be wrong.
    boolean mayHaveEffect = mayHaveRun && code.effect() == ResultCode.Effect.NOT_RUN;
    ResultCode result = mayHaveEffect ? ResultCode.TARGET_FAILED : code;
    gateway.countRejection(result);
    Logger.debug(
        "rejected request {} to service {} with {}: {}", requestId, service, result, reason);
    finish();
    ResponseHeadersBuilder headers = Rejections.headers(result);
    if (retryAfterNanos > 0 && result.effect() == ResultCode.Effect.NOT_RUN) {
      headers.set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfterNanos));
    }
    writer.write(headers.build());
    writer.write(Rejections.body(result, reason));
    writer.close();
  }

  private void finish() {
    if (ended) {
      return;
    }
    ended = true;
    gateway.onRequestEnd();
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    if (body != null) {
      body.discard();
    }
  }

  private static String seconds(long nanos) {
    return String.format(Locale.ROOT, "%.3f", nanos / 1e9);
  }

  private @Nullable ServiceDescription description() {
    RoutingConfiguration c = gateway.view().configuration();
    return c == null ? null : c.services().get(service);
  }

  private long tableVersion() {
    return gateway.view().table().version();
  }

  private boolean isKeyed() {
    ServiceDescription description = description();
    return description != null && description.keyed() && head != null && head.key() != null;
  }

  private RouteRule route() {
    if (route == null) {
      throw new IllegalStateException("the request has no route yet");
    }
    return route;
  }

  ServiceRequestContext ctx() {
    return ctx;
  }

  HttpRequest request() {
    return request;
  }

  HttpResponseWriter writer() {
    return writer;
  }

  String requestId() {
    return requestId;
  }

  /** Returns whether the request may run more than once. */
  boolean isRepeatable() {
    return route().kind().isRepeatable();
  }

  /** Returns the latency objective of the request in nanoseconds. */
  long objectiveNanos() {
    return objectiveAt - startedAt;
  }

  long deadlineAt() {
    return deadlineAt;
  }

  RequestBody body() {
    if (body == null) {
      throw new IllegalStateException("the request's body is not read yet");
    }
    return body;
  }
}
