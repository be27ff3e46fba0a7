package org.cowslipmoor.daemon.caller;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;

/** The body of a request, for one or more attempts. */
sealed interface Body {

  /** Returns a request with this body and the given headers. */
  HttpRequest with(RequestHeaders headers);

  /** A body held in memory, which can be sent again by a retry. */
  record Replayable(AggregatedHttpRequest whole) implements Body {
    @Override
    public HttpRequest with(RequestHeaders headers) {
      return HttpRequest.of(headers, whole.content());
    }
  }

  /** A body that is streamed and can be sent only once. */
  record Streamed(HttpRequest stream) implements Body {
    @Override
    public HttpRequest with(RequestHeaders headers) {
      return stream.withHeaders(headers);
    }
  }
}
