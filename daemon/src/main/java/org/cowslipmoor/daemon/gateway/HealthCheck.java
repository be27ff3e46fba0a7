package org.cowslipmoor.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.daemon.http.Exchange;
import org.cowslipmoor.daemon.http.ExchangeFailure;
import org.cowslipmoor.daemon.http.ExchangeListener;
import org.cowslipmoor.daemon.http.HttpConnections;
import org.jspecify.annotations.Nullable;

/** One health check of a target, which asks whether it is cold. Confined to the event loop. */
final class HealthCheck implements ExchangeListener {
  /** A check that takes longer counts as unanswered. */
  private static final long TIMEOUT_MILLIS = 250;

  private final HeaderCodec headerCodec;
  private final Consumer<OptionalLong> onResult;
  private OptionalLong coldMillis = OptionalLong.empty();
  private @Nullable Exchange exchange;
  private boolean ended;

  private HealthCheck(HeaderCodec headerCodec, Consumer<OptionalLong> onResult) {
    this.headerCodec = headerCodec;
    this.onResult = onResult;
  }

  /**
   * Starts a health check on a new connection: a kept one may lead to a process that has ended.
   *
   * @param path path of the health check
   * @param onResult called with the time in milliseconds for which the target is still cold; empty
   *     if it did not answer
   */
  static void start(
      HttpConnections connections,
      HeaderCodec headerCodec,
      DiscoveredTarget target,
      String path,
      Consumer<OptionalLong> onResult) {
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
    request.headers().set(HttpHeaderNames.HOST, target.address());
    headerCodec.writeRequest(
        request.headers(), UUID.randomUUID().toString(), TIMEOUT_MILLIS, target.id());
    HealthCheck check = new HealthCheck(headerCodec, onResult);
    Exchange e = connections.startOnNewConnection(target.address(), request, check);
    check.exchange = e;
    e.end();
    connections.loop().schedule(check::onTimeout, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public boolean onHead(HttpResponse head) {
    coldMillis = headerCodec.readHealth(head);
    return true;
  }

  @Override
  public void onData(ByteBuf data) {}

  @Override
  public void onEnd() {
    end(coldMillis);
  }

  @Override
  public void onFailure(ExchangeFailure failure) {
    end(OptionalLong.empty());
  }

  private void onTimeout() {
    if (!ended && exchange != null) {
      exchange.cancel();
      end(OptionalLong.empty());
    }
  }

  private void end(OptionalLong result) {
    if (!ended) {
      ended = true;
      onResult.accept(result);
    }
  }
}
