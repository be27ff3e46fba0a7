package org.cowslipmoor.core.routing;

/**
 * A route that this version can't handle, for instance because a newer version defines it. It still
 * matches its requests, which would otherwise be handled by a route with a shorter prefix.
 *
 * @param name identifies the route within its configuration
 * @param host host name in the requests of callers
 * @param prefix path prefix, which begins and ends with a slash
 * @param reason why the route can't be handled, for operators
 */
public record UnusableRoute(String name, String host, String prefix, String reason)
    implements RouteEntry {

  /**
   * Checks the prefix.
   *
   * @throws IllegalArgumentException if it is invalid
   */
  public UnusableRoute {
    RouteRule.checkPrefix(prefix);
  }
}
