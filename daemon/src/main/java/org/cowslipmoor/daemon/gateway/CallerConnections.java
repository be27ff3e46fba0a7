package org.cowslipmoor.daemon.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the open connections of callers, so that a graceful shutdown can close those that carry no
 * request. Confined to the event loop.
 */
final class CallerConnections {
  /** Time that a new connection is kept open to receive its first request. */
  private static final long FIRST_REQUEST_TIMEOUT_NANOS = 300_000_000L;

  private final Map<Channel, ConnectionState> states = new HashMap<>();

  /** Registers a connection that was just accepted. */
  void onAccepted(ChannelPipeline pipeline) {
    Channel channel = pipeline.channel();
    states.put(channel, new ConnectionState());
    channel.closeFuture().addListener(unused -> states.remove(channel));
  }

  /** Records the start of a request on a connection. */
  void onRequestStart(Channel channel) {
    ConnectionState s = states.get(channel);
    if (s != null) {
      s.requestsInProgress++;
    }
  }

  /** Records the end of a request on a connection, after its response. */
  void onRequestEnd(Channel channel) {
    ConnectionState s = states.get(channel);
    if (s != null) {
      s.requestsInProgress--;
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
      if (s.requestsInProgress == 0 && now - s.acceptedAt >= FIRST_REQUEST_TIMEOUT_NANOS) {
        e.getKey().close();
      }
    }
    return states.isEmpty();
  }

  /** The state of one connection. */
  private static final class ConnectionState {
    final long acceptedAt = System.nanoTime();
    int requestsInProgress;
  }
}
