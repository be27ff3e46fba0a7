package org.cowslipmoor.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Queue;
import org.jspecify.annotations.Nullable;

/** A request and its response. Confined to the event loop of its connections. */
public final class Exchange {
  private final HttpRequest head;
  private final ExchangeListener listener;
  private final @Nullable Long idFingerprint;
  private final Queue<Chunk> unsent = new ArrayDeque<>();
  private @Nullable HttpConnection connection;
  private boolean bodyEnded;
  private boolean ended;

  private record Chunk(ByteBuf data, Runnable whenWritten) {}

  /**
   * Creates an exchange that has not started.
   *
   * @param id the correlation id that the request and its response bear; null if they bear none
   */
  Exchange(HttpRequest head, ExchangeListener listener, @Nullable String id) {
    this.head = head;
    this.listener = listener;
    this.idFingerprint = id == null ? null : RetiredIds.fingerprint(id);
  }

  /**
   * Writes a chunk of the request's body.
   *
   * @param data the chunk, whose ownership is transferred to the exchange
   * @param whenWritten runs when the chunk has been written to the connection
   */
  public void write(ByteBuf data, Runnable whenWritten) {
    HttpConnection c = connection;
    if (ended) {
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
    if (connection != null && !ended) {
      connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
    }
  }

  /** Ends the exchange by closing its connection; the listener is not called again. */
  public void cancel() {
    if (ended) {
      return;
    }
    finish();
    if (connection != null) {
      connection.reset();
    }
  }

  /** Pauses or resumes reading the response. */
  public void setReading(boolean reading) {
    if (connection != null && !ended) {
      connection.setReading(reading);
    }
  }

  /** Returns whether the connection has carried other exchanges before. */
  public boolean isOnReusedConnection() {
    return connection != null && connection.isReused();
  }

  /** Returns a short name of the connection, for logs. */
  public String connectionId() {
    return connection == null ? "none" : connection.id();
  }

  /** Returns the number of exchanges that the connection has carried, including this one. */
  public int connectionExchanges() {
    return connection == null ? 0 : connection.exchanges();
  }

  /** Returns whether an exchange has retired this exchange's correlation id on the connection. */
  public boolean isIdRetired() {
    return connection != null && idFingerprint != null && connection.hasRetired(idFingerprint);
  }

  /** Retires this exchange's correlation id on the connection, which never carries it again. */
  public void retireId() {
    if (connection != null && idFingerprint != null) {
      connection.retire(idFingerprint);
    }
  }

  @Nullable Long idFingerprint() {
    return idFingerprint;
  }

  boolean hasEnded() {
    return ended;
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

  /** Starts writing to a connection; returns false when the request is no longer to be sent. */
  boolean begin(HttpConnection newConnection) {
    if (!ended && !listener.onSending()) {
      finish();
    }
    if (ended) {
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
    if (!ended) {
      finish();
      listener.onFailure(failure);
    }
  }

  void succeed() {
    if (!ended) {
      finish();
      listener.onEnd();
    }
  }

  private static void send(HttpConnection c, Chunk chunk) {
    c.write(new DefaultHttpContent(chunk.data()))
        .addListener(
            f -> {
              if (f.isSuccess()) {
                chunk.whenWritten().run();
              }
            });
  }

  private void finish() {
    ended = true;
    unsent.forEach(c -> c.data().release());
    unsent.clear();
  }
}
