package org.cowslipmoor.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** An accepted version of the routes and services. Immutable. */
public final class RoutingConfiguration {
  private final long version;
  private final CallerLimits limits;
  private final ImmutableMap<String, ServiceDescription> services;
  private final ImmutableListMultimap<String, RouteEntry> routesByHost;

  private RoutingConfiguration(
      long version,
      CallerLimits limits,
      ImmutableMap<String, ServiceDescription> services,
      ImmutableListMultimap<String, RouteEntry> routesByHost) {
    this.version = version;
    this.limits = limits;
    this.services = services;
    this.routesByHost = routesByHost;
  }

  /**
   * Creates a routing configuration.
   *
   * @throws IllegalArgumentException if a route refers to an unknown service, if two routes have
   *     the same host and prefix, or if two services have the same name
   */
  public static RoutingConfiguration of(
      long version,
      CallerLimits limits,
      List<ServiceDescription> services,
      List<? extends RouteEntry> routes) {
    ImmutableMap<String, ServiceDescription> servicesByName =
        services.stream()
            .collect(ImmutableMap.toImmutableMap(ServiceDescription::name, service -> service));
    // Longest prefix first, so that the first match in find() has the longest prefix.
    ImmutableList<RouteEntry> longestPrefixFirst =
        routes.stream()
            .sorted(Comparator.comparingInt((RouteEntry r) -> r.prefix().length()).reversed())
            .collect(ImmutableList.toImmutableList());
    ImmutableListMultimap.Builder<String, RouteEntry> routesByHostBuilder =
        ImmutableListMultimap.builder();
    for (RouteEntry r : longestPrefixFirst) {
      if (r instanceof RouteRule rule) {
        checkServices(rule, servicesByName);
      }
      routesByHostBuilder.put(r.host(), r);
    }
    ImmutableListMultimap<String, RouteEntry> routesByHost = routesByHostBuilder.build();
    routesByHost
        .asMap()
        .forEach((host, ofHost) -> checkDistinctPrefixes(host, ImmutableList.copyOf(ofHost)));
    return new RoutingConfiguration(version, limits, servicesByName, routesByHost);
  }

  /** Returns the version; a higher one is newer. */
  public long version() {
    return version;
  }

  /** Returns the limits on the requests and connections of callers. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the services by name. */
  public ImmutableMap<String, ServiceDescription> services() {
    return services;
  }

  /** Returns the number of routes. */
  public int routeCount() {
    return routesByHost.size();
  }

  /**
   * Returns the route with the longest prefix that matches the path; empty if none matches.
   *
   * @param host host name in the request
   * @param path path of the request without the query
   */
  public Optional<RouteEntry> find(String host, String path) {
    for (RouteEntry r : routesByHost.get(host)) {
      if (path.startsWith(r.prefix())) {
        return Optional.of(r);
      }
    }
    return Optional.empty();
  }

  private static void checkServices(
      RouteRule rule, ImmutableMap<String, ServiceDescription> servicesByName) {
    for (Destination d : rule.destinations()) {
      checkArgument(
          servicesByName.containsKey(d.service()),
          "route '%s' names the unknown service '%s'",
          rule.name(),
          d.service());
    }
  }

  private static void checkDistinctPrefixes(String host, List<RouteEntry> routes) {
    long prefixes = routes.stream().map(RouteEntry::prefix).distinct().count();
    checkArgument(
        prefixes == routes.size(), "host '%s' has more than one route for a prefix", host);
  }
}
