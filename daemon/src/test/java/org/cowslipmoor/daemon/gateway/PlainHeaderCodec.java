package org.cowslipmoor.daemon.gateway;

import com.linecorp.armeria.common.RequestHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalLong;

/** A codec with plain header names, for tests. */
final class PlainHeaderCodec implements HeaderCodec {
  @Override
  public RequestHead readRequest(RequestHeaders headers) {
    String key = headers.get("key");
    return new RequestHead(
        headers.get("request-id"), null, key == null ? null : Integer.valueOf(key));
  }

  @Override
  public void writeRequest(
      HttpHeaders headers, String requestId, long deadlineMillis, String targetId) {
    headers.set("request-id", requestId);
    headers.set("deadline", deadlineMillis);
    headers.set("target", targetId);
  }

  @Override
  public ResponseHead readResponse(HttpResponse head) {
    boolean misdirected = head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    boolean notRun = misdirected || head.headers().contains("not-run");
    boolean leaving = head.headers().contains("leaving");
    return new ResponseHead(head.headers().get("request-id"), notRun, misdirected, leaving, null);
  }

  @Override
  public OptionalLong readHealth(HttpResponse head) {
    return head.status().equals(HttpResponseStatus.OK)
        ? OptionalLong.of(Long.parseLong(head.headers().get("cold", "0")))
        : OptionalLong.empty();
  }
}
