package org.cowslipmoor.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Queue;
import org.jspecify.annotations.Nullable;

/** One request and its answer. Confined to the event loop of its connections. */
public final class Exchange {
  private final HttpRequest head;
  private final ExchangeListener listener;
  private final Queue<Chunk> unsent = new ArrayDeque<>();
  private @Nullable HttpConnection connection;
  private boolean bodyEnded;
  private boolean over;

  private record Chunk(ByteBuf data, Runnable whenWritten) {}

  Exchange(HttpRequest head, ExchangeListener listener) {
    this.head = head;
    this.listener = listener;
  }

  /**
   * Writes a piece of the request's body.
   *
   * @param data the piece, whose ownership passes
   * @param whenWritten is run once the connection has taken it
   */
  public void write(ByteBuf data, Runnable whenWritten) {
    HttpConnection c = connection;
    if (over) {
      data.release();
    } else if (c == null) {
      unsent.add(new Chunk(data, whenWritten));
    } else {
      send(c, new Chunk(data, whenWritten));
    }
  }

  /** Ends the request's body. */
  public void end() {
    bodyEnded = true;
    if (connection != null && !over) {
      connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
    }
  }

  /** Ends the exchange by closing its connection; the listener is not called any more. */
  public void cancel() {
    if (over) {
      return;
    }
    finish();
    if (connection != null) {
      connection.reset();
    }
  }

  /** Pauses or resumes the reading of the answer. */
  public void setReading(boolean reading) {
    if (connection != null && !over) {
      connection.setReading(reading);
    }
  }

  /** Tells whether its connection has carried other exchanges before. */
  public boolean isOnReusedConnection() {
    return connection != null && connection.isReused();
  }

  boolean isOver() {
    return over;
  }

  boolean hasBodyEnded() {
    return bodyEnded;
  }

  boolean isHeadRequest() {
    return head.method().equals(HttpMethod.HEAD);
  }

  ExchangeListener listener() {
    return listener;
  }

  /** Begins to write to a connection; returns whether the request is still wanted. */
  boolean begin(HttpConnection newConnection) {
    if (!over && !listener.onSending()) {
      finish();
    }
    if (over) {
      return false;
    }
    connection = newConnection;
    newConnection.write(head);
    while (!unsent.isEmpty()) {
      send(newConnection, unsent.remove());
    }
    if (bodyEnded) {
      newConnection.write(LastHttpContent.EMPTY_LAST_CONTENT);
    }
    return true;
  }

  void fail(ExchangeFailure failure) {
    if (!over) {
      finish();
      listener.onFailure(failure);
    }
  }

  void succeed() {
    if (!over) {
      finish();
      listener.onEnd();
    }
  }

  private static void send(HttpConnection c, Chunk piece) {
    c.write(new DefaultHttpContent(piece.data()))
        .addListener(
            f -> {
              if (f.isSuccess()) {
                piece.whenWritten().run();
              }
            });
  }

  private void finish() {
    over = true;
    unsent.forEach(p -> p.data().release());
    unsent.clear();
  }
}
