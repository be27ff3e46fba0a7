package org.cowslipmoor.daemon.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The open connections of callers, so that a planned stop can close those that carry no request.
 * Confined to the event loop.
 */
final class CallerConnections {
  /** Time in nanoseconds for which a new connection may take to bring its first request. */
  private static final long FIRST_REQUEST_NANOS = 300_000_000L;

  private final Map<Channel, State> states = new HashMap<>();

  /** Takes a connection that was just accepted. */
  void onAccepted(ChannelPipeline pipeline) {
    Channel channel = pipeline.channel();
    states.put(channel, new State());
    channel.closeFuture().addListener(unused -> states.remove(channel));
  }

  /** Notes that a request has begun on a connection. */
  void onRequest(Channel channel) {
    State s = states.get(channel);
    if (s != null) {
      s.requests++;
    }
  }

  /** Notes that a request on a connection has ended, its answer included. */
  void onAnswered(Channel channel) {
    State s = states.get(channel);
    if (s != null) {
      s.requests--;
    }
  }

  /** Closes the connections without a request; returns whether none is left. */
  boolean closeIdle() {
    long now = System.nanoTime();
    for (Map.Entry<Channel, State> e : List.copyOf(states.entrySet())) {
      State s = e.getValue();
      if (s.requests == 0 && now - s.acceptedAt >= FIRST_REQUEST_NANOS) {
        e.getKey().close();
      }
    }
    return states.isEmpty();
  }

  /** What is known of one connection. */
  private static final class State {
    final long acceptedAt = System.nanoTime();
    int requests;
  }
}
