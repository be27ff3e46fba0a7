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

/** Passes a target's answer on to the caller, at the caller's pace. Confined to the event loop. */
final class AnswerRelay {
  /** Headers that concern one connection only. */
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

  /** Bytes that the caller has not taken yet at which the target is no longer read. */
  private static final int LARGEST_BACKLOG = 131_072;

  private final HttpResponseWriter writer;
  private final Exchange exchange;
  private int backlog;
  private boolean waiting;
  private long bytes;

  AnswerRelay(HttpResponseWriter writer, Exchange exchange) {
    this.writer = writer;
    this.exchange = exchange;
  }

  void head(HttpResponse head) {
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

  void data(ByteBuf data) {
    bytes += data.readableBytes();
    backlog += data.readableBytes();
    writer.write(HttpData.wrap(ByteBufUtil.getBytes(data)));
    if (backlog > LARGEST_BACKLOG && !waiting) {
      waiting = true;
      exchange.setReading(false);
      writer.whenConsumed().thenRun(this::resume);
    }
  }

  void end() {
    writer.close();
  }

  /** Breaks the answer off, so that the caller can't take it for complete. */
  void breakOff(Throwable cause) {
    writer.close(cause);
  }

  /** Returns the length of the body so far. */
  long bytes() {
    return bytes;
  }

  private void resume() {
    waiting = false;
    backlog = 0;
    exchange.setReading(true);
  }
}
