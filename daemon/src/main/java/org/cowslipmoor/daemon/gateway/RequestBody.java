package org.cowslipmoor.daemon.gateway;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import org.cowslipmoor.core.limit.MemoryBudget;
import org.cowslipmoor.daemon.http.Exchange;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * The body of a caller's request. A short body is buffered until the request ends, so that the
 * request can be retried; a long one is streamed to one target as it arrives. Confined to the event
 * loop.
 */
final class RequestBody implements Subscriber<HttpObject> {
  /** Maximum length of a body that is buffered. */
  private static final int MAX_BUFFERED_BYTES = 65_536;

  /**
   * Maximum number of bytes that one body occupies: the buffered bytes, twice as many received but
   * not yet taken from the caller's connection, and those being written to the target.
   */
  private static final long MAX_HELD_BYTES = 4 * MAX_BUFFERED_BYTES;

  private final Listener listener;
  private final MemoryBudget memory;
  private final List<byte[]> buffered = new ArrayList<>();
  private final long maxLengthBytes;
  private @Nullable Subscription subscription;
  private @Nullable Exchange targetExchange;
  private long expectedBytes = MAX_HELD_BYTES;
  private long reservedBytes;
  private long receivedBytes;
  private boolean ready;
  private boolean complete;
  private boolean ended;

  /** Is notified of the progress of a body. */
  interface Listener {
    /** Called once the body is complete or too long to be buffered; the request can be sent. */
    void onReady();

    /** Called if the body exceeds the maximum length. */
    void onTooLong();

    /** Called if the host has no memory for the body at present. */
    void onNoMemory();

    /** Called if the caller aborts the request. */
    void onAborted();
  }

  /**
   * Creates an unread body.
   *
   * @param maxLengthBytes maximum length of the body
   * @param memory bounds the memory of all bodies; the body's share is released when it is
   *     discarded
   */
  RequestBody(long maxLengthBytes, MemoryBudget memory, Listener listener) {
    this.maxLengthBytes = maxLengthBytes;
    this.memory = memory;
    this.listener = listener;
  }

  /** Starts to read the body of a request; may call the listener immediately. */
  void read(HttpRequest request, EventLoop loop) {
    long length = request.headers().contentLength();
    if (length >= 0) {
      expectedBytes = Math.min(length, MAX_HELD_BYTES);
    }
    request.subscribe(this, loop);
  }

  /** Returns whether the whole body is buffered, so that it can be sent more than once. */
  boolean isReplayable() {
    return complete && targetExchange == null;
  }

  /** Returns whether no part of the body has been passed on without being kept. */
  boolean isHeld() {
    return targetExchange == null;
  }

  /** Returns the number of bytes received so far. */
  long receivedBytes() {
    return receivedBytes;
  }

  /** Writes the body to an exchange; what has not been received yet follows as it arrives. */
  void writeTo(Exchange exchange) {
    for (byte[] piece : buffered) {
      exchange.write(Unpooled.wrappedBuffer(piece), () -> {});
    }
    if (complete) {
      exchange.end();
      return;
    }
    buffered.clear();
    targetExchange = exchange;
    requestNext();
  }

  /**
   * Reads and discards the rest of the body. Cancelling the caller's request instead would abort
   * its response.
   */
  void discard() {
    if (ended) {
      return;
    }
    ended = true;
    buffered.clear();
    memory.release(reservedBytes);
    reservedBytes = 0;
    if (subscription != null && !complete) {
      subscription.request(Long.MAX_VALUE);
    }
  }

  @Override
  public void onSubscribe(Subscription s) {
    subscription = s;
    s.request(1);
  }

  @Override
  public void onNext(HttpObject object) {
    if (!(object instanceof HttpData data)) {
      requestNext();
      return;
    }
    try (data) {
      if (ended) {
        return;
      }
      receivedBytes += data.length();
      if (receivedBytes > maxLengthBytes) {
        listener.onTooLong();
        return;
      }
      if (!reserveMemory()) {
        listener.onNoMemory();
        return;
      }
      Exchange exchange = targetExchange;
      if (exchange != null) {
        // Requests the next piece after this one has been written: backpressure from the target.
        exchange.write(Unpooled.wrappedBuffer(data.array()), this::requestNext);
        return;
      }
      buffered.add(data.array());
    }
    if (receivedBytes <= MAX_BUFFERED_BYTES) {
      requestNext();
    } else if (!ready) {
      notifyReady();
    }
  }

  @Override
  public void onError(Throwable t) {
    if (!ended) {
      listener.onAborted();
    }
  }

  @Override
  public void onComplete() {
    complete = true;
    if (ended) {
      return;
    }
    if (targetExchange != null) {
      targetExchange.end();
    }
    if (!ready) {
      notifyReady();
    }
  }

  private boolean reserveMemory() {
    if (reservedBytes == 0 && memory.tryReserve(expectedBytes)) {
      reservedBytes = expectedBytes;
    }
    return reservedBytes > 0;
  }

  private void notifyReady() {
    ready = true;
    listener.onReady();
  }

  private void requestNext() {
    Subscription s = subscription;
    if (s != null && !ended && !complete) {
      s.request(1);
    }
  }
}
