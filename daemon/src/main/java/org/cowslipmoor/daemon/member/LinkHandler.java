package org.cowslipmoor.daemon.member;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.cowslipmoor.schema.member.Envelope;
import org.cowslipmoor.schema.member.Heartbeat;
import org.cowslipmoor.schema.member.Hello;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Handles the frames of one link. */
final class LinkHandler extends SimpleChannelInboundHandler<Envelope> {
  private static final Envelope HEARTBEAT =
      Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build();

  private final MemberLinks links;
  private @Nullable String from;

  LinkHandler(MemberLinks links) {
    this.links = links;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    ctx.writeAndFlush(Envelope.newBuilder().setHello(links.hello()).build(), ctx.voidPromise());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Envelope frame) {
    if (frame.hasHello()) {
      onHello(ctx, frame.getHello());
    } else if (from == null) {
      Logger.warn(
          "{} sent a frame before its hello; closing the link", ctx.channel().remoteAddress());
      ctx.close();
    } else {
      links.onFrame(from, frame);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent e) {
      if (e.state() == IdleState.READER_IDLE) {
        Logger.info(
            "the link to {} received nothing within the idle timeout; closing it",
            ctx.channel().remoteAddress());
        ctx.close();
      } else {
        ctx.writeAndFlush(HEARTBEAT, ctx.voidPromise());
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    Logger.info(
        "the link to {} failed; closing it: {}", ctx.channel().remoteAddress(), cause.toString());
    ctx.close();
  }

  private void onHello(ChannelHandlerContext ctx, Hello hello) {
    if (!hello.getSetup().equals(links.hello().getSetup())) {
      Logger.warn(
          "{} belongs to setup {}, not {}; closing the link",
          ctx.channel().remoteAddress(),
          hello.getSetup(),
          links.hello().getSetup());
      ctx.close();
      return;
    }
    from = hello.getMemberId();
    links.onOpened(hello.getMemberId(), ctx.channel());
  }
}
