package org.cowslipmoor.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** One accepted version of the routes and services. Immutable. */
public final class RoutingConfiguration {
  private final long version;
  private final CallerLimits limits;
  private final ImmutableMap<String, ServiceDescription> services;
  private final ImmutableListMultimap<String, RouteRule> rulesByHost;

  private RoutingConfiguration(
      long version,
      CallerLimits limits,
      ImmutableMap<String, ServiceDescription> services,
      ImmutableListMultimap<String, RouteRule> rulesByHost) {
    this.version = version;
    this.limits = limits;
    this.services = services;
    this.rulesByHost = rulesByHost;
  }

  /**
   * Creates a version.
   *
   * @throws IllegalArgumentException if a route names a service that isn't listed, or two routes
   *     share a host and prefix, or two services a name
   */
  public static RoutingConfiguration of(
      long version, CallerLimits limits, List<ServiceDescription> services, List<RouteRule> rules) {
    ImmutableMap<String, ServiceDescription> byName =
        services.stream()
            .collect(ImmutableMap.toImmutableMap(ServiceDescription::name, service -> service));
    // The longest prefix of a host comes first, so that the first match is the route.
    ImmutableList<RouteRule> sorted =
        rules.stream()
            .sorted(Comparator.comparingInt((RouteRule r) -> r.prefix().length()).reversed())
            .collect(ImmutableList.toImmutableList());
    ImmutableListMultimap.Builder<String, RouteRule> byHost = ImmutableListMultimap.builder();
    for (RouteRule r : sorted) {
      for (Destination d : r.destinations()) {
        checkArgument(
            byName.containsKey(d.service()),
            "route '%s' names the unknown service '%s'",
            r.name(),
            d.service());
      }
      byHost.put(r.host(), r);
    }
    ImmutableListMultimap<String, RouteRule> rulesByHost = byHost.build();
    rulesByHost.asMap().forEach((host, all) -> checkDistinct(host, ImmutableList.copyOf(all)));
    return new RoutingConfiguration(version, limits, byName, rulesByHost);
  }

  /** Returns the version; a larger one is newer. */
  public long version() {
    return version;
  }

  /** Returns the bounds on what callers may send. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the services by name. */
  public ImmutableMap<String, ServiceDescription> services() {
    return services;
  }

  /** Returns the number of routes. */
  public int routeCount() {
    return rulesByHost.size();
  }

  /**
   * Returns the route with the longest prefix that begins the path; empty when none does.
   *
   * @param host the host that the caller names
   * @param path the path, without a query
   */
  public Optional<RouteRule> find(String host, String path) {
    for (RouteRule r : rulesByHost.get(host)) {
      if (path.startsWith(r.prefix())) {
        return Optional.of(r);
      }
    }
    return Optional.empty();
  }

  private static void checkDistinct(String host, List<RouteRule> rules) {
    long prefixes = rules.stream().map(RouteRule::prefix).distinct().count();
    checkArgument(prefixes == rules.size(), "host '%s' has more than one route for a prefix", host);
  }
}
