package org.cowslipmoor.core.routing;

/** An entry of the routing table: which requests it matches, and whether they can be handled. */
public sealed interface RouteEntry permits RouteRule, UnusableRoute {

  /** Returns the name that identifies the entry within its configuration. */
  String name();

  /** Returns the host name in the requests of callers. */
  String host();

  /** Returns the path prefix, which begins and ends with a slash. */
  String prefix();
}
