package org.cowslipmoor.daemon.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests an {@link HttpConnection} whose reads are controlled by the test. */
final class HttpConnectionTest {
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final List<String> ends = new ArrayList<>();

  private void start(HttpMethod method) {
    HttpConnection connection =
        new HttpConnection(
            "t",
            channel,
            TimeUnit.SECONDS.toNanos(1),
            new UnexpectedBytes(),
            (c, mayBeReused) -> {});
    connection.addHandlers(channel.pipeline());
    connection.start(
        new Exchange(
            new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/"), new Ends(ends), null));
  }

  private void read(String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
  }

  @Test
  void responseToHeadRequestEndsAfterItsHead() {
    start(HttpMethod.HEAD);

    read("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n");

    assertThat(ends, contains("end"));
  }

  /**
   * Guards against a target that sends blank lines slowly: each read is short enough for the
   * decoder to skip it, so the limit must count the bytes of all reads.
   */
  @Test
  void unlimitedBlankLinesFailTheExchange() {
    start(HttpMethod.GET);

    for (int i = 0; i < 1_000 && channel.isActive(); i++) {
      read("\r\n".repeat(500));
    }

    assertThat(ends, contains("MALFORMED"));
    assertThat(channel.isActive(), is(false));
  }

  /**
   * Guards against a response that looks complete although its connection was lost: while the
   * request is still being written, that shows as a failed write, after which the channel closes
   * without an exception.
   */
  @Test
  void responseWithoutLengthIsCutWhenItsConnectionIsLost() {
    start(HttpMethod.POST);

    read("HTTP/1.1 200 OK\r\n\r\npart");
    channel.close();

    assertThat(ends, contains("ANSWER_CUT"));
  }

  @Test
  void responseWithoutLengthEndsWithItsConnection() {
    start(HttpMethod.POST);

    read("HTTP/1.1 200 OK\r\n\r\nwhole");
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

    assertThat(ends, contains("end"));
    assertThat(channel.isOpen(), is(false));
  }

  @Test
  void idleConnectionIsClosedAtTheEndOfItsInput() {
    start(HttpMethod.GET);
    read("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");

    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

    assertThat(ends, contains("end"));
    assertThat(channel.isOpen(), is(false));
  }

  /** Guards against ids that are forgotten once a connection has retired many. */
  @Test
  void connectionWithMaximumOfRetiredIdsIsNotReused() {
    List<Boolean> reuses = new ArrayList<>();
    HttpConnection connection =
        new HttpConnection(
            "t",
            channel,
            TimeUnit.SECONDS.toNanos(1),
            new UnexpectedBytes(),
            (c, mayBeReused) -> reuses.add(mayBeReused));
    connection.addHandlers(channel.pipeline());
    for (int i = 0; i < RetiredIds.MAX_IDS; i++) {
      assertThat(reuses, everyItem(is(true)));
      Exchange exchange =
          new Exchange(
              new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
              new Ends(ends),
              "r-" + i);
      exchange.end();
      connection.start(exchange);
      exchange.retireId();
      read("HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n");
    }

    assertThat(reuses, hasSize(RetiredIds.MAX_IDS));
    assertThat(reuses.get(RetiredIds.MAX_IDS - 1), is(false));
    assertThat(channel.isOpen(), is(false));
    assertThat(ends, everyItem(is("end")));
  }

  private record Ends(List<String> all) implements ExchangeListener {
    @Override
    public boolean onHead(HttpResponse head) {
      return true;
    }

    @Override
    public void onData(ByteBuf data) {}

    @Override
    public void onEnd() {
      all.add("end");
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
      all.add(failure.toString());
    }
  }
}
