package org.cowslipmoor.daemon.member;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.cowslipmoor.core.control.MemberMessage;
import org.cowslipmoor.daemon.codec.MemberMessageCodec;
import org.cowslipmoor.schema.member.Envelope;
import org.cowslipmoor.schema.member.Hello;
import org.tinylog.Logger;

/**
 * Maintains the links to other hosts: TCP connections that carry length-prefixed frames. A link is
 * opened by the first message to a host, carries frames in both directions, and is closed when
 * nothing has been received for {@link #IDLE_TIMEOUT_MILLIS}; the next message opens a new link.
 * Messages may be lost. Thread-safe.
 */
public final class MemberLinks implements AutoCloseable {
  /** Time without a received frame after which a link is closed. */
  public static final long IDLE_TIMEOUT_MILLIS = 1_000;

  private static final long HEARTBEAT_INTERVAL_MILLIS = 300;
  private static final int MAX_FRAME_BYTES = 4 << 20;
  private static final int LENGTH_BYTES = 4;
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  private final EventLoopGroup loops;
  private final boolean ownsLoops;
  private final Map<String, Channel> channels = new ConcurrentHashMap<>();
  private final Set<String> connecting = ConcurrentHashMap.newKeySet();
  private final AtomicLong bytesSent = new AtomicLong();
  private final AtomicLong framesSent = new AtomicLong();
  private final Hello hello;
  private final Function<String, Optional<InetSocketAddress>> addresses;
  private final FrameReceiver receiver;

  /** Receives the frames of other hosts. */
  public interface FrameReceiver {
    /** Called with a frame from the host {@code from}. */
    void onFrame(String from, Envelope frame);
  }

  /** Receives the messages of other hosts. */
  public interface Receiver {
    /** Called with a message from the host {@code from}. */
    void onMessage(String from, MemberMessage message);
  }

  /**
   * Creates an instance without open links, which runs an event loop of its own.
   *
   * @param hello first frame on each link, which identifies this host
   * @param addresses returns the address of a host by its id
   * @param receiver receives the messages
   */
  public MemberLinks(
      Hello hello, Function<String, Optional<InetSocketAddress>> addresses, Receiver receiver) {
    this(
        hello,
        addresses,
        toFrameReceiver(receiver),
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()),
        true);
  }

  private MemberLinks(
      Hello hello,
      Function<String, Optional<InetSocketAddress>> addresses,
      FrameReceiver receiver,
      EventLoopGroup loops,
      boolean ownsLoops) {
    this.hello = hello;
    this.addresses = addresses;
    this.receiver = receiver;
    this.loops = loops;
    this.ownsLoops = ownsLoops;
  }

  /**
   * Creates an instance without open links, which doesn't close the given event loops.
   *
   * @param loops event loops of the links
   * @param hello first frame on each link, which identifies this host
   * @param addresses returns the address of a host by its id
   * @param receiver receives the frames
   */
  public static MemberLinks withEventLoops(
      EventLoopGroup loops,
      Hello hello,
      Function<String, Optional<InetSocketAddress>> addresses,
      FrameReceiver receiver) {
    return new MemberLinks(hello, addresses, receiver, loops, false);
  }

  /** Starts accepting links from other hosts. */
  public void listen(String ip, int port) throws InterruptedException {
    new ServerBootstrap()
        .group(loops)
        .channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(initializer())
        .bind(ip, port)
        .sync();
  }

  /** Sends a message to a host; opens a link to it if there is none. */
  public void send(String member, MemberMessage message) {
    send(member, MemberMessageCodec.encode(message));
  }

  /** Sends a frame to a host; opens a link to it if there is none. */
  public void send(String member, Envelope frame) {
    Channel existing = channels.get(member);
    if (existing != null && existing.isActive()) {
      write(existing, frame);
    } else {
      addresses.apply(member).ifPresent(address -> connect(member, address, frame));
    }
  }

  /** Sends a message to hosts whose member ids are not known, over new links. */
  public void sendTo(List<HostAndPort> peers, MemberMessage message) {
    Envelope frame = MemberMessageCodec.encode(message);
    for (HostAndPort peer : peers) {
      connect(peer.toString(), new InetSocketAddress(peer.getHost(), peer.getPort()), frame);
    }
  }

  /** Returns the number of bytes in the frames sent so far. */
  public long bytesSent() {
    return bytesSent.get();
  }

  /** Returns the number of frames sent so far. */
  public long framesSent() {
    return framesSent.get();
  }

  /**
   * Returns the number of bytes that are queued for sending on the links of the calling event loop.
   */
  public long unsentBytes() {
    long bytes = 0;
    for (Channel c : channels.values()) {
      ChannelOutboundBuffer buffer =
          c.eventLoop().inEventLoop() ? c.unsafe().outboundBuffer() : null;
      bytes += buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }
    return bytes;
  }

  @Override
  public void close() {
    channels.values().forEach(Channel::close);
    if (ownsLoops) {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  /** Registers the open link of a host. */
  void onOpened(String member, Channel channel) {
    channels.put(member, channel);
    channel.closeFuture().addListener(unused -> channels.remove(member, channel));
  }

  Hello hello() {
    return hello;
  }

  void onFrame(String from, Envelope frame) {
    receiver.onFrame(from, frame);
  }

  private static FrameReceiver toFrameReceiver(Receiver receiver) {
    return (from, frame) -> {
      Optional<MemberMessage> message;
      try {
        message = MemberMessageCodec.decode(frame);
      } catch (IllegalArgumentException e) {
        Logger.warn("member {} sent an invalid frame, which is dropped: {}", from, e.getMessage());
        return;
      }
      message.ifPresent(m -> receiver.onMessage(from, m));
    };
  }

  private void connect(String name, InetSocketAddress address, Envelope firstFrame) {
    if (!connecting.add(name)) {
      return;
    }
    ChannelFuture opening =
        new Bootstrap()
            .group(loops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(initializer())
            .connect(address);
    opening.addListener(
        done -> {
          if (done.isSuccess()) {
            // This listener runs before the handler's channelActive, which sends the hello; a task
            // queued here runs after it.
            opening.channel().eventLoop().execute(() -> onConnected(name, opening, firstFrame));
          } else {
            connecting.remove(name);
            Logger.debug(
                "can't open a link to {} at {}: {}", name, address, String.valueOf(done.cause()));
          }
        });
  }

  private void onConnected(String name, ChannelFuture opening, Envelope firstFrame) {
    connecting.remove(name);
    onOpened(name, opening.channel());
    write(opening.channel(), firstFrame);
  }

  private void write(Channel channel, Envelope frame) {
    bytesSent.addAndGet(frame.getSerializedSize() + LENGTH_BYTES);
    framesSent.incrementAndGet();
    channel.writeAndFlush(frame, channel.voidPromise());
  }

  private ChannelInitializer<Channel> initializer() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        channel
            .pipeline()
            .addLast(
                new IdleStateHandler(
                    IDLE_TIMEOUT_MILLIS, HEARTBEAT_INTERVAL_MILLIS, 0, TimeUnit.MILLISECONDS))
            .addLast(
                new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
            .addLast(new LengthFieldPrepender(LENGTH_BYTES))
            .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
            .addLast(new ProtobufEncoder())
            .addLast(new LinkHandler(MemberLinks.this));
      }
    };
  }
}
