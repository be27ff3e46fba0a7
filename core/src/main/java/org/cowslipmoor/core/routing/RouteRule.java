package org.cowslipmoor.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

/**
 * One route: the requests of a host under a path prefix, and what is done with them.
 *
 * @param name identifies the route within its configuration
 * @param host the host that callers name
 * @param prefix path prefix; begins and ends with a slash
 * @param kind what may be done more than once
 * @param maxAttempts most targets that one request may be sent to, at least 1
 * @param timeoutMillis longest time in milliseconds that a caller is kept waiting, at least 1
 * @param objectiveMillis time in milliseconds within which an answer is on time, at least 1
 * @param priority rank of the route; 0 is the most urgent
 * @param destinations services that share the requests; at least one with a weight above 0
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
    ImmutableList<Destination> destinations) {

  /** Checks the ranges of the numbers and the prefix. */
  public RouteRule {
    checkArgument(
        prefix.startsWith("/") && prefix.endsWith("/"),
        "prefix must begin and end with a slash, but is '%s'",
        prefix);
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
}
