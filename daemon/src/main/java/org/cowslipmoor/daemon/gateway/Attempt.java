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

/** One sending of a request to a target. Confined to the event loop. */
final class Attempt implements ExchangeListener {
  private static final long MS = 1_000_000L;
  private static final int SERVER_ERROR = 500;

  /** Times the expected time after which a request that may be sent again is given up. */
  private static final double PATIENCE = 4;

  /** Part of the objective that an attempt may use in any case. */
  private static final double OBJECTIVE_PART = 0.8;

  private static final long TURNED_AWAY_RETRY = 150 * MS;

  /** Most bytes of an answer that is not passed on which are read to keep its connection. */
  private static final long MOST_DISCARDED_BYTES = 65_536;

  /** Longest time that such an answer is read. */
  private static final long LONGEST_DISCARDING = 100 * MS;

  private final GatewayExchange owner;
  private final Gateway gateway;
  private final DiscoveredTarget target;
  private final long expectedNanos;
  private final boolean isRepeated;
  private final long startedAt = System.nanoTime();
  private @Nullable Exchange exchange;
  private @Nullable AnswerRelay relay;
  private @Nullable ScheduledFuture<?> patience;
  private @Nullable ResponseHead answer;
  private boolean sent;
  private boolean notRun;
  private boolean misdirected;
  private boolean discarding;
  private long discarded;
  private boolean over;
  private long headAt;
  private String outcome = "no answer yet";

  /**
   * Creates an attempt that has not started.
   *
   * @param isRepeated whether the request was sent to this target before
   */
  Attempt(
      GatewayExchange owner,
      Gateway gateway,
      DiscoveredTarget target,
      long expectedNanos,
      boolean isRepeated) {
    this.owner = owner;
    this.gateway = gateway;
    this.target = target;
    this.expectedNanos = expectedNanos;
    this.isRepeated = isRepeated;
  }

  void start() {
    gateway.book().onSend(target, startedAt);
    // A kept connection may bring an answer to the earlier sending once more, with the same id.
    Exchange e =
        isRepeated
            ? gateway.connections().startOnNew(target.address(), outgoing(), this)
            : gateway.connections().start(target.address(), outgoing(), this);
    exchange = e;
    if (over) {
      return;
    }
    owner.body().writeTo(e);
    long limit =
        Math.max(
            (long) (PATIENCE * expectedNanos), (long) (OBJECTIVE_PART * owner.objectiveNanos()));
    if (owner.hasSpareAttempt()) {
      patience = schedule(this::onPatienceOver, limit);
    }
  }

  boolean mayHaveRun() {
    return sent && !notRun;
  }

  boolean isMisdirected() {
    return misdirected;
  }

  boolean hasAnswerBegun() {
    return relay != null;
  }

  long expectedNanos() {
    return expectedNanos;
  }

  /** Returns the nanoseconds after which the caller had better come back. */
  long retryNanos() {
    return TURNED_AWAY_RETRY;
  }

  String outcome() {
    return outcome;
  }

  /** Ends the attempt, since nobody waits for it any more. */
  void cancel() {
    if (!over) {
      gateway.book().onCancelled(target);
      breakOff();
    }
  }

  /** Ends the attempt, since the target did not answer in time. */
  void cancelLate() {
    if (!over) {
      gateway.book().onFailure(target, System.nanoTime());
      breakOff();
    }
  }

  @Override
  public boolean onSending() {
    // The end of the caller's connection is known before Armeria has told the request of it.
    sent = !owner.endIfCallerLeft();
    return sent;
  }

  @Override
  public boolean onHead(HttpResponse head) {
    ResponseHead a = gateway.headerCodec().readResponse(head);
    String id = a.requestId();
    // Without an id, a refusal on a kept connection may be an earlier request's.
    boolean ours =
        id == null
            ? a.isNotRun() && !exchange().isOnKeptConnection()
            : id.equals(owner.requestId());
    if (!ours || over) {
      return false;
    }
    headAt = System.nanoTime();
    answer = a;
    notRun = a.isNotRun();
    misdirected = a.isMisdirected();
    stopPatience();
    boolean failed = head.status().code() >= SERVER_ERROR;
    if (notRun) {
      outcome = "turned away with " + head.status().code();
      discard();
      return true;
    }
    if (failed) {
      outcome = "failed with " + head.status().code();
      if (owner.mayRetry(this, headAt)) {
        discard();
        return true;
      }
    }
    relay = new AnswerRelay(owner.writer(), exchange());
    relay.head(head);
    return true;
  }

  @Override
  public void onData(ByteBuf data) {
    if (relay != null && !over) {
      relay.data(data);
    }
    if (discarding) {
      discarded += data.readableBytes();
      if (discarded > MOST_DISCARDED_BYTES) {
        endDiscarding();
      }
    }
  }

  @Override
  public void onEnd() {
    if (over) {
      return;
    }
    over = true;
    stopPatience();
    AnswerRelay r = relay;
    long now = System.nanoTime();
    ReportedLoad load = answer == null ? null : answer.load();
    if (r != null) {
      gateway.book().onResponse(target, now, headAt - startedAt, r.bytes(), load);
      r.end();
      owner.onAnswered();
    } else if (notRun) {
      Logger.debug(
          "request {} was {} by {}, which tells {}; expected {}",
          owner.requestId(),
          outcome,
          target.id(),
          load,
          gateway.book().describe(target, now));
      gateway.book().onRejected(target, now, load);
      owner.onAttemptFailed(this);
    } else {
      gateway.book().onFailure(target, now);
      owner.onAttemptFailed(this);
    }
  }

  @Override
  public void onFailure(ExchangeFailure failure) {
    if (over) {
      return;
    }
    over = true;
    stopPatience();
    Logger.debug(
        "request {} at {} ended as {} after {} ms",
        owner.requestId(),
        target.id(),
        failure,
        (System.nanoTime() - startedAt) / MS);
    gateway.book().onFailure(target, System.nanoTime());
    if (relay != null) {
      relay.breakOff(new IllegalStateException("the target broke its answer off"));
      owner.onAnswerCut();
      return;
    }
    if (!discarding) {
      outcome = failure.toString();
    }
    owner.onAttemptFailed(this);
  }

  private void discard() {
    discarding = true;
    patience = schedule(this::endDiscarding, LONGEST_DISCARDING);
  }

  /** Takes an answer that is not passed on for complete, and closes its connection. */
  private void endDiscarding() {
    if (!over) {
      exchange().cancel();
      onEnd();
    }
  }

  private void onPatienceOver() {
    if (over || relay != null || discarding) {
      return;
    }
    if (!owner.maySwitch(this, System.nanoTime())) {
      return;
    }
    outcome = "no answer for " + (System.nanoTime() - startedAt) / MS + " ms";
    cancelLate();
    // Connections that went silent together with this one would delay the next requests.
    gateway.connections().forget(target.address());
    owner.onAttemptFailed(this);
  }

  private void breakOff() {
    over = true;
    stopPatience();
    if (exchange != null) {
      exchange.cancel();
    }
  }

  private ScheduledFuture<?> schedule(Runnable task, long nanos) {
    return owner.ctx().eventLoop().withoutContext().schedule(task, nanos, TimeUnit.NANOSECONDS);
  }

  private void stopPatience() {
    if (patience != null) {
      patience.cancel(false);
    }
  }

  private Exchange exchange() {
    if (exchange == null) {
      throw new IllegalStateException("the attempt has not started");
    }
    return exchange;
  }

  private io.netty.handler.codec.http.HttpRequest outgoing() {
    HttpRequest request = owner.request();
    RequestHeaders in = request.headers();
    io.netty.handler.codec.http.HttpRequest out =
        new DefaultHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.valueOf(in.method().name()), owner.ctx().rawPath());
    copyHeaders(in, out.headers());
    String authority = in.authority();
    if (authority != null) {
      out.headers().set(HttpHeaderNames.HOST, authority);
    }
    long left = Math.max(1, (owner.deadlineAt() - System.nanoTime()) / MS);
    gateway.headerCodec().writeRequest(out.headers(), owner.requestId(), left, target.id());
    return out;
  }

  private void copyHeaders(HttpHeaders in, io.netty.handler.codec.http.HttpHeaders out) {
    for (Map.Entry<io.netty.util.AsciiString, String> h : in) {
      String name = h.getKey().toString();
      if (!name.startsWith(":") && !AnswerRelay.CONNECTION_HEADERS.contains(name)) {
        out.add(name, h.getValue());
      }
    }
    if (!in.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      if (!owner.body().isRepeatable()) {
        out.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      } else if (owner.body().length() > 0) {
        out.set(HttpHeaderNames.CONTENT_LENGTH, owner.body().length());
      }
    }
  }
}
