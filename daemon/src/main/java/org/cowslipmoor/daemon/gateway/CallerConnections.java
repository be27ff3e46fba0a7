package org.cowslipmoor.daemon.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.routing.CallerLimits;

/**
 * Tracks the open connections of callers and their requests. Ends the requests of a connection as
 * soon as it is closed, which the server reports only a second later. Closes connections that carry
 * no request: all of them in a graceful shutdown, otherwise those that stay idle or take too long
 * to send a request's head. Confined to the event loop.
 */
final class CallerConnections {
  /** Time that a new connection is kept open to receive its first request. */
  private static final long FIRST_REQUEST_TIMEOUT_NANOS = 300_000_000L;

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
      pipeline.addFirst(new ReadObserver(state));
    }
    channel
        .closeFuture()
        .addListener(
            unused -> {
              states.remove(channel);
              List.copyOf(state.requests).forEach(GatewayExchange::endIfCallerDisconnected);
            });
  }

  /** Records the start of a request on a connection. */
  void onRequestStart(Channel channel, GatewayExchange request) {
    ConnectionState s = states.get(channel);
    if (s != null) {
      s.requests.add(request);
      s.headStartedAt = 0;
    }
  }

  /** Records the end of a request on a connection, after its response. */
  void onRequestEnd(Channel channel, GatewayExchange request) {
    ConnectionState s = states.get(channel);
    if (s != null) {
      s.requests.remove(request);
      s.idleSince = System.nanoTime();
    }
  }

  /** Closes the connections that exceed the limits on idle time and on the time for a head. */
  void closeExpired(CallerLimits limits, long now) {
    long maxHeadNanos = TimeUnit.MILLISECONDS.toNanos(limits.headerTimeoutMillis());
    long maxIdleNanos = TimeUnit.MILLISECONDS.toNanos(limits.idleTimeoutMillis());
    for (Map.Entry<Channel, ConnectionState> e : List.copyOf(states.entrySet())) {
      ConnectionState s = e.getValue();
      boolean isExpired =
          s.headStartedAt == 0
              ? now - s.idleSince > maxIdleNanos
              : now - s.headStartedAt > maxHeadNanos;
      if (s.isForRequests && s.requests.isEmpty() && isExpired) {
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
    final Set<GatewayExchange> requests = new HashSet<>();

    /** Time since which no request has been in progress. */
    long idleSince = acceptedAt;

    /** Time at which the first bytes of the next request's head arrived; 0 if none have. */
    long headStartedAt;

    ConnectionState(boolean isForRequests) {
      this.isForRequests = isForRequests;
    }
  }

  /** Observes when the head of a request begins to arrive, before it is decoded. */
  private static final class ReadObserver extends ChannelInboundHandlerAdapter {
    private final ConnectionState state;

    ReadObserver(ConnectionState state) {
      this.state = state;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (state.requests.isEmpty() && state.headStartedAt == 0) {
        state.headStartedAt = System.nanoTime();
      }
      ctx.fireChannelRead(message);
    }
  }
}
