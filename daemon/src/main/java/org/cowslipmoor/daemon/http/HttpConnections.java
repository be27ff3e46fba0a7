package org.cowslipmoor.daemon.http;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import org.jspecify.annotations.Nullable;

/** A pool of connections to any number of addresses. Confined to one event loop. */
public final class HttpConnections {
  /** Time without traffic before the first TCP keep-alive probe, and between probes. */
  private static final int PROBE_INTERVAL_SECONDS = 1;

  /** Unacknowledged keep-alive probes after which a connection counts as dead. */
  private static final int MAX_UNACKNOWLEDGED_PROBES = 2;

  /** Connect time from which this host's event loop is assumed to lag. */
  private static final long SLOW_CONNECT_NANOS = 100_000_000L;

  private static final long SLOW_CONNECT_DELAY_MILLIS = 2;

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final long idleLimitNanos;
  private final UnexpectedBytes unexpectedBytes = new UnexpectedBytes();
  private final Map<String, Deque<HttpConnection>> idle = new HashMap<>();
  private Consumer<String> onIdleLost = unused -> {};

  /**
   * Creates an empty pool.
   *
   * @param loop event loop on which all methods are called
   * @param connectTimeout timeout for establishing a connection
   * @param idleLimit maximum time that an unused connection is kept, unless the other side
   *     announces a timeout
   */
  public HttpConnections(EventLoop loop, Duration connectTimeout, Duration idleLimit) {
    this.loop = loop;
    this.idleLimitNanos = idleLimit.toNanos();
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_INTERVAL_SECONDS)
            .option(
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_SECONDS)
            .option(
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_UNACKNOWLEDGED_PROBES)
            // Tells the end of the input, which may end a response, from a lost connection.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel ch) {
                    // The handlers depend on the address and are added once it is connected.
                  }
                });
  }

  /**
   * Starts an exchange on an idle connection or a new one.
   *
   * @param address address to connect to, as {@code ip:port}
   * @param head the request's head; the body is written by {@link Exchange#write}
   */
  public Exchange start(String address, HttpRequest head, ExchangeListener listener) {
    return start(address, head, listener, null);
  }

  /**
   * Starts an exchange on an idle connection or a new one. A connection that has retired the id is
   * not used: a duplicate of an earlier response there could not be told from the response to this
   * request.
   *
   * @param address address to connect to, as {@code ip:port}
   * @param head the request's head; the body is written by {@link Exchange#write}
   * @param id the correlation id that the request and its response bear; null if they bear none
   */
  public Exchange start(
      String address, HttpRequest head, ExchangeListener listener, @Nullable String id) {
    Exchange exchange = new Exchange(head, listener, id);
    HttpConnection reused = takeIdle(address, exchange.idFingerprint());
    if (reused != null) {
      reused.start(exchange);
    } else {
      connect(address, exchange);
    }
    return exchange;
  }

  /**
   * Starts an exchange on a new connection, where no response to an earlier request can arrive. If
   * several connections are idle, the new one replaces the one that has been idle the longest.
   */
  public Exchange startOnNewConnection(
      String address, HttpRequest head, ExchangeListener listener) {
    Deque<HttpConnection> connections = idle.get(address);
    if (connections != null && connections.size() > 1) {
      connections.removeFirst().close();
    }
    Exchange exchange = new Exchange(head, listener, null);
    connect(address, exchange);
    return exchange;
  }

  /**
   * Sets a listener that is called with the address of each idle connection that the other side
   * closes before its idle limit.
   */
  public void onIdleLost(Consumer<String> listener) {
    onIdleLost = listener;
  }

  /** Closes the idle connections to an address. */
  public void closeIdle(String address) {
    Deque<HttpConnection> connections = idle.remove(address);
    if (connections != null) {
      connections.forEach(HttpConnection::close);
    }
  }

  /** Closes all idle connections whose idle limit has passed. */
  public void closeStale() {
    long now = System.nanoTime();
    for (Deque<HttpConnection> connections : idle.values()) {
      connections.removeIf(
          c -> {
            boolean stale = !c.isFresh(now);
            if (stale) {
              c.close();
            }
            return stale;
          });
    }
    idle.values().removeIf(Deque::isEmpty);
  }

  /**
   * Takes the most recently used idle connection that has not retired the id. If there is none,
   * closes the longest idle one, so that the connection that replaces it is not an additional one:
   * targets limit their connections.
   */
  private @Nullable HttpConnection takeIdle(String address, @Nullable Long idFingerprint) {
    Deque<HttpConnection> connections = idle.get(address);
    if (connections == null) {
      return null;
    }
    long now = System.nanoTime();
    for (Iterator<HttpConnection> it = connections.descendingIterator(); it.hasNext(); ) {
      HttpConnection c = it.next();
      if (!c.isFresh(now)) {
        it.remove();
        c.close();
      } else if (idFingerprint == null || !c.hasRetired(idFingerprint)) {
        it.remove();
        return c;
      }
    }
    HttpConnection longestIdle = connections.pollFirst();
    if (longestIdle != null) {
      longestIdle.close();
    }
    return null;
  }

  private void connect(String address, Exchange exchange) {
    HostAndPort to = HostAndPort.fromString(address);
    final long startedAt = System.nanoTime();
    ChannelFuture connecting = bootstrap.connect(new InetSocketAddress(to.getHost(), to.getPort()));
    connecting.addListener(
        unused -> {
          if (!connecting.isSuccess()) {
            exchange.fail(ExchangeFailure.NOT_SENT);
            return;
          }
          Channel channel = connecting.channel();
          HttpConnection c =
              new HttpConnection(address, channel, idleLimitNanos, unexpectedBytes, this::onFree);
          c.onIdleLost(() -> onIdleLost.accept(address));
          c.addHandlers(channel.pipeline());
          if (System.nanoTime() - startedAt < SLOW_CONNECT_NANOS) {
            begin(c, exchange);
          } else {
            // The event loop may have lagged, and the caller may have disconnected: that event is
            // processed first. One delay can expire within the current iteration of the event
            // loop, two can't.
            later(() -> later(() -> begin(c, exchange)));
          }
        });
  }

  private void begin(HttpConnection c, Exchange exchange) {
    if (c.isFresh(System.nanoTime())) {
      c.start(exchange);
    } else {
      exchange.fail(ExchangeFailure.NOT_SENT);
    }
  }

  private void later(Runnable work) {
    loop.schedule(work, SLOW_CONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void onFree(HttpConnection c, boolean mayBeReused) {
    if (mayBeReused) {
      idle.computeIfAbsent(c.address(), unused -> new ArrayDeque<>()).addLast(c);
    } else {
      Deque<HttpConnection> connections = idle.get(c.address());
      if (connections != null) {
        connections.remove(c);
      }
    }
  }

  /** Returns the number of connections that delivered bytes that belong to no pending response. */
  public long unexpectedBytesCount() {
    return unexpectedBytes.count();
  }

  /** Returns the event loop on which all methods are called. */
  public EventLoop loop() {
    return loop;
  }
}
