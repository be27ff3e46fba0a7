package org.cowslipmoor.daemon.http;

import static com.google.common.base.Preconditions.checkArgument;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes the responses on a connection while the connection expects one. A response whose status
 * line can't be passed on to a caller is malformed. The base class also refuses header names that
 * are no tokens and header values with control characters. The reason phrase is not passed on and
 * not checked here.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_HEAD_BYTES = 65_536;

  /** The base class accepts any integer, so that {@code 2 00} would be status 2. */
  private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

  /** Other major versions have another message format; a higher minor version does not. */
  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");

  private final HttpConnection connection;
  private boolean inputEnded;

  ResponseDecoder(HttpConnection connection) {
    super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES));
    this.connection = connection;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    // The connection has already received everything that was decoded before.
    if (!connection.expectsBytes()) {
      in.skipBytes(in.readableBytes());
      connection.onUnexpectedBytes();
      return;
    }
    int before = in.readableBytes();
    super.decode(ctx, in, out);
    connection.onDecoded(before - in.readableBytes());
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    // An exception marks the message as malformed.
    checkArgument(VERSION.matcher(initialLine[0]).matches(), "the version is not HTTP/1.x");
    checkArgument(
        STATUS.matcher(initialLine[1]).matches(),
        "the status is not a number of three digits from 100 to 599");
    return super.createMessage(initialLine);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
    inputEnded |= event instanceof ChannelInputShutdownEvent;
    super.userEventTriggered(ctx, event);
  }

  @Override
  protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
      throws Exception {
    // A lost connection doesn't end a response without a length; only the end of its input does.
    if (inputEnded) {
      super.decodeLast(ctx, in, out);
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return connection.isHeadRequest() || super.isContentAlwaysEmpty(message);
  }
}
