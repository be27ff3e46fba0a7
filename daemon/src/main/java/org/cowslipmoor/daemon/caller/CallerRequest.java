package org.cowslipmoor.daemon.caller;

import com.google.common.base.Splitter;
import com.linecorp.armeria.common.RequestHeaders;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import org.cowslipmoor.core.configuration.Service;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request, parsed from its path and headers.
 *
 * @param id identifies the request at the target
 * @param service name of the service
 * @param path path and query at the target
 * @param key the key; null if there is none
 * @param deadline time limit given by the caller; null for the service's default
 * @param repeatable whether the caller allows the request to be repeated; null for the service's
 *     default
 * @param forwarded whether another host forwarded the request to this one
 */
record CallerRequest(
    String id,
    String service,
    String path,
    @Nullable String key,
    @Nullable Duration deadline,
    @Nullable Boolean repeatable,
    boolean forwarded) {

  static final String PREFIX = "/v1/services/";
  static final String KEY = "cowslipmoor-key";
  static final String DEADLINE = "cowslipmoor-deadline-ms";
  static final String REPEATABLE = "cowslipmoor-repeatable";
  static final String REQUEST_ID = "cowslipmoor-request-id";
  static final String FORWARDED = "cowslipmoor-forwarded";
  private static final int MAX_ID_LENGTH = 128;

  /**
   * Parses a request.
   *
   * @throws IllegalArgumentException if the path or a header is malformed
   */
  static CallerRequest parse(RequestHeaders headers) {
    String path = headers.path();
    if (!path.startsWith(PREFIX)) {
      throw new IllegalArgumentException("the path must start with " + PREFIX);
    }
    List<String> parts = Splitter.on('/').limit(2).splitToList(path.substring(PREFIX.length()));
    String service = parts.get(0);
    int query = service.indexOf('?');
    String rest = parts.size() > 1 ? parts.get(1) : "";
    if (query >= 0) {
      rest = service.substring(query);
      service = service.substring(0, query);
    }
    String id = headers.get(REQUEST_ID);
    if (id != null && (id.isEmpty() || id.length() > MAX_ID_LENGTH)) {
      throw new IllegalArgumentException(
          REQUEST_ID
              + " must be 1 to "
              + MAX_ID_LENGTH
              + " characters long, but has "
              + id.length());
    }
    return new CallerRequest(
        id == null ? UUID.randomUUID().toString() : id,
        service,
        "/" + rest,
        headers.get(KEY),
        parseDeadline(headers.get(DEADLINE)),
        parseRepeatable(headers.get(REPEATABLE)),
        headers.contains(FORWARDED));
  }

  /** Returns the caller's or the service's default deadline, limited to the service's maximum. */
  Duration deadline(Service s) {
    Duration requested = deadline == null ? s.defaultDeadline() : deadline;
    return requested.compareTo(s.maxDeadline()) > 0 ? s.maxDeadline() : requested;
  }

  /**
   * Returns whether the request may run more than once. A caller can forbid this, but can't allow
   * it where the service doesn't.
   */
  boolean mayRepeat(Service s) {
    return s.repeatable() && (repeatable == null || repeatable);
  }

  private static @Nullable Duration parseDeadline(@Nullable String text) {
    if (text == null) {
      return null;
    }
    long millis;
    try {
      millis = Long.parseLong(text);
    } catch (NumberFormatException e) {
      millis = 0;
    }
    if (millis < 1) {
      throw new IllegalArgumentException(
          DEADLINE + " must be a whole number of milliseconds from 1, but is '" + text + "'");
    }
    return Duration.ofMillis(millis);
  }

  private static @Nullable Boolean parseRepeatable(@Nullable String text) {
    if (text == null) {
      return null;
    }
    return switch (text) {
      case "true" -> true;
      case "false" -> false;
      default ->
          throw new IllegalArgumentException(
              REPEATABLE + " must be true or false, but is '" + text + "'");
    };
  }
}
