package org.cowslipmoor.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
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

/** A connection to an address; carries one exchange at a time. Confined to its event loop. */
final class HttpConnection extends ChannelInboundHandlerAdapter {
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

  /** Time before the other side's announced idle timeout at which a connection is closed. */
  private static final long CLOSE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /**
   * Maximum number of bytes up to the end of a response's head, with interim heads and blank lines.
   */
  private static final long MAX_BYTES_BEFORE_HEAD = 131_072;

  /** Maximum number of body bytes of other requests' responses before the response's head. */
  private static final long MAX_SKIPPED_BYTES = 1 << 20;

  private final String address;
  private final Channel channel;
  private final UnexpectedBytes unexpectedBytes;
  private final BiConsumer<HttpConnection, Boolean> onFree;
  private Runnable onIdleLost = () -> {};
  private final RetiredIds retiredIds = new RetiredIds();
  private @Nullable Exchange current;
  private int exchanges;
  private boolean headSeen;
  private boolean skipping;
  private long bytesBeforeHead;
  private long skippedBytes;
  private boolean reusable = true;
  private boolean freed;
  private long idleLimitNanos;
  private long idleSince;

  /**
   * Creates a connection.
   *
   * @param onFree called after each exchange with whether the connection may be reused
   */
  HttpConnection(
      String address,
      Channel channel,
      long idleLimitNanos,
      UnexpectedBytes unexpectedBytes,
      BiConsumer<HttpConnection, Boolean> onFree) {
    this.address = address;
    this.channel = channel;
    this.idleLimitNanos = idleLimitNanos;
    this.unexpectedBytes = unexpectedBytes;
    this.onFree = onFree;
    this.idleSince = System.nanoTime();
  }

  String address() {
    return address;
  }

  /** Returns a short name of the connection, for logs. */
  String id() {
    return channel.id().asShortText();
  }

  /** Returns the number of exchanges started so far. */
  int exchanges() {
    return exchanges;
  }

  boolean hasRetired(long idFingerprint) {
    return retiredIds.contains(idFingerprint);
  }

  /** Retires an id; at the maximum number of ids, the connection is not reused. */
  void retire(long idFingerprint) {
    retiredIds.add(idFingerprint);
    if (retiredIds.isFull()) {
      reusable = false;
    }
  }

  /** Sets a listener that is called if the other side closes the connection while it is idle. */
  void onIdleLost(Runnable listener) {
    onIdleLost = listener;
  }

  /** Adds the handlers of this connection to its channel's pipeline. */
  void addHandlers(ChannelPipeline pipeline) {
    pipeline.addLast(new ResponseDecoder(this), new HttpRequestEncoder(), this);
  }

  void start(Exchange exchange) {
    current = exchange;
    exchanges++;
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
   * Closes the connection with a TCP reset, so that data that has been written but not delivered,
   * for instance because of a network partition, is not delivered later.
   */
  void reset() {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    close();
  }

  /** Returns whether bytes that arrive now can belong to a pending response. */
  boolean expectsBytes() {
    return current != null
        && bytesBeforeHead <= MAX_BYTES_BEFORE_HEAD
        && skippedBytes <= MAX_SKIPPED_BYTES;
  }

  /** Counts bytes that were decoded since the last call. */
  void onDecoded(int bytes) {
    if (skipping) {
      skippedBytes += bytes;
    } else if (!headSeen) {
      bytesBeforeHead += bytes;
    }
  }

  /** Resets the connection, which delivered bytes that belong to no pending response. */
  void onUnexpectedBytes() {
    if (reusable || current != null) {
      unexpectedBytes.onBytes(this, current == null, System.nanoTime());
    }
    fail(ExchangeFailure.MALFORMED);
    reset();
  }

  /** Returns whether the connection carried other exchanges before the current one. */
  boolean isReused() {
    return exchanges > 1;
  }

  boolean isHeadRequest() {
    return current != null && current.isHeadRequest();
  }

  /** Returns whether the connection, idle since its last exchange, may still be used. */
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
    // Freed only now: bytes read together with the response but after it make the connection
    // unusable.
    if (current == null && !freed) {
      free(reusable);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    Logger.debug("connection to {} failed: {}", address, cause.toString());
    notifyIfIdle();
    fail(headSeen ? ExchangeFailure.ANSWER_CUT : ExchangeFailure.NO_ANSWER);
    reset();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      notifyIfIdle();
      close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    reusable = false;
    fail(headSeen ? ExchangeFailure.ANSWER_CUT : ExchangeFailure.NO_ANSWER);
    if (!freed) {
      free(false);
    }
  }

  private void notifyIfIdle() {
    if (current == null && exchanges > 0 && isFresh(System.nanoTime())) {
      onIdleLost.run();
    }
  }

  private void onHead(HttpResponse head) {
    Exchange exchange = current;
    if (!head.decoderResult().isSuccess()) {
      Logger.debug(
          "connection {} to {} delivered a malformed response: {}",
          id(),
          address,
          head.decoderResult().cause().toString());
    }
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
    if (exchange.hasEnded()) {
      skipping = true;
      reusable = false;
    } else if (exchange.listener().onHead(head)) {
      headSeen = true;
    } else {
      Logger.debug(
          "connection {} to {} delivered the response to another request; it is not reused",
          id(),
          address);
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
    if (data.isReadable() && !exchange.hasEnded()) {
      exchange.listener().onData(data);
    }
    if (last) {
      current = null;
      // The target would read the rest of an unfinished request body as a new request.
      reusable &= exchange.hasBodyEnded() && !exchange.hasEnded();
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
    onFree.accept(this, mayBeReused);
  }
}
