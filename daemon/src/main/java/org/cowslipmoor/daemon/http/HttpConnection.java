package org.cowslipmoor.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** A connection to one address; carries one exchange at a time. Confined to its event loop. */
final class HttpConnection extends ChannelInboundHandlerAdapter {
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

  /** Time by which a connection is given up before the other side would close it. */
  private static final long CLOSE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Most bytes before an answer's head, interim heads and blank lines included. */
  private static final long MAX_BYTES_BEFORE_HEAD = 131_072;

  /** Most bytes of answers to other requests, apart from their heads, before the answer's head. */
  private static final long MAX_SKIPPED_BYTES = 1 << 20;

  private final String address;
  private final Channel channel;
  private final BiConsumer<HttpConnection, Boolean> whenFree;
  private @Nullable Exchange current;
  private boolean started;
  private boolean kept;
  private boolean headSeen;
  private boolean skipping;
  private long bytesBeforeHead;
  private long skippedBytes;
  private boolean reusable = true;
  private boolean freed;
  private long idleLimitNanos;
  private long idleSince;

  /** Creates a connection; {@code whenFree} is told whether it may carry another exchange. */
  HttpConnection(
      String address,
      Channel channel,
      long idleLimitNanos,
      BiConsumer<HttpConnection, Boolean> whenFree) {
    this.address = address;
    this.channel = channel;
    this.idleLimitNanos = idleLimitNanos;
    this.whenFree = whenFree;
    this.idleSince = System.nanoTime();
  }

  String address() {
    return address;
  }

  /** Makes the connection take what its channel reads. */
  void addHandlers(ChannelPipeline pipeline) {
    pipeline.addLast(new ResponseDecoder(this), new HttpRequestEncoder(), this);
  }

  void start(Exchange exchange) {
    current = exchange;
    kept = started;
    started = true;
    headSeen = false;
    bytesBeforeHead = 0;
    skippedBytes = 0;
    freed = false;
    if (exchange.begin(this)) {
      channel.flush();
    } else {
      current = null;
      free(reusable);
    }
  }

  ChannelFuture write(Object message) {
    return channel.writeAndFlush(message);
  }

  void setReading(boolean reading) {
    channel.config().setAutoRead(reading);
  }

  void close() {
    reusable = false;
    channel.close();
  }

  /**
   * Closes the connection by a reset: what was written and has not arrived, for instance since the
   * network is parted, must not arrive later.
   */
  void reset() {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    close();
  }

  /** Tells whether bytes that come now can belong to an answer that is waited for. */
  boolean expectsBytes() {
    return current != null
        && bytesBeforeHead <= MAX_BYTES_BEFORE_HEAD
        && skippedBytes <= MAX_SKIPPED_BYTES;
  }

  /** Counts bytes that were decoded after what the connection has taken so far. */
  void onDecoded(int bytes) {
    if (skipping) {
      skippedBytes += bytes;
    } else if (!headSeen) {
      bytesBeforeHead += bytes;
    }
  }

  /** Ends the connection, on which bytes came that belong to no answer that is waited for. */
  void onUnexpectedBytes() {
    if (reusable || current != null) {
      Logger.warn("connection to {} delivered bytes that answer no request; closing it", address);
    }
    fail(ExchangeFailure.MALFORMED);
    reset();
  }

  /** Tells whether the present exchange is not the first one. */
  boolean isReused() {
    return kept;
  }

  boolean isHeadRequest() {
    return current != null && current.isHeadRequest();
  }

  /** Tells whether the connection may still be used, having been idle since its last exchange. */
  boolean isFresh(long now) {
    return reusable && channel.isActive() && now - idleSince < idleLimitNanos;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (message instanceof HttpResponse head) {
        onHead(head);
      }
      if (message instanceof HttpContent content) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    // Given back only now: bytes after the answer, read together with it, spoil the connection.
    if (current == null && !freed) {
      free(reusable);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    Logger.debug("connection to {} failed: {}", address, cause.toString());
    fail(headSeen ? ExchangeFailure.ANSWER_CUT : ExchangeFailure.NO_ANSWER);
    reset();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    reusable = false;
    fail(headSeen ? ExchangeFailure.ANSWER_CUT : ExchangeFailure.NO_ANSWER);
    if (!freed) {
      free(false);
    }
  }

  private void onHead(HttpResponse head) {
    Exchange exchange = current;
    if (exchange == null
        || !head.decoderResult().isSuccess()
        || head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      onUnexpectedBytes();
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skipping = true;
      return;
    }
    if (!HttpUtil.isKeepAlive(head)) {
      reusable = false;
    }
    updateIdleLimit(head);
    if (exchange.isOver()) {
      skipping = true;
      reusable = false;
    } else if (exchange.listener().onHead(head)) {
      headSeen = true;
    } else {
      if (reusable) {
        Logger.warn("connection to {} delivered an answer to another request", address);
      }
      skipping = true;
      reusable = false;
    }
  }

  private void onContent(HttpContent content) {
    Exchange exchange = current;
    if (exchange == null) {
      return;
    }
    if (!content.decoderResult().isSuccess()) {
      onUnexpectedBytes();
      return;
    }
    boolean last = content instanceof LastHttpContent;
    if (skipping) {
      skipping = !last;
      return;
    }
    if (!headSeen) {
      return;
    }
    ByteBuf data = content.content();
    if (data.isReadable() && !exchange.isOver()) {
      exchange.listener().onData(data);
    }
    if (last) {
      current = null;
      // The rest of a request body that is still being written would be taken for a new request.
      reusable &= exchange.hasBodyEnded() && !exchange.isOver();
      idleSince = System.nanoTime();
      exchange.succeed();
    }
  }

  private void updateIdleLimit(HttpResponse head) {
    String value = head.headers().get(HttpHeaderNames.KEEP_ALIVE);
    if (value == null) {
      return;
    }
    Matcher m = KEEP_ALIVE_TIMEOUT.matcher(value);
    if (m.find()) {
      long announced = TimeUnit.SECONDS.toNanos(Long.parseLong(m.group(1)));
      idleLimitNanos = Math.max(0, announced - CLOSE_MARGIN_NANOS);
    }
  }

  private void fail(ExchangeFailure failure) {
    Exchange exchange = current;
    current = null;
    reusable = false;
    if (exchange != null) {
      exchange.fail(failure);
    }
  }

  private void free(boolean mayBeReused) {
    freed = true;
    channel.config().setAutoRead(true);
    if (!mayBeReused) {
      channel.close();
    }
    whenFree.accept(this, mayBeReused);
  }
}
