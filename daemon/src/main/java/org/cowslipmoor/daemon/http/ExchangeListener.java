package org.cowslipmoor.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Takes the answer of one exchange; called by the connections' event loop. */
public interface ExchangeListener {

  /**
   * Is told that the request is about to be written to a connection.
   *
   * @return whether it is still wanted; one that is not is never written, and the listener is not
   *     called any more
   */
  default boolean onSending() {
    return true;
  }

  /**
   * Takes the answer's head.
   *
   * @return whether the answer belongs to the request; one that does not is skipped, and the
   *     connection is not used again
   */
  boolean onHead(HttpResponse head);

  /** Takes a piece of the answer's body, which is valid during the call only. */
  void onData(ByteBuf data);

  /** Is told that the answer is complete; the last call. */
  void onEnd();

  /** Is told that there will be no whole answer; the last call. */
  void onFailure(ExchangeFailure failure);
}
