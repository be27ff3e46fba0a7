package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.Service;
import org.cowslipmoor.core.ownership.OwnershipPlanner;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.cowslipmoor.core.ownership.PlannerInputs;
import org.cowslipmoor.core.ownership.ShardEntry;
import org.cowslipmoor.core.ownership.ShardId;
import org.cowslipmoor.core.ownership.ShardPhase;
import org.jspecify.annotations.Nullable;

/** Plans changes of shard ownership while the host holds the leadership lease in the store. */
final class CoordinatorRole {
  /** Maximum number of shards of a service that may be released at the same time. */
  private static final int MAX_RELEASING_SHARDS = 4;

  private static final long PLAN_INTERVAL_NANOS = 50_000_000L;
  private static final long REBALANCE_INTERVAL_NANOS = 1_000_000_000L;

  /** Maximum duration of requests of a service that is no longer configured. */
  private static final long REMOVED_SERVICE_DEADLINE_NANOS = 600_000_000_000L;

  private final HostState host;
  private final LeadershipSession leadership;
  private final long startTime;
  private final TreeMap<Long, Long> installedAtBySequence = new TreeMap<>();
  private final Map<ShardId, PendingRelease> pendingReleases = new HashMap<>();
  private @Nullable PlanBasis unchangedBasis;
  private long nextPlanAt;
  private long nextRebalanceAt;

  /**
   * Everything that a plan depends on except loads. As long as it stays the same, a plan that
   * resulted in no change is not computed again.
   */
  private record PlanBasis(
      long version,
      long revision,
      ImmutableSet<String> lostTargets,
      ImmutableSet<ShardId> freedShards,
      ImmutableSet<ShardId> overdueShards,
      boolean tableInstalled) {}

  private record PendingRelease(long sequence, long startedAt) {}

  CoordinatorRole(HostState host, LeadershipSession leadership, long now) {
    this.host = host;
    this.leadership = leadership;
    this.startTime = now;
    this.nextPlanAt = now;
    this.nextRebalanceAt = now + REBALANCE_INTERVAL_NANOS;
  }

  /** Computes and writes the next table if one is due; returns whether a write was started. */
  boolean tick(long now, Map<String, MemberView> views) {
    OwnershipTable table = host.table();
    Configuration configuration = host.configuration();
    if (table == null || configuration == null || !leadership.isReady(now)) {
      return false;
    }
    recordInstallations(now, table, views);
    if (now - nextPlanAt < 0) {
      return false;
    }
    nextPlanAt = now + PLAN_INTERVAL_NANOS;
    boolean rebalance = now - nextRebalanceAt >= 0;
    PlannerInputs inputs =
        new PlannerInputs(
            configuration,
            lostTargets(views),
            freedShards(now, table, configuration, views),
            overdueShards(now, table),
            isInstalled(table.version(), table, views),
            rebalance,
            loads(views),
            MAX_RELEASING_SHARDS);
    PlanBasis basis =
        new PlanBasis(
            table.version(),
            configuration.revision(),
            inputs.lostTargets(),
            inputs.freedShards(),
            inputs.overdueShards(),
            inputs.tableInstalled());
    if (!rebalance && basis.equals(unchangedBasis)) {
      return false;
    }
    Optional<OwnershipTable> next = OwnershipPlanner.next(table, inputs, host.newOperationId());
    unchangedBasis = next.isPresent() ? null : basis;
    if (rebalance) {
      nextRebalanceAt = now + REBALANCE_INTERVAL_NANOS;
    }
    next.ifPresent(leadership::write);
    return next.isPresent();
  }

  private void recordInstallations(long now, OwnershipTable table, Map<String, MemberView> views) {
    Set<Long> pending = new HashSet<>();
    for (ShardEntry e : table.entries().values()) {
      if (e.phase() != ShardPhase.ACTIVE) {
        pending.add(e.fence().sequence());
      }
    }
    installedAtBySequence.keySet().retainAll(pending);
    for (long sequence : pending) {
      if (!installedAtBySequence.containsKey(sequence) && isInstalled(sequence, table, views)) {
        installedAtBySequence.put(sequence, now);
      }
    }
  }

  private static boolean isInstalled(
      long version, OwnershipTable table, Map<String, MemberView> views) {
    return table.isMajority(hostsWithVersion(version, views));
  }

  /** Returns the hosts that have installed the given version or a newer one. */
  private static Set<String> hostsWithVersion(long version, Map<String, MemberView> views) {
    Set<String> hosts = new HashSet<>();
    views.forEach(
        (id, view) -> {
          if (view.hasResponded && view.version >= version) {
            hosts.add(id);
          }
        });
    return hosts;
  }

  /**
   * Returns the targets that none of their renewers can reach and whose longest failure, as
   * reported by a live host, has reached the failure timeout.
   */
  private ImmutableSet<String> lostTargets(Map<String, MemberView> views) {
    Map<String, Long> longestFailureNanos = new HashMap<>();
    for (String id : host.liveMembers) {
      MemberView view = views.get(id);
      if (view != null) {
        view.failingTargets.forEach(
            (t, failureNanos) -> longestFailureNanos.merge(t, failureNanos, Math::max));
      }
    }
    ImmutableSet.Builder<String> lost = ImmutableSet.builder();
    longestFailureNanos.forEach(
        (target, failureNanos) -> {
          List<String> renewers = RenewerSelection.of(target, host.liveMembers);
          boolean allFail = renewers.stream().allMatch(r -> reportsFailure(views.get(r), target));
          if (allFail && failureNanos >= host.timing.targetFailureTimeoutNanos()) {
            lost.add(target);
          }
        });
    return lost.build();
  }

  private static boolean reportsFailure(@Nullable MemberView view, String target) {
    return view != null && view.failingTargets.containsKey(target);
  }

  private ImmutableSet<ShardId> freedShards(
      long now, OwnershipTable table, Configuration configuration, Map<String, MemberView> views) {
    ImmutableSet.Builder<ShardId> freed = ImmutableSet.builder();
    for (ShardEntry e : table.entries().values()) {
      boolean free =
          switch (e.phase()) {
            case ACTIVE -> false;
            case REVOKING -> hasExpired(now, e, configuration);
            case RELEASING -> isReleased(now, e, table, configuration, views);
          };
      if (free) {
        freed.add(e.shard());
      }
    }
    return freed.build();
  }

  private boolean hasExpired(long now, ShardEntry e, Configuration configuration) {
    Long installedAt = installedAtBySequence.get(e.fence().sequence());
    return installedAt != null
        && now - installedAt >= host.timing.revocationWaitNanos(maxUseNanos(e, configuration));
  }

  /**
   * Returns the time in nanoseconds for which the former owner may go on using its last grant or
   * processing the last request sent to it.
   */
  private long maxUseNanos(ShardEntry e, Configuration configuration) {
    Optional<Service> service = configuration.service(e.shard().service());
    if (service.isEmpty()) {
      return REMOVED_SERVICE_DEADLINE_NANOS;
    }
    return service.get().checksGrants()
        ? host.timing.grantNanos()
        : service.get().maxDeadline().toNanos();
  }

  private boolean isReleased(
      long now,
      ShardEntry e,
      OwnershipTable table,
      Configuration configuration,
      Map<String, MemberView> views) {
    Optional<Service> service = configuration.service(e.shard().service());
    if (service.isEmpty()) {
      return false;
    }
    long sequence = e.fence().sequence();
    if (service.get().checksGrants()) {
      boolean released =
          views.values().stream()
              .anyMatch(view -> Long.valueOf(sequence).equals(view.released.get(e.shard())));
      return released && isOlderTableUnusable(now, sequence, table, views);
    }
    // A host that has left the quorum may have requests in progress that no member reports.
    long maxUseNanos = service.get().maxDeadline().toNanos() + host.timing.attestationNanos();
    return now - startTime >= maxUseNanos
        && table.previousQuorum().hosts().isEmpty()
        && table.attesters().stream().allMatch(id -> hasDrained(views, id, sequence));
  }

  /**
   * Returns whether no host can still act on a table older than the given version. A target loses
   * its record of releases when it restarts, so its report of a release does not by itself prevent
   * a host with an older table from granting the shard to it again.
   */
  private boolean isOlderTableUnusable(
      long now, long sequence, OwnershipTable table, Map<String, MemberView> views) {
    boolean allInstalled = hostsWithVersion(sequence, views).containsAll(table.attesters());
    Long installedAt = installedAtBySequence.get(sequence);
    return allInstalled
        || (installedAt != null
            && now - installedAt
                >= host.timing.attestationNanos() + host.timing.clockDriftMarginNanos());
  }

  private static boolean hasDrained(Map<String, MemberView> views, String id, long sequence) {
    MemberView view = views.get(id);
    return view != null && view.hasResponded && view.drainedVersion >= sequence;
  }

  private ImmutableSet<ShardId> overdueShards(long now, OwnershipTable table) {
    ImmutableSet.Builder<ShardId> overdue = ImmutableSet.builder();
    Set<ShardId> releasing = new HashSet<>();
    for (ShardEntry e : table.entries().values()) {
      if (e.phase() != ShardPhase.RELEASING) {
        continue;
      }
      releasing.add(e.shard());
      PendingRelease release = pendingReleases.get(e.shard());
      if (release == null || release.sequence() != e.fence().sequence()) {
        pendingReleases.put(e.shard(), new PendingRelease(e.fence().sequence(), now));
      } else if (now - release.startedAt() >= host.timing.releaseTimeoutNanos()) {
        overdue.add(e.shard());
      }
    }
    pendingReleases.keySet().retainAll(releasing);
    return overdue.build();
  }

  private static ImmutableMap<ShardId, Double> loads(Map<String, MemberView> views) {
    Map<ShardId, Double> total = new HashMap<>();
    for (MemberView view : views.values()) {
      view.loads.forEach((shard, load) -> total.merge(shard, load, Double::sum));
    }
    return ImmutableMap.copyOf(total);
  }
}
