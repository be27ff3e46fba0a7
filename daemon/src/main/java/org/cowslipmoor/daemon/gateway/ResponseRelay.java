package org.cowslipmoor.daemon.gateway;

import com.google.common.collect.ImmutableSet;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Locale;
import java.util.Map;
import org.cowslipmoor.daemon.http.Exchange;

/**
 * Relays a target's response to the caller, with backpressure from the caller. Confined to the
 * event loop.
 */
final class ResponseRelay {
  /** Names of the hop-by-hop headers, which are not forwarded. */
  static final ImmutableSet<String> CONNECTION_HEADERS =
      ImmutableSet.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  /** Number of bytes not yet consumed by the caller above which reading from the target pauses. */
  private static final int MAX_BACKLOG_BYTES = 131_072;

  private final GatewayExchange callerExchange;
  private final HttpResponseWriter writer;
  private final Exchange exchange;
  private int backlogBytes;
  private boolean paused;
  private long bodyBytes;

  ResponseRelay(GatewayExchange callerExchange, Exchange exchange) {
    this.callerExchange = callerExchange;
    this.writer = callerExchange.writer();
    this.exchange = exchange;
  }

  void writeHead(HttpResponse head) {
    ResponseHeadersBuilder headers =
        ResponseHeaders.builder(HttpStatus.valueOf(head.status().code()));
    for (Map.Entry<String, String> h : head.headers()) {
      String name = h.getKey().toLowerCase(Locale.ROOT);
      if (!CONNECTION_HEADERS.contains(name)) {
        headers.add(name, h.getValue());
      }
    }
    writer.write(headers.build());
  }

  void writeData(ByteBuf data) {
    bodyBytes += data.readableBytes();
    backlogBytes += data.readableBytes();
    boolean isWaiting = callerExchange.isWaiting();
    boolean mayContinue = callerExchange.onResponseBytes(data.readableBytes());
    writer.write(HttpData.wrap(ByteBufUtil.getBytes(data)));
    // A waiting response is read as long as there is memory for it, since its target is busy or
    // even gives up while it is not read.
    boolean mustPause = isWaiting ? !mayContinue : backlogBytes > MAX_BACKLOG_BYTES;
    if (mustPause && !paused) {
      paused = true;
      exchange.setReading(false);
      writer.whenConsumed().thenRun(this::resume);
    }
  }

  void complete() {
    writer.close();
  }

  /** Returns the number of body bytes relayed so far. */
  long bodyBytes() {
    return bodyBytes;
  }

  private void resume() {
    paused = false;
    backlogBytes = 0;
    exchange.setReading(true);
  }
}
