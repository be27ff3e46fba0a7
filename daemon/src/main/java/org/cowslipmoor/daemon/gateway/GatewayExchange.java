package org.cowslipmoor.daemon.gateway;

import com.google.common.base.Ascii;
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
import org.cowslipmoor.core.routing.RouteRule;
import org.cowslipmoor.core.routing.RoutingConfiguration;
import org.cowslipmoor.core.routing.ServiceDescription;
import org.cowslipmoor.daemon.caller.Refusals;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Takes one caller's request through its attempts to its answer or refusal. Used once. */
final class GatewayExchange implements RequestBody.Listener {
  private static final long MS = 1_000_000L;

  /** Longest time that a request waits for the owner of its key to settle. */
  private static final long OWNER_WAIT = 400 * MS;

  private static final long OWNER_CHECK = 20 * MS;
  private static final long RESEND_DELAY = 60 * MS;

  /** Times that a request goes to a key's owner that does not hold it, until the owner changes. */
  private static final int MOST_MISDIRECTIONS = 2;

  /** Time after which a caller may find that a key has an owner again. */
  private static final long OWNER_RETRY = 300 * MS;

  /** Delay after which what the callers have sent or closed meanwhile has been read. */
  private static final long LAG_DELAY = 3 * MS;

  private static final long START_RETRY = 500 * MS;

  /** Time after which a caller may try another host. */
  private static final long STOP_RETRY = 50 * MS;

  private final Gateway gateway;
  private final ServiceRequestContext ctx;
  private final HttpRequest request;
  private final HttpResponseWriter writer;
  private final @Nullable Channel callerChannel;
  private final long startedAt = System.nanoTime();
  private final Set<String> triedTargets = new HashSet<>();
  private @Nullable RequestHead head;
  private @Nullable RouteRule rule;
  private String service = "";
  private String requestId = "";
  private @Nullable RequestBody body;
  private @Nullable Attempt attempt;
  private @Nullable ScheduledFuture<?> deadlineTimer;
  private long deadlineAt;
  private long objectiveAt;
  private long ownerWaitUntil;
  private int sendings;
  private int misdirections;
  private long misdirectedVersion;
  private boolean mayHaveRun;
  private boolean retryGranted;
  private boolean over;

  GatewayExchange(
      Gateway gateway, ServiceRequestContext ctx, HttpRequest request, HttpResponseWriter writer) {
    this.gateway = gateway;
    this.ctx = ctx;
    this.request = request;
    this.writer = writer;
    this.callerChannel = ctx.log().partial().channel();
  }

  void start() {
    gateway.begin();
    Channel channel = callerChannel;
    if (channel != null) {
      gateway.callers().onRequest(channel);
    }
    if (gateway.isStopping()) {
      ctx.initiateConnectionShutdown();
    }
    writer
        .whenComplete()
        .handle(
            (unused, error) -> {
              if (channel != null) {
                gateway.callers().onAnswered(channel);
              }
              onWriterDone(error);
              return null;
            });
    if (gateway.isRefusing()) {
      refuse(ResultCode.STOPPING, "the host is about to end", STOP_RETRY);
      return;
    }
    RoutingConfiguration configuration = gateway.view().configuration();
    if (configuration == null) {
      refuse(ResultCode.NO_CONFIGURATION, "no configuration is known yet", START_RETRY);
      return;
    }
    if (!gateway.isMember()) {
      refuse(ResultCode.NOT_ADMITTED, "not every member has approved this host yet", START_RETRY);
      return;
    }
    try {
      head = gateway.headerCodec().readRequest(request.headers());
    } catch (IllegalArgumentException e) {
      refuse(ResultCode.MALFORMED_REQUEST, String.valueOf(e.getMessage()), 0);
      return;
    }
    Optional<RouteRule> found = configuration.find(host(), ctx.rawPath());
    if (found.isEmpty()) {
      refuse(ResultCode.UNKNOWN_ROUTE, "no route matches", 0);
      return;
    }
    begin(configuration, found.get(), head);
  }

  private void begin(RoutingConfiguration configuration, RouteRule found, RequestHead told) {
    rule = found;
    service = gateway.splits().next(found);
    requestId = told.requestId() == null ? UUID.randomUUID().toString() : told.requestId();
    long wait = found.timeoutMillis();
    if (told.deadlineMillis() != null) {
      wait = Math.min(wait, told.deadlineMillis());
    }
    deadlineAt = startedAt + wait * MS;
    objectiveAt = startedAt + found.objectiveMillis() * MS;
    deadlineTimer =
        ctx.eventLoop().withoutContext().schedule(this::onDeadline, wait, TimeUnit.MILLISECONDS);
    gateway.onRequest(service, startedAt);
    ServiceDescription description = configuration.services().get(service);
    if (description != null && description.keyed() && told.key() != null) {
      gateway.keyCounts().count(service, told.key());
    }
    long announced = request.headers().contentLength();
    if (announced > configuration.limits().maxBodyBytes()) {
      refuse(ResultCode.BODY_TOO_LARGE, "the body is longer than allowed", 0);
      return;
    }
    RequestBody b = new RequestBody(configuration.limits().maxBodyBytes(), this);
    body = b;
    b.read(request, ctx.eventLoop().withoutContext());
  }

  @Override
  public void onReady() {
    if (gateway.isLagging(System.nanoTime())) {
      // The caller may have left long ago. The event loop reads that before it runs what is
      // scheduled by a task of its own, though not always before what is scheduled here.
      ctx.eventLoop()
          .withoutContext()
          .schedule(() -> later(LAG_DELAY), LAG_DELAY, TimeUnit.NANOSECONDS);
    } else {
      place();
    }
  }

  @Override
  public void onTooLong() {
    Attempt running = attempt;
    if (running != null && running.hasAnswerBegun()) {
      breakOff();
      return;
    }
    if (running != null) {
      mayHaveRun |= running.mayHaveRun();
      running.cancel();
    }
    refuse(ResultCode.BODY_TOO_LARGE, "the body is longer than allowed", 0);
  }

  @Override
  public void onBroken() {
    breakOff();
  }

  /** Ends the exchange if the caller has closed its connection; returns whether it is over. */
  boolean endIfCallerLeft() {
    if (!over && callerChannel != null && !callerChannel.isActive()) {
      gateway.count(GatewayMetric.CALLERS_GONE);
      breakOff();
    }
    return over;
  }

  private void place() {
    if (endIfCallerLeft()) {
      return;
    }
    long now = System.nanoTime();
    Placement placement = placement(now);
    if (placement instanceof Placement.NoTarget && isKeyed()) {
      awaitOwner(now);
    } else {
      send(placement);
    }
  }

  private Placement placement(long now) {
    RequestRequirements needs =
        new RequestRequirements(objectiveAt - startedAt, deadlineAt - now, rule().priority());
    RequestHead told = head;
    if (isKeyed() && told != null && told.key() != null) {
      if (misdirections >= MOST_MISDIRECTIONS && tableVersion() == misdirectedVersion) {
        return new Placement.NoTarget();
      }
      Optional<DiscoveredTarget> owner = gateway.owner(service, told.key(), now);
      return owner.isPresent()
          ? gateway.book().admit(owner.get(), needs, now)
          : new Placement.NoTarget();
    }
    return gateway
        .book()
        .assign(gateway.view().directory().usable(service), triedTargets, needs, now);
  }

  /**
   * Tells whether the request could be sent again at once, and if so takes that from the budget.
   */
  boolean maySwitch(Attempt running, long now) {
    return placement(now) instanceof Placement.Send && mayRetry(running, now);
  }

  private void awaitOwner(long now) {
    if (ownerWaitUntil == 0) {
      ownerWaitUntil = now + Math.min(OWNER_WAIT, (objectiveAt - startedAt) / 2);
    }
    if (now - ownerWaitUntil >= 0) {
      refuse(ResultCode.OWNER_UNKNOWN, "the key has no owner at present", OWNER_RETRY);
    } else {
      later(OWNER_CHECK);
    }
  }

  private void later(long delay) {
    ctx.eventLoop().withoutContext().schedule(this::place, delay, TimeUnit.NANOSECONDS);
  }

  private void send(Placement placement) {
    switch (placement) {
      case Placement.Send p -> {
        boolean isRepeated = !triedTargets.add(p.target().id());
        sendings++;
        attempt = new Attempt(this, gateway, p.target(), p.expectedNanos(), isRepeated);
        attempt.start();
      }
      case Placement.Reject p ->
          refuse(ResultCode.OVERLOADED, "no target can answer in time", p.retryAfterNanos());
      case Placement.NoTarget p ->
          refuse(ResultCode.NO_TARGET, "the service has no usable target", OWNER_RETRY);
    }
  }

  /** Takes the end of an attempt without an answer that is passed on. */
  void onAttemptFailed(Attempt failed) {
    attempt = null;
    mayHaveRun |= failed.mayHaveRun();
    if (endIfCallerLeft()) {
      return;
    }
    long now = System.nanoTime();
    if (failed.isMisdirected()) {
      misdirections = misdirectedVersion == tableVersion() ? misdirections + 1 : 1;
      misdirectedVersion = tableVersion();
    }
    if (failed.isMisdirected() && mayRetry(failed, now)) {
      retryGranted = false;
      gateway.count(GatewayMetric.RETRIES);
      ownerWaitUntil = ownerWaitUntil == 0 ? now + OWNER_WAIT : ownerWaitUntil;
      later(RESEND_DELAY);
      return;
    }
    if (placement(now) instanceof Placement.Send next && mayRetry(failed, now)) {
      retryGranted = false;
      gateway.count(GatewayMetric.RETRIES);
      send(next);
      return;
    }
    if (mayHaveRun) {
      refuse(ResultCode.TARGET_FAILED, "the target did not answer: " + failed.outcome(), 0);
    } else {
      refuse(ResultCode.TARGET_REFUSED, "not run: " + failed.outcome(), failed.retryNanos());
    }
  }

  /** Tells whether the request is to be sent again, and if so takes that from the budget, once. */
  boolean mayRetry(Attempt failed, long now) {
    retryGranted = retryGranted || (isRetryUseful(failed, now) && gateway.tryRetry(service, now));
    return retryGranted;
  }

  private boolean isRetryUseful(Attempt failed, long now) {
    RouteRule r = rule();
    boolean allowed = !failed.mayHaveRun() || r.kind().isRepeatable();
    RequestBody b = body;
    boolean keyed = isKeyed();
    boolean more = keyed || triedTargets.size() < r.maxAttempts();
    boolean misdirectedTooLong =
        failed.isMisdirected() && ownerWaitUntil != 0 && now - ownerWaitUntil >= 0;
    return allowed
        && more
        && !misdirectedTooLong
        && (!keyed || failed.isMisdirected() || failed.mayHaveRun())
        && b != null
        && b.isRepeatable()
        && deadlineAt - now > failed.expectedNanos() / 2;
  }

  /**
   * Tells whether the request had better be sent once more when its target stays silent. The one
   * owner of a key gets it again once, since only the connection or the answer may be lost.
   */
  boolean hasSpareAttempt() {
    RequestBody b = body;
    int most = isKeyed() ? 2 : rule().maxAttempts();
    return rule().kind().isRepeatable() && b != null && b.isRepeatable() && sendings < most;
  }

  /** Takes the end of the answer that was passed on. */
  void onAnswered() {
    gateway.noteAnswer(System.nanoTime() - startedAt);
    finish();
  }

  /** Takes the news that the answer that was passed on broke off. */
  void onAnswerCut() {
    gateway.count(GatewayMetric.ANSWERS_CUT);
    finish();
  }

  private void onDeadline() {
    if (over) {
      return;
    }
    Attempt running = attempt;
    if (running != null && running.hasAnswerBegun()) {
      running.cancel();
      finish();
      writer.close(new IllegalStateException("the deadline passed before the answer's end"));
      return;
    }
    mayHaveRun |= running != null && running.mayHaveRun();
    if (running != null) {
      running.cancelLate();
    }
    refuse(
        mayHaveRun ? ResultCode.DEADLINE_PASSED : ResultCode.DEADLINE_NOT_MET,
        "the deadline passed",
        0);
  }

  private void onWriterDone(@Nullable Throwable error) {
    if (over) {
      return;
    }
    if (error != null) {
      gateway.count(GatewayMetric.CALLERS_GONE);
    }
    breakOff();
  }

  private void breakOff() {
    if (over) {
      return;
    }
    if (attempt != null) {
      attempt.cancel();
    }
    finish();
    writer.close(new IllegalStateException("the caller broke its request off"));
  }

  private void refuse(ResultCode code, String reason, long retryNanos) {
    if (over) {
      return;
    }
    // A repeatable request may have run in an earlier attempt: "not run" would not be true.
    boolean unknown = mayHaveRun && code.effect() == ResultCode.Effect.NOT_RUN;
    ResultCode told = unknown ? ResultCode.TARGET_FAILED : code;
    gateway.countRefusal(told);
    Logger.debug("request {} to {} is refused with {}: {}", requestId, service, told, reason);
    finish();
    ResponseHeadersBuilder headers = Refusals.headers(told);
    if (retryNanos > 0 && told.effect() == ResultCode.Effect.NOT_RUN) {
      headers.set(HttpHeaderNames.RETRY_AFTER, seconds(retryNanos));
    }
    writer.write(headers.build());
    writer.write(Refusals.body(told, reason));
    writer.close();
  }

  private void finish() {
    over = true;
    gateway.end();
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

  private String host() {
    String authority = request.authority() == null ? "" : request.authority();
    int port = authority.lastIndexOf(':');
    return Ascii.toLowerCase(port < 0 ? authority : authority.substring(0, port));
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

  private RouteRule rule() {
    if (rule == null) {
      throw new IllegalStateException("the request has no route yet");
    }
    return rule;
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

  /** Returns the nanoseconds that an answer in time may take in all. */
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
