package org.cowslipmoor.daemon.gateway;

import com.google.common.base.Ascii;
import com.linecorp.armeria.common.HttpRequest;
import io.netty.util.AsciiString;
import java.util.Map;

/** Reads from the head of a caller's request what its routing and its limits depend on. */
final class CallerHead {
  /** Length of the rest of a request line: two spaces, the version and the line's end. */
  private static final long HTTP_VERSION_BYTES = 12;

  /** Length of the colon, the space and the line's end of a header. */
  private static final int HEADER_SEPARATOR_BYTES = 4;

  private CallerHead() {}

  /** Returns the host name that the request is for, in lower case and without a port. */
  static String host(HttpRequest request) {
    String authority = request.authority() == null ? "" : request.authority();
    int port = authority.lastIndexOf(':');
    return Ascii.toLowerCase(port < 0 ? authority : authority.substring(0, port));
  }

  /** Returns the length of the head in bytes as HTTP/1.1, without additional white space. */
  static long length(HttpRequest request) {
    long bytes = HTTP_VERSION_BYTES + request.path().length();
    bytes += request.method().name().length();
    for (Map.Entry<AsciiString, String> h : request.headers()) {
      if (h.getKey().charAt(0) != ':') {
        bytes += h.getKey().length() + h.getValue().length() + HEADER_SEPARATOR_BYTES;
      }
    }
    return bytes;
  }
}
