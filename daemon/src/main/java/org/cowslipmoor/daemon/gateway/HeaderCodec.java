package org.cowslipmoor.daemon.gateway;

import com.linecorp.armeria.common.RequestHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Names of the headers that callers, hosts and targets agree on. Stateless. */
public interface HeaderCodec {

  /**
   * Reads what a caller tells.
   *
   * @throws IllegalArgumentException if a header is malformed
   */
  RequestHead readRequest(RequestHeaders headers);

  /**
   * Sets what a host tells a target, in place of anything that the caller sent under those names.
   *
   * @param headers the headers of the request to the target
   * @param requestId identifies the attempt of the caller
   * @param deadlineMillis milliseconds until nobody waits for the answer
   * @param targetId the target that is meant; any other refuses the request
   */
  void writeRequest(HttpHeaders headers, String requestId, long deadlineMillis, String targetId);

  /** Reads what a target tells. */
  ResponseHead readResponse(HttpResponse head);
}
