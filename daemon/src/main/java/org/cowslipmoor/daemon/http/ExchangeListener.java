package org.cowslipmoor.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response of one exchange; called on the connections' event loop. */
public interface ExchangeListener {

  /**
   * Called when the request is about to be written to a connection.
   *
   * @return whether the request is still to be sent; if not, it is never written, and the listener
   *     is not called again
   */
  default boolean onSending() {
    return true;
  }

  /**
   * Called with the response's head.
   *
   * @return whether the response belongs to the request; if not, it is skipped, and the connection
   *     is not reused
   */
  boolean onHead(HttpResponse head);

  /** Called with a chunk of the response's body, which is valid only during the call. */
  void onData(ByteBuf data);

  /** Called last, when the response is complete. */
  void onEnd();

  /** Called last, when there will be no complete response. */
  void onFailure(ExchangeFailure failure);
}
