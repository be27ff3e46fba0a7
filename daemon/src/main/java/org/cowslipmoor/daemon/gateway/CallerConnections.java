package org.cowslipmoor.daemon.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.routing.CallerLimits;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Tracks the open connections of callers and their requests. Ends the requests of a connection as
 * soon as it is closed, which the server reports only a second later. Closes connections that carry
 * no request: all of them in a graceful shutdown, otherwise those that stay idle or take too long
 * to send a request's head. Closes connections whose caller doesn't read. Confined to the event
 * loop.
 *
 * <p>Callers of HTTP/1 may send requests ahead. Their responses are returned in the order of the
 * requests; a response is <em>waiting</em> while an earlier one is not complete. The number of
 * requests in progress on a connection and the bytes of its waiting responses are bounded: beyond
 * the bounds the host doesn't read further requests.
 */
final class CallerConnections {
  /** Time that a new connection is kept open to receive its first request. */
  private static final long FIRST_REQUEST_TIMEOUT_NANOS = 300_000_000L;

  /** Maximum number of requests in progress on a connection, the one being answered included. */
  static final int MAX_REQUESTS = 32;

  /**
   * Number of bytes of waiting responses of a connection from which no further request is read, and
   * from which the host pauses reading those responses. 48 such connections exhaust the memory for
   * bodies.
   */
  static final long MAX_WAITING_BYTES = 524_288;

  /**
   * Time after which a connection is closed whose caller reads nothing of what is written to it.
   * Targets cut off responses that remain unread for some seconds. Checked once a second.
   */
  private static final long MAX_UNREAD_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final Map<Channel, ConnectionState> states = new HashMap<>();

  /**
   * Registers a connection that was just accepted.
   *
   * @param isForRequests whether callers send requests on it; the limits on them don't apply to
   *     connections that check readiness or read metrics
   */
  void onAccepted(ChannelPipeline pipeline, boolean isForRequests) {
    Channel channel = pipeline.channel();
    ConnectionState state = new ConnectionState(isForRequests);
    states.put(channel, state);
    if (isForRequests) {
      pipeline.addFirst(state.gate);
    }
    channel
        .closeFuture()
        .addListener(
            unused -> {
              states.remove(channel);
              for (GatewayExchange request : List.copyOf(state.requests)) {
                request.endIfCallerDisconnected();
                request.releaseWaitingBytes();
              }
            });
  }

  /**
   * Records the start of a request on a connection.
   *
   * @param isMultiplexed whether responses on the connection may be returned in any order
   * @return whether the request may be processed; if not, an earlier response closes the
   *     connection, and the caller treats the request as not read
   */
  boolean onRequestStart(Channel channel, GatewayExchange request, boolean isMultiplexed) {
    ConnectionState s = states.get(channel);
    if (s == null) {
      return true;
    }
    s.isMultiplexed = isMultiplexed;
    s.headStartedAt = 0;
    if (s.isClosing) {
      s.ignoredRequests++;
      return false;
    }
    s.requests.add(request);
    return true;
  }

  /** Records the end of a request on a connection, after its response. */
  void onRequestEnd(Channel channel, GatewayExchange request) {
    ConnectionState s = states.get(channel);
    if (s == null || !s.requests.remove(request)) {
      return;
    }
    s.idleSince = System.nanoTime();
    GatewayExchange first = s.first();
    if (first != null) {
      first.releaseWaitingBytes();
    } else if (s.isClosing) {
      s.gate.closeAfterWrites();
    }
    s.gate.passOn();
  }

  /** Returns whether an earlier response on the connection has to be completed first. */
  boolean isWaiting(Channel channel, GatewayExchange request) {
    ConnectionState s = states.get(channel);
    return s != null && !s.isMultiplexed && s.first() != request && s.requests.contains(request);
  }

  /**
   * Records that the response to a request closes the connection: later requests are not processed,
   * and those in progress are cancelled, since their caller treats them as not read and may send
   * them again.
   */
  void onClosingResponse(Channel channel, GatewayExchange request) {
    ConnectionState s = states.get(channel);
    if (s == null || s.isMultiplexed || !s.requests.contains(request)) {
      return;
    }
    s.isClosing = true;
    boolean isBehind = false;
    for (GatewayExchange r : List.copyOf(s.requests)) {
      if (isBehind) {
        s.requests.remove(r);
        s.ignoredRequests++;
        r.cancelBehindClose();
      }
      isBehind |= r == request;
    }
  }

  /**
   * Ends the connection after the requests in progress on it: further requests are not processed.
   */
  void closeAfterRequests(Channel channel) {
    ConnectionState s = states.get(channel);
    if (s != null && !s.isMultiplexed) {
      s.isClosing = true;
    }
  }

  /**
   * Adds to the bytes of the waiting responses of a connection, or takes from them; returns whether
   * they are within the bound.
   */
  boolean addWaitingBytes(Channel channel, long bytes) {
    ConnectionState s = states.get(channel);
    if (s == null) {
      return true;
    }
    s.waitingBytes += bytes;
    if (bytes < 0) {
      s.gate.passOn();
    }
    return s.waitingBytes <= MAX_WAITING_BYTES;
  }

  /**
   * Closes the connections that exceed the limits on idle time and on the time for a head, and
   * those whose caller doesn't read.
   */
  void closeExpired(CallerLimits limits, long now) {
    long maxHeadNanos = TimeUnit.MILLISECONDS.toNanos(limits.headerTimeoutMillis());
    long maxIdleNanos = TimeUnit.MILLISECONDS.toNanos(limits.idleTimeoutMillis());
    for (Map.Entry<Channel, ConnectionState> e : List.copyOf(states.entrySet())) {
      ConnectionState s = e.getValue();
      boolean isExpired =
          s.headStartedAt == 0
              ? now - s.idleSince > maxIdleNanos
              : now - s.headStartedAt > maxHeadNanos;
      boolean isUnread = s.isUnread(e.getKey(), now);
      if (s.isForRequests && isUnread) {
        Logger.info(
            "event=unread_connection bytes={} requests={}", s.unsentBytes, s.requests.size());
      }
      if (s.isForRequests && (isUnread || (s.requests.isEmpty() && isExpired))) {
        e.getKey().close();
      }
    }
  }

  /**
   * Closes the connections without a request, except those opened recently; returns whether no
   * connection is left.
   */
  boolean closeIdle() {
    long now = System.nanoTime();
    for (Map.Entry<Channel, ConnectionState> e : List.copyOf(states.entrySet())) {
      ConnectionState s = e.getValue();
      if (s.requests.isEmpty() && now - s.acceptedAt >= FIRST_REQUEST_TIMEOUT_NANOS) {
        e.getKey().close();
      }
    }
    return states.isEmpty();
  }

  /** The state of one connection. */
  private static final class ConnectionState {
    final long acceptedAt = System.nanoTime();
    final boolean isForRequests;
    final RequestGate gate = new RequestGate(this::room, this::onBytes);

    /** The requests in progress, in the order in which they were read. */
    final Set<GatewayExchange> requests = new LinkedHashSet<>();

    boolean isMultiplexed;

    /** Whether a response to one of the requests closes the connection. */
    boolean isClosing;

    /** Number of requests without a response, behind one that closes the connection. */
    int ignoredRequests;

    /** Bytes of responses that wait until the earlier ones are complete. */
    long waitingBytes;

    /** What the connection had not sent when it was checked last, and of it the first message. */
    long unsentBytes;

    long sentOfFirstBytes;

    /** Time since which that has not changed. */
    long unreadSince = acceptedAt;

    /** Time since which no request has been in progress. */
    long idleSince = acceptedAt;

    /** Time at which the first bytes of the next request's head arrived; 0 if none have. */
    long headStartedAt;

    ConnectionState(boolean isForRequests) {
      this.isForRequests = isForRequests;
    }

    @Nullable GatewayExchange first() {
      return requests.isEmpty() ? null : requests.iterator().next();
    }

    /** Returns the number of further requests that may be read now. */
    int room() {
      if (isMultiplexed) {
        return Integer.MAX_VALUE;
      }
      return waitingBytes > MAX_WAITING_BYTES
          ? 0
          : MAX_REQUESTS - requests.size() - ignoredRequests;
    }

    /**
     * Returns whether the caller has read nothing for too long although there are bytes for it.
     * Must be called regularly.
     */
    boolean isUnread(Channel channel, long now) {
      ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
      long bytes = unsent == null ? 0 : unsent.totalPendingWriteBytes();
      // Bytes of the first message that have been sent are not subtracted until all of it is sent.
      long sentOfFirst = unsent == null ? 0 : unsent.currentProgress();
      if (bytes == 0 || bytes != unsentBytes || sentOfFirst != sentOfFirstBytes) {
        unsentBytes = bytes;
        sentOfFirstBytes = sentOfFirst;
        unreadSince = now;
      }
      return now - unreadSince > MAX_UNREAD_NANOS;
    }

    /** Records when the head of a request begins to arrive, before it is decoded. */
    private void onBytes() {
      if (requests.isEmpty() && headStartedAt == 0) {
        headStartedAt = System.nanoTime();
      }
    }
  }
}
