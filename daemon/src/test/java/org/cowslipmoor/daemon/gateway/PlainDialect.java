package org.cowslipmoor.daemon.gateway;

import com.linecorp.armeria.common.RequestHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Headers under plain names. */
final class PlainDialect implements Dialect {
  @Override
  public CallerHead readCaller(RequestHeaders headers) {
    String key = headers.get("key");
    return new CallerHead(
        headers.get("request-id"), null, key == null ? null : Integer.valueOf(key));
  }

  @Override
  public void write(HttpHeaders headers, String requestId, long deadlineMillis, String targetId) {
    headers.set("request-id", requestId);
    headers.set("deadline", deadlineMillis);
    headers.set("target", targetId);
  }

  @Override
  public AnswerHead readAnswer(HttpResponse head) {
    boolean misdirected = head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    boolean notRun = misdirected || head.headers().contains("not-run");
    return new AnswerHead(head.headers().get("request-id"), notRun, misdirected, null);
  }
}
