package org.cowslipmoor.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Passes the bytes of a caller's connection on to the decoder only as far as they may contain
 * further requests, and stops reading from the connection while it holds bytes back. Stands before
 * the decoder. Confined to the event loop.
 *
 * <p>One read may deliver hundreds of short requests, all of which the decoder would start at once.
 * The head of each request ends with an empty line, so bytes with at most n empty lines contain at
 * most n ends of heads. Empty lines in bodies only make the gate pass on fewer bytes at a time.
 */
final class RequestGate extends ChannelDuplexHandler {
  /**
   * Number of bytes held back from which the connection is not read. Until then it is read, because
   * a connection that is not read doesn't show that its caller has closed it.
   */
  private static final int MAX_HELD_BYTES = 16_384;

  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';

  private final IntSupplier room;
  private final Runnable onBytes;
  private final Queue<ByteBuf> held = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext context;
  private int heldBytes;
  private boolean passing;

  /** Whether the last byte passed on is within a line that is not empty. */
  private boolean inLine;

  /** Whether reading is stopped by this gate. */
  private boolean paused;

  /** Whether the handlers behind the gate want to read, while it is paused. */
  private boolean readWanted;

  /**
   * Creates a gate.
   *
   * @param room returns the number of further requests that may be passed on now
   * @param onBytes is called when bytes arrive, before they are passed on
   */
  RequestGate(IntSupplier room, Runnable onBytes) {
    this.room = room;
    this.onBytes = onBytes;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    releaseHeld();
    context = null;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    onBytes.run();
    if (message instanceof ByteBuf bytes) {
      held.add(bytes);
      heldBytes += bytes.readableBytes();
      passOnHeld(ctx);
    } else {
      ctx.fireChannelRead(message);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    releaseHeld();
    ctx.fireChannelInactive();
  }

  @Override
  public void read(ChannelHandlerContext ctx) {
    if (paused) {
      // A handler behind the gate has resumed reading, which takes effect when the gate opens.
      readWanted = true;
      ctx.channel().config().setAutoRead(false);
    } else {
      ctx.read();
    }
  }

  /**
   * Passes on the bytes that are held back, as far as there is room for requests, after the current
   * task of the event loop: a request ends while its response is being written.
   */
  void passOn() {
    ChannelHandlerContext ctx = context;
    if (ctx == null || held.isEmpty()) {
      return;
    }
    ctx.executor()
        .execute(
            () -> {
              if (passOnHeld(ctx)) {
                // The handlers behind the gate flush what they wrote when a read is complete.
                ctx.fireChannelReadComplete();
              }
            });
  }

  /** Passes on what there is room for; returns whether that was any. */
  private boolean passOnHeld(ChannelHandlerContext ctx) {
    if (passing || held.isEmpty()) {
      return false;
    }
    final int heldBefore = heldBytes;
    passing = true;
    try {
      ByteBuf next = held.peek();
      for (int n = room.getAsInt(); next != null && n > 0; n = room.getAsInt()) {
        int length = lengthWithEmptyLines(next, n);
        heldBytes -= length;
        if (length == next.readableBytes()) {
          held.remove();
          ctx.fireChannelRead(next);
        } else {
          ctx.fireChannelRead(next.readRetainedSlice(length));
        }
        next = held.peek();
      }
    } finally {
      passing = false;
    }
    updateReading(ctx);
    return heldBytes < heldBefore;
  }

  /** Closes the connection once everything written to it has been sent. */
  void closeAfterWrites() {
    ChannelHandlerContext ctx = context;
    if (ctx != null) {
      // The end of the last response is written after its request has ended.
      ctx.executor()
          .execute(
              () ->
                  ctx.writeAndFlush(Unpooled.EMPTY_BUFFER)
                      .addListener(ChannelFutureListener.CLOSE));
    }
  }

  /**
   * Returns the length of the longest prefix that ends with the given number of empty lines, or the
   * length of all bytes if they have fewer or any number is allowed.
   */
  private int lengthWithEmptyLines(ByteBuf bytes, int emptyLines) {
    if (emptyLines == Integer.MAX_VALUE) {
      return bytes.readableBytes();
    }
    int count = 0;
    int start = bytes.readerIndex();
    int end = bytes.writerIndex();
    for (int at = bytes.indexOf(start, end, LINE_FEED);
        at >= 0;
        at = bytes.indexOf(start, end, LINE_FEED)) {
      boolean isEmpty = !inLine && isBlank(bytes, start, at);
      inLine = false;
      start = at + 1;
      if (isEmpty && ++count == emptyLines) {
        return start - bytes.readerIndex();
      }
    }
    inLine |= !isBlank(bytes, start, end);
    return bytes.readableBytes();
  }

  /** Returns whether a line is empty up to its line feed: at most a carriage return. */
  private static boolean isBlank(ByteBuf bytes, int from, int to) {
    return from == to || (to - from == 1 && bytes.getByte(from) == CARRIAGE_RETURN);
  }

  private void updateReading(ChannelHandlerContext ctx) {
    if (!paused && !held.isEmpty() && heldBytes >= MAX_HELD_BYTES) {
      paused = true;
      readWanted = ctx.channel().config().isAutoRead();
      ctx.channel().config().setAutoRead(false);
    } else if (paused && held.isEmpty()) {
      paused = false;
      if (readWanted) {
        ctx.channel().config().setAutoRead(true);
      }
    }
  }

  private void releaseHeld() {
    held.forEach(ByteBuf::release);
    held.clear();
    heldBytes = 0;
  }
}
