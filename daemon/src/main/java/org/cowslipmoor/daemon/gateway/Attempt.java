package org.cowslipmoor.daemon.gateway;

import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.admission.ReportedLoad;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.daemon.http.Exchange;
import org.cowslipmoor.daemon.http.ExchangeFailure;
import org.cowslipmoor.daemon.http.ExchangeListener;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** One attempt to send a request to a target. Confined to the event loop. */
final class Attempt implements ExchangeListener {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MIN_ERROR_STATUS = 400;
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  /** Timeout of an attempt that can be retried, as a multiple of its expected time. */
  private static final double TIMEOUT_FACTOR = 4;

  /** Lower bound of that timeout, as a fraction of the request's latency objective. */
  private static final double MIN_TIMEOUT_OBJECTIVE_FRACTION = 0.8;

  /** Time after which a caller may retry a request that the target rejected. */
  private static final long REJECTED_RETRY_AFTER_NANOS = 150 * NANOS_PER_MILLI;

  /**
   * Maximum number of body bytes read from a response that is discarded, to reuse its connection.
   */
  private static final long MAX_DISCARDED_BYTES = 65_536;

  /** Maximum time spent reading a response that is discarded. */
  private static final long MAX_DISCARD_NANOS = 100 * NANOS_PER_MILLI;

  private final GatewayExchange callerExchange;
  private final Gateway gateway;
  private final DiscoveredTarget target;
  private final long expectedNanos;
  private final int number;
  private final long startedAt = System.nanoTime();
  private @Nullable Exchange targetExchange;
  private @Nullable ResponseRelay relay;
  private @Nullable ScheduledFuture<?> timer;
  private @Nullable ResponseHead responseHead;
  private boolean sent;
  private boolean notRun;
  private boolean misdirected;
  private boolean discarding;
  private long discardedBytes;
  private boolean ended;
  private long headReceivedAt;

  /** The outcome as text for the log and for the message that the caller receives. */
  private String outcome = "no answer yet";

  /**
   * Creates an attempt that has not started.
   *
   * @param number number of the attempt, from 1
   */
  Attempt(
      GatewayExchange callerExchange,
      Gateway gateway,
      DiscoveredTarget target,
      long expectedNanos,
      int number) {
    this.callerExchange = callerExchange;
    this.gateway = gateway;
    this.target = target;
    this.expectedNanos = expectedNanos;
    this.number = number;
  }

  void start() {
    gateway.loadBalancer().onSend(target, startedAt);
    Exchange e =
        gateway
            .connections()
            .start(target.address(), createTargetRequest(), this, callerExchange.requestId());
    targetExchange = e;
    if (ended) {
      return;
    }
    callerExchange.body().writeTo(e);
    long timeoutNanos =
        Math.max(
            (long) (TIMEOUT_FACTOR * expectedNanos),
            (long) (MIN_TIMEOUT_OBJECTIVE_FRACTION * callerExchange.objectiveNanos()));
    if (callerExchange.mayRetryOnTimeout()) {
      timer = schedule(this::onTimeout, timeoutNanos);
    }
  }

  boolean mayHaveRun() {
    return sent && !notRun;
  }

  boolean isMisdirected() {
    return misdirected;
  }

  boolean hasResponseBegun() {
    return relay != null;
  }

  long expectedNanos() {
    return expectedNanos;
  }

  /** Returns the time in nanoseconds after which the caller should retry. */
  long retryAfterNanos() {
    return REJECTED_RETRY_AFTER_NANOS;
  }

  String outcome() {
    return outcome;
  }

  /** Ends the attempt because its response is no longer needed. */
  void cancel() {
    if (!ended) {
      gateway.loadBalancer().onCancelled(target);
      abort();
    }
  }

  /** Ends the attempt as failed because the target did not respond in time. */
  void cancelTimedOut() {
    if (!ended) {
      gateway.loadBalancer().onFailure(target, System.nanoTime());
      abort();
    }
  }

  @Override
  public boolean onSending() {
    // The channel shows that the caller has closed its connection before Armeria notifies the
    // request of it.
    if (callerExchange.endIfCallerDisconnected()) {
      return false;
    }
    long now = System.nanoTime();
    if (!gateway.mayReceive(target, now)) {
      ended = true;
      stopTimer();
      gateway.loadBalancer().onCancelled(target);
      callerExchange.onTargetLeft(target);
      return false;
    }
    sent = true;
    gateway.onSending(target, callerExchange.requestId(), now);
    return true;
  }

  @Override
  public boolean onHead(HttpResponse head) {
    ResponseHead h = gateway.headerCodec().readResponse(head);
    String id = h.requestId();
    // Without an id, a rejection on a reused connection may belong to an earlier request.
    boolean belongsToRequest =
        id == null
            ? h.isNotRun() && !targetExchange().isOnReusedConnection()
            : id.equals(callerExchange.requestId());
    if (ended) {
      return false;
    }
    headReceivedAt = System.nanoTime();
    if (!belongsToRequest) {
      gateway.count(GatewayMetric.SURPLUS_ANSWERS);
      gateway
          .log()
          .onSurplusResponse(
              callerExchange.requestId(),
              target,
              head.status().code(),
              id,
              targetExchange(),
              headReceivedAt);
      return false;
    }
    responseHead = h;
    if (h.isLeaving()) {
      gateway.onLeavingResponse(target, callerExchange.requestId(), headReceivedAt);
    }
    notRun = h.isNotRun();
    misdirected = h.isMisdirected();
    stopTimer();
    if (notRun) {
      logRejection(head.status().code());
    }
    if (notRun || head.status().code() >= MIN_ERROR_STATUS) {
      // The target may send a duplicate of the response while the same id is in use again.
      targetExchange().retireId();
    }
    boolean isServerError = head.status().code() >= MIN_SERVER_ERROR_STATUS;
    if (notRun) {
      outcome = "turned away with " + head.status().code();
      startDiscarding();
      return true;
    }
    if (isServerError) {
      outcome = "failed with " + head.status().code();
      if (callerExchange.tryAcquireRetry(this, headReceivedAt)) {
        startDiscarding();
        return true;
      }
    }
    if (!callerExchange.isRepeatable() && isPromise(head.status())) {
      outcome = "failed with " + head.status().code() + ", not stating that it did not run";
      startDiscarding();
      return true;
    }
    ResponseRelay r = new ResponseRelay(callerExchange, targetExchange());
    r.writeHead(head);
    // Set only now: a head that can't be written fails the attempt, which may be retried.
    relay = r;
    return true;
  }

  @Override
  public void onData(ByteBuf data) {
    if (relay != null && !ended) {
      relay.writeData(data);
    }
    if (discarding) {
      discardedBytes += data.readableBytes();
      if (discardedBytes > MAX_DISCARDED_BYTES) {
        stopDiscarding();
      }
    }
  }

  @Override
  public void onEnd() {
    if (ended) {
      return;
    }
    ended = true;
    stopTimer();
    ResponseRelay r = relay;
    long now = System.nanoTime();
    ReportedLoad load = responseHead == null ? null : responseHead.load();
    if (r != null) {
      gateway
          .loadBalancer()
          .onResponse(target, now, headReceivedAt - startedAt, r.bodyBytes(), load);
      r.complete();
      callerExchange.onResponseRelayed();
    } else if (notRun) {
      Logger.debug(
          "request {} was {} by target {}, which reported {}; the host expected {}",
          callerExchange.requestId(),
          outcome,
          target.id(),
          load,
          gateway.loadBalancer().describe(target, now));
      gateway.loadBalancer().onRejected(target, now, load);
      callerExchange.onAttemptFailed(this);
    } else {
      gateway.loadBalancer().onFailure(target, now);
      callerExchange.onAttemptFailed(this);
    }
  }

  @Override
  public void onFailure(ExchangeFailure failure) {
    if (ended) {
      return;
    }
    ended = true;
    stopTimer();
    Logger.debug(
        "request {} to target {} failed with {} after {} ms",
        callerExchange.requestId(),
        target.id(),
        failure,
        (System.nanoTime() - startedAt) / NANOS_PER_MILLI);
    gateway.loadBalancer().onFailure(target, System.nanoTime());
    if (failure != ExchangeFailure.MALFORMED) {
      gateway.onConnectionLost(target, System.nanoTime());
    }
    if (relay != null) {
      callerExchange.onResponseAborted("the target aborted its response");
      return;
    }
    if (!discarding) {
      outcome = failure.toString();
    }
    callerExchange.onAttemptFailed(this);
  }

  /** Returns whether a status promises a caller that its request has not run and never will. */
  private static boolean isPromise(HttpResponseStatus status) {
    return status.equals(HttpResponseStatus.REQUEST_TIMEOUT)
        || status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)
        || status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
        || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
  }

  private void logRejection(int status) {
    Exchange e = targetExchange();
    gateway.count(GatewayMetric.TARGET_REJECTIONS);
    gateway
        .log()
        .onRejection(
            callerExchange.requestId(), target, status, number, e, e.isIdRetired(), headReceivedAt);
  }

  private void startDiscarding() {
    discarding = true;
    timer = schedule(this::stopDiscarding, MAX_DISCARD_NANOS);
  }

  /** Treats a discarded response as complete and closes its connection. */
  private void stopDiscarding() {
    if (!ended) {
      targetExchange().cancel();
      onEnd();
    }
  }

  private void onTimeout() {
    if (ended || relay != null || discarding) {
      return;
    }
    if (!callerExchange.tryAcquireImmediateRetry(this, System.nanoTime())) {
      return;
    }
    outcome = "no answer for " + (System.nanoTime() - startedAt) / NANOS_PER_MILLI + " ms";
    cancelTimedOut();
    // Other idle connections to the target may have stopped responding together with this one and
    // would delay the next requests.
    gateway.connections().closeIdle(target.address());
    callerExchange.onAttemptFailed(this);
  }

  private void abort() {
    ended = true;
    stopTimer();
    if (targetExchange != null) {
      targetExchange.cancel();
    }
  }

  private ScheduledFuture<?> schedule(Runnable task, long nanos) {
    return callerExchange
        .ctx()
        .eventLoop()
        .withoutContext()
        .schedule(gateway.log().logged(task), nanos, TimeUnit.NANOSECONDS);
  }

  private void stopTimer() {
    if (timer != null) {
      timer.cancel(false);
    }
  }

  private Exchange targetExchange() {
    if (targetExchange == null) {
      throw new IllegalStateException("the attempt has not started");
    }
    return targetExchange;
  }

  private io.netty.handler.codec.http.HttpRequest createTargetRequest() {
    HttpRequest request = callerExchange.request();
    RequestHeaders in = request.headers();
    io.netty.handler.codec.http.HttpRequest out =
        new DefaultHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(in.method().name()),
            callerExchange.ctx().rawPath());
    copyHeaders(in, out.headers());
    String authority = in.authority();
    if (authority != null) {
      out.headers().set(HttpHeaderNames.HOST, authority);
    }
    long remainingMillis =
        Math.max(1, (callerExchange.deadlineAt() - System.nanoTime()) / NANOS_PER_MILLI);
    gateway
        .headerCodec()
        .writeRequest(out.headers(), callerExchange.requestId(), remainingMillis, target.id());
    return out;
  }

  private void copyHeaders(HttpHeaders in, io.netty.handler.codec.http.HttpHeaders out) {
    for (Map.Entry<io.netty.util.AsciiString, String> h : in) {
      String name = h.getKey().toString();
      if (!name.startsWith(":") && !ResponseRelay.CONNECTION_HEADERS.contains(name)) {
        out.add(name, h.getValue());
      }
    }
    if (!in.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      if (!callerExchange.body().isReplayable()) {
        out.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      } else if (callerExchange.body().receivedBytes() > 0) {
        out.set(HttpHeaderNames.CONTENT_LENGTH, callerExchange.body().receivedBytes());
      }
    }
  }
}
