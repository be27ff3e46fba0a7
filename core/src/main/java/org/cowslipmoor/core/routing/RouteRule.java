package org.cowslipmoor.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

/**
 * A route: which requests it matches, by the host name that callers use and a path prefix, and how
 * they are handled.
 *
 * @param name identifies the route within its configuration
 * @param host host name in the requests of callers
 * @param prefix path prefix, which begins and ends with a slash
 * @param kind whether its requests may run more than once
 * @param maxAttempts maximum number of targets to which a request is sent, at least 1
 * @param timeoutMillis maximum response time in milliseconds, at least 1
 * @param objectiveMillis response time objective in milliseconds, at least 1
 * @param priority priority of its requests; 0 is the most urgent
 * @param destinations services over which the requests are split, at least one of them with a
 *     weight above 0
 */
public record RouteRule(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    int maxAttempts,
    long timeoutMillis,
    long objectiveMillis,
    int priority,
    ImmutableList<Destination> destinations)
    implements RouteEntry {

  /**
   * Checks the prefix, the ranges of the numbers and the destinations.
   *
   * @throws IllegalArgumentException if one of them is invalid
   */
  public RouteRule {
    checkPrefix(prefix);
    checkArgument(maxAttempts >= 1, "attempts must be at least 1, but is %s", maxAttempts);
    checkArgument(timeoutMillis >= 1, "timeout must be at least 1 ms, but is %s", timeoutMillis);
    checkArgument(
        objectiveMillis >= 1, "objective must be at least 1 ms, but is %s", objectiveMillis);
    checkArgument(priority >= 0, "priority must not be negative, but is %s", priority);
    checkArgument(
        destinations.stream().anyMatch(d -> d.weight() > 0),
        "route '%s' has no destination with a weight above 0",
        name);
  }

  static void checkPrefix(String prefix) {
    checkArgument(
        prefix.startsWith("/") && prefix.endsWith("/"),
        "prefix must begin and end with a slash, but is '%s'",
        prefix);
  }
}
