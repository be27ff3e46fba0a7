package org.cowslipmoor.daemon.gateway;

import com.linecorp.armeria.common.RequestHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalLong;

/** Reads and writes the HTTP headers that callers, hosts and targets exchange. Stateless. */
public interface HeaderCodec {

  /**
   * Reads the headers of a caller's request.
   *
   * @throws IllegalArgumentException if a header is malformed
   */
  RequestHead readRequest(RequestHeaders headers);

  /**
   * Sets the headers of a request to a target, replacing any that the caller sent under the same
   * names.
   *
   * @param headers the headers of the request to the target
   * @param requestId the id of the caller's attempt
   * @param deadlineMillis the time in milliseconds until the request's deadline
   * @param targetId the id of the intended target; any other target rejects the request
   */
  void writeRequest(HttpHeaders headers, String requestId, long deadlineMillis, String targetId);

  /** Reads the headers of a target's response. */
  ResponseHead readResponse(HttpResponse head);

  /**
   * Reads the response to a health check.
   *
   * @return the remaining time in milliseconds for which the target is cold; 0 if it is warm, empty
   *     if the response doesn't say
   */
  OptionalLong readHealth(HttpResponse head);
}
