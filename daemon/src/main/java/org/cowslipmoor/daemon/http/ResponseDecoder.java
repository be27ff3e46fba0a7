package org.cowslipmoor.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/** Decodes the responses on a connection while the connection expects one. */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_HEAD_BYTES = 65_536;

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
