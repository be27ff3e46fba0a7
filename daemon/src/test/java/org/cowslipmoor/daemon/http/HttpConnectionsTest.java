package org.cowslipmoor.daemon.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests exchanges over loopback. */
final class HttpConnectionsTest {
  /** More than the sockets buffer, so that a part of the body always waits to be written. */
  private static final int BODY_BYTES = 64 << 20;

  private static final long TIMEOUT_SECONDS = 20;
  private static final int REJECTED = 503;
  private static final String PART = "HTTP/1.1 200 OK\r\n\r\npart";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final HttpConnections connections =
      new HttpConnections(loop, Duration.ofSeconds(1), Duration.ofSeconds(TIMEOUT_SECONDS));

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** How an exchange ended: "end" or the failure. */
  private static final class Observer implements ExchangeListener {
    final CompletableFuture<Void> data = new CompletableFuture<>();
    final CompletableFuture<String> end = new CompletableFuture<>();

    @Override
    public boolean onHead(HttpResponse head) {
      return true;
    }

    @Override
    public void onData(ByteBuf received) {
      data.complete(null);
    }

    @Override
    public void onEnd() {
      end.complete("end");
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
      end.complete(failure.toString());
    }
  }

  /** Returns how an upload ends whose target closes the connection after a part of a response. */
  private String endOfUpload(boolean isReset) throws Exception {
    Observer observer = new Observer();
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      loop.execute(() -> upload("127.0.0.1:" + server.getLocalPort(), observer));
      try (Socket target = server.accept()) {
        target.getInputStream().read();
        target.getOutputStream().write(PART.getBytes(StandardCharsets.US_ASCII));
        observer.data.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (isReset) {
          target.setSoLinger(true, 0);
        } else {
          target.shutdownOutput();
          return observer.end.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
      }
      return observer.end.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  private void upload(String address, ExchangeListener listener) {
    DefaultHttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/upload");
    head.headers().set("content-length", BODY_BYTES);
    Exchange exchange = connections.start(address, head, listener);
    exchange.write(Unpooled.wrappedBuffer(new byte[BODY_BYTES]), () -> {});
    exchange.end();
  }

  /**
   * Guards against taking a part of a response for the whole: while the request is being written, a
   * reset shows as a failed write first.
   */
  @Test
  void responseWithoutLengthThatIsResetDuringTheUploadIsCut() throws Exception {
    assertThat(endOfUpload(true), is("ANSWER_CUT"));
  }

  @Test
  void responseWithoutLengthMayEndDuringTheUpload() throws Exception {
    assertThat(endOfUpload(false), is("end"));
  }

  /** Receives responses and retires the ids of those that are rejections. */
  private static final class Retiring implements ExchangeListener {
    final CompletableFuture<Void> end = new CompletableFuture<>();
    private @Nullable Exchange exchange;

    @Override
    public boolean onHead(HttpResponse head) {
      if (head.status().code() == REJECTED && exchange != null) {
        exchange.retireId();
      }
      return true;
    }

    @Override
    public void onData(ByteBuf received) {}

    @Override
    public void onEnd() {
      end.complete(null);
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
      end.completeExceptionally(new IOException(failure.toString()));
    }
  }

  private Retiring get(ServerSocket server, @Nullable String id) {
    Retiring listener = new Retiring();
    loop.execute(
        () -> {
          DefaultHttpRequest head =
              new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
          Exchange exchange =
              connections.start("127.0.0.1:" + server.getLocalPort(), head, listener, id);
          listener.exchange = exchange;
          exchange.end();
        });
    return listener;
  }

  private void respond(Socket target, Retiring listener, int status) throws Exception {
    target.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
    assertThat(target.getInputStream().read(new byte[1_024]), greaterThan(0));
    String response = "HTTP/1.1 %d Status\r\ncontent-length: 0\r\n\r\n".formatted(status);
    target.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
    listener.end.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    // The connection is free once the event loop has handled the read that ended the response.
    loop.submit(() -> {}).sync();
  }

  @Test
  void connectionThatRetiredTheIdIsReplaced() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Retiring first = get(server, "r-1");
      try (Socket rejecting = server.accept()) {
        respond(rejecting, first, REJECTED);

        Retiring second = get(server, "r-1");

        try (Socket replacement = server.accept()) {
          respond(replacement, second, 200);
          assertThat(rejecting.getInputStream().read(), is(-1));
        }
      }
    }
  }

  @ParameterizedTest
  @NullSource
  @ValueSource(strings = "r-2")
  void connectionCarriesExchangesWithOtherIds(@Nullable String id) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Retiring first = get(server, "r-1");
      try (Socket target = server.accept()) {
        respond(target, first, REJECTED);

        respond(target, get(server, id), 200);
      }
    }
  }

  @Test
  void idleConnectionThatHasNotRetiredTheIdIsPreferredToNewOne() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Retiring first = get(server, "r-1");
      Retiring second = get(server, "r-2");
      try (Socket free = server.accept();
          Socket rejecting = server.accept()) {
        respond(free, first, 200);
        respond(rejecting, second, REJECTED);

        respond(free, get(server, "r-2"), 200);
        // Not closed: it carries the next request with another id.
        respond(free, get(server, "r-3"), 200);
      }
    }
  }

  @Test
  void longestIdleConnectionIsReplacedIfAllHaveRetiredTheId() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Retiring first = get(server, "r-1");
      Retiring second = get(server, "r-1");
      try (Socket longestIdle = server.accept();
          Socket lastUsed = server.accept()) {
        respond(longestIdle, first, REJECTED);
        respond(lastUsed, second, REJECTED);

        Retiring third = get(server, "r-1");

        try (Socket replacement = server.accept()) {
          respond(replacement, third, REJECTED);
          assertThat(longestIdle.getInputStream().read(), is(-1));
          respond(replacement, get(server, "r-2"), REJECTED);
          respond(lastUsed, get(server, "r-2"), 200);
        }
      }
    }
  }
}
