package org.cowslipmoor.daemon.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import org.cowslipmoor.core.request.ResultCode;

/** Builds the responses to requests that have no response from a target, with the reason. */
public final class Rejections {
  static final String RESULT = "cowslipmoor-result";
  static final String EFFECT = "cowslipmoor-effect";

  private Rejections() {}

  /** Returns the response for a result code. */
  static HttpResponse of(ResultCode code, String message) {
    return HttpResponse.of(headers(code).build(), body(code, message));
  }

  /** Returns the headers of the response for a result code. */
  public static ResponseHeadersBuilder headers(ResultCode code) {
    return ResponseHeaders.builder(HttpStatus.valueOf(code.httpStatus()))
        .contentType(MediaType.JSON_UTF_8)
        .add(RESULT, Integer.toString(code.number()))
        .add(EFFECT, code.effect().text());
  }

  /** Returns the body of the response for a result code. */
  public static HttpData body(ResultCode code, String message) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("code", code.number());
    body.put("name", code.name());
    body.put("effect", code.effect().text());
    body.put("message", message);
    return HttpData.ofUtf8(body.toString());
  }
}
