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
 * Keeps the links to other hosts: TCP connections that carry length-prefixed frames. A link is
 * opened with the first message for a host, serves both directions, and is closed when nothing has
 * come in for {@link #IDLE_TIMEOUT_MILLIS}; the next message opens a new one. Messages may be lost.
 * Thread-safe.
 */
public final class MemberLinks implements AutoCloseable {
  /** Time without a frame after which a link is replaced, in milliseconds. */
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

  /** Takes the frames that arrive. */
  public interface FrameReceiver {
    /** Takes one frame of a host. */
    void onFrame(String from, Envelope frame);
  }

  /** Takes the messages that arrive. */
  public interface Receiver {
    /** Takes one message of a host. */
    void onMessage(String from, MemberMessage message);
  }

  /**
   * Creates links that are not open yet.
   *
   * @param hello how this host introduces itself
   * @param addresses finds the address of a host by its id
   * @param receiver takes the messages that arrive
   */
  public MemberLinks(
      Hello hello, Function<String, Optional<InetSocketAddress>> addresses, Receiver receiver) {
    this(
        hello,
        addresses,
        decoding(receiver),
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
   * Creates links over event loops that the caller keeps and closes.
   *
   * @param hello how this host introduces itself
   * @param addresses finds the address of a host by its id
   * @param receiver takes the frames that arrive
   */
  public static MemberLinks withEventLoops(
      EventLoopGroup loops,
      Hello hello,
      Function<String, Optional<InetSocketAddress>> addresses,
      FrameReceiver receiver) {
    return new MemberLinks(hello, addresses, receiver, loops, false);
  }

  /** Starts to accept links. */
  public void listen(String ip, int port) throws InterruptedException {
    new ServerBootstrap()
        .group(loops)
        .channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(initializer())
        .bind(ip, port)
        .sync();
  }

  /** Sends a message to a host, opening a link to it when there is none. */
  public void send(String member, MemberMessage message) {
    send(member, MemberMessageCodec.encode(message));
  }

  /** Sends a frame to a host, opening a link to it when there is none. */
  public void send(String member, Envelope frame) {
    Channel open = channels.get(member);
    if (open != null && open.isActive()) {
      write(open, frame);
    } else {
      addresses.apply(member).ifPresent(address -> connect(member, address, frame));
    }
  }

  /** Sends a message to hosts that are known only by address. */
  public void sendTo(List<HostAndPort> peers, MemberMessage message) {
    Envelope frame = MemberMessageCodec.encode(message);
    for (HostAndPort peer : peers) {
      connect(peer.toString(), new InetSocketAddress(peer.getHost(), peer.getPort()), frame);
    }
  }

  /** Returns the bytes of frames sent so far. */
  public long bytesSent() {
    return bytesSent.get();
  }

  /** Returns the frames sent so far. */
  public long framesSent() {
    return framesSent.get();
  }

  /** Returns the bytes that wait to be sent, of the links of the calling event loop. */
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

  /** Notes the open link of a host. */
  void opened(String member, Channel channel) {
    channels.put(member, channel);
    channel.closeFuture().addListener(unused -> channels.remove(member, channel));
  }

  Hello hello() {
    return hello;
  }

  void received(String from, Envelope frame) {
    receiver.onFrame(from, frame);
  }

  private static FrameReceiver decoding(Receiver receiver) {
    return (from, frame) -> {
      Optional<MemberMessage> message;
      try {
        message = MemberMessageCodec.decode(frame);
      } catch (IllegalArgumentException e) {
        Logger.warn("member {} sent a frame that contradicts itself: {}", from, e.getMessage());
        return;
      }
      message.ifPresent(m -> receiver.onMessage(from, m));
    };
  }

  private void connect(String name, InetSocketAddress address, Envelope first) {
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
            // This runs before the handler hears of the connection and sends its hello; what is
            // queued here runs after that.
            opening.channel().eventLoop().execute(() -> onConnected(name, opening, first));
          } else {
            connecting.remove(name);
            Logger.debug("no link to {} at {}: {}", name, address, String.valueOf(done.cause()));
          }
        });
  }

  private void onConnected(String name, ChannelFuture opening, Envelope first) {
    connecting.remove(name);
    opened(name, opening.channel());
    write(opening.channel(), first);
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
