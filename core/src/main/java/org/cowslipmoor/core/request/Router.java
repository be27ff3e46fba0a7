package org.cowslipmoor.core.request;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.core.configuration.Service;
import org.cowslipmoor.core.configuration.Target;
import org.cowslipmoor.core.ownership.KeyHasher;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.cowslipmoor.core.ownership.ShardEntry;
import org.cowslipmoor.core.ownership.ShardId;
import org.cowslipmoor.core.ownership.ShardPhase;
import org.jspecify.annotations.Nullable;

/** Routes requests by the configuration, ownership table and authority in effect on the host. */
public final class Router {
  private Router() {}

  /**
   * Routes a request.
   *
   * @param view the state in effect on the host
   * @param now current time of the host's clock in nanoseconds
   * @param serviceName name of the requested service
   * @param key key of the request; null if it has none
   * @param forwarded whether another host forwarded the request to this data centre
   */
  public static Route route(
      RoutingView view, long now, String serviceName, @Nullable String key, boolean forwarded) {
    Configuration configuration = view.configuration();
    if (configuration == null) {
      return new Route.Reject(ResultCode.NO_CONFIGURATION, "the host has no configuration yet");
    }
    Optional<Service> configuredService = configuration.service(serviceName);
    if (configuredService.isEmpty()) {
      return new Route.Reject(ResultCode.UNKNOWN_SERVICE, "there is no service " + serviceName);
    }
    Service service = configuredService.get();
    if (!service.keyed()) {
      return routeAny(view, configuration, service, forwarded);
    }
    if (key == null) {
      return new Route.Reject(
          ResultCode.MALFORMED_KEY, "service " + serviceName + " requires a key");
    }
    ShardId shard;
    try {
      shard = new ShardId(service.name(), KeyHasher.shardOf(key, service.shards()));
    } catch (IllegalArgumentException e) {
      return new Route.Reject(ResultCode.MALFORMED_KEY, String.valueOf(e.getMessage()));
    }
    String home = service.homes().get(shard.index());
    if (!home.equals(view.dataCentre())) {
      if (forwarded) {
        return new Route.Reject(ResultCode.NOT_HOME, "the home data centre of the key is " + home);
      }
      return new Route.ToHome(configuration.membersOf(home));
    }
    return routeToOwner(view, now, service, shard);
  }

  private static Route routeToOwner(RoutingView view, long now, Service service, ShardId shard) {
    OwnershipTable table = view.table();
    if (table == null || !view.authority().permits(table.version(), now)) {
      return new Route.Wait(ResultCode.OWNER_UNKNOWN);
    }
    ShardEntry entry = table.entry(shard);
    if (entry == null || entry.phase() != ShardPhase.ACTIVE) {
      return new Route.Wait(ResultCode.OWNER_UNKNOWN);
    }
    String owner = entry.owner();
    Optional<Target> target = owner == null ? Optional.empty() : service.target(owner);
    return target.isEmpty()
        ? new Route.Wait(ResultCode.NO_TARGET)
        : new Route.ToOwner(target.get(), shard, entry.fence());
  }

  private static Route routeAny(
      RoutingView view, Configuration configuration, Service service, boolean forwarded) {
    ImmutableList<Target> local = serving(service.targets(), view.dataCentre());
    if (!local.isEmpty()) {
      return new Route.ToAny(local);
    }
    ImmutableSet<String> otherDataCentres =
        service.targets().stream()
            .filter(t -> !t.draining())
            .map(Target::dataCentre)
            .collect(ImmutableSet.toImmutableSet());
    ImmutableList<Member> hosts =
        configuration.members().stream()
            .filter(m -> otherDataCentres.contains(m.dataCentre()))
            .collect(ImmutableList.toImmutableList());
    return hosts.isEmpty() || forwarded
        ? new Route.Wait(ResultCode.NO_TARGET)
        : new Route.ToHome(hosts);
  }

  private static ImmutableList<Target> serving(List<Target> targets, String dataCentre) {
    return targets.stream()
        .filter(t -> !t.draining() && t.dataCentre().equals(dataCentre))
        .collect(ImmutableList.toImmutableList());
  }
}
