package org.cowslipmoor.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/** Decodes the responses on a connection while the connection expects one. */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_HEAD_BYTES = 65_536;

  private final HttpConnection connection;

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
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return connection.isHeadRequest() || super.isContentAlwaysEmpty(message);
  }
}
