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

/** Plans changes of ownership while the host holds the store's lease. */
final class CoordinatorRole {
  /** Most shards that move by consent at the same time. */
  private static final int MOVE_LIMIT = 4;

  private static final long PLAN_INTERVAL = 50_000_000L;
  private static final long REBALANCE_INTERVAL = 1_000_000_000L;

  /** Time for which requests of a service that is no longer configured may last. */
  private static final long UNKNOWN_DEADLINE = 600_000_000_000L;

  private final HostState host;
  private final LeadershipSession leadership;
  private final long startTime;
  private final TreeMap<Long, Long> acknowledgedAt = new TreeMap<>();
  private final Map<ShardId, ReleaseWait> releaseWaits = new HashMap<>();
  private @Nullable PlanBasis fruitlessBasis;
  private long nextPlanAt;
  private long nextRebalanceAt;

  /** What a plan depends on, but for loads; a plan that changed nothing is not made again. */
  private record PlanBasis(
      long version,
      long revision,
      ImmutableSet<String> lostTargets,
      ImmutableSet<ShardId> freedShards,
      ImmutableSet<ShardId> overdueShards,
      boolean settled) {}

  private record ReleaseWait(long sequence, long since) {}

  CoordinatorRole(HostState host, LeadershipSession leadership, long now) {
    this.host = host;
    this.leadership = leadership;
    this.startTime = now;
    this.nextPlanAt = now;
    this.nextRebalanceAt = now + REBALANCE_INTERVAL;
  }

  /** Plans and writes when it is due; returns whether a write was started. */
  boolean tick(long now, Map<String, MemberView> views) {
    OwnershipTable table = host.table();
    Configuration configuration = host.configuration();
    if (table == null || configuration == null || !leadership.isReady(now)) {
      return false;
    }
    noteAcknowledgements(now, table, views);
    if (now - nextPlanAt < 0) {
      return false;
    }
    nextPlanAt = now + PLAN_INTERVAL;
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
            MOVE_LIMIT);
    PlanBasis basis =
        new PlanBasis(
            table.version(),
            configuration.revision(),
            inputs.lostTargets(),
            inputs.freedShards(),
            inputs.overdueShards(),
            inputs.settled());
    if (!rebalance && basis.equals(fruitlessBasis)) {
      return false;
    }
    Optional<OwnershipTable> next = OwnershipPlanner.next(table, inputs, host.newOperationId());
    fruitlessBasis = next.isPresent() ? null : basis;
    if (rebalance) {
      nextRebalanceAt = now + REBALANCE_INTERVAL;
    }
    next.ifPresent(leadership::write);
    return next.isPresent();
  }

  private void noteAcknowledgements(long now, OwnershipTable table, Map<String, MemberView> views) {
    Set<Long> pending = new HashSet<>();
    for (ShardEntry e : table.entries().values()) {
      if (e.phase() != ShardPhase.ACTIVE) {
        pending.add(e.fence().sequence());
      }
    }
    acknowledgedAt.keySet().retainAll(pending);
    for (long sequence : pending) {
      if (!acknowledgedAt.containsKey(sequence) && isInstalled(sequence, table, views)) {
        acknowledgedAt.put(sequence, now);
      }
    }
  }

  private static boolean isInstalled(
      long version, OwnershipTable table, Map<String, MemberView> views) {
    return table.isMajority(installers(version, views));
  }

  /** Returns the hosts that have installed the version or a newer one. */
  private static Set<String> installers(long version, Map<String, MemberView> views) {
    Set<String> installed = new HashSet<>();
    views.forEach(
        (id, v) -> {
          if (v.heard && v.version >= version) {
            installed.add(id);
          }
        });
    return installed;
  }

  /** A target is lost when all its renewers fail to reach it, one of them for long enough. */
  private ImmutableSet<String> lostTargets(Map<String, MemberView> views) {
    Map<String, Long> longest = new HashMap<>();
    for (String id : host.live) {
      MemberView v = views.get(id);
      if (v != null) {
        v.failingTargets.forEach((t, time) -> longest.merge(t, time, Math::max));
      }
    }
    ImmutableSet.Builder<String> lost = ImmutableSet.builder();
    longest.forEach(
        (target, time) -> {
          List<String> renewers = RenewerSelection.of(target, host.live);
          boolean allFail = renewers.stream().allMatch(r -> reportsFailure(views.get(r), target));
          if (allFail && time >= host.timing.targetFailureTimeoutNanos()) {
            lost.add(target);
          }
        });
    return lost.build();
  }

  private static boolean reportsFailure(@Nullable MemberView v, String target) {
    return v != null && v.failingTargets.containsKey(target);
  }

  private ImmutableSet<ShardId> freedShards(
      long now, OwnershipTable table, Configuration configuration, Map<String, MemberView> views) {
    ImmutableSet.Builder<ShardId> freed = ImmutableSet.builder();
    for (ShardEntry e : table.entries().values()) {
      boolean free =
          switch (e.phase()) {
            case ACTIVE -> false;
            case REVOKING -> hasLapsed(now, e, configuration);
            case RELEASING -> isReleased(now, e, table, configuration, views);
          };
      if (free) {
        freed.add(e.shard());
      }
    }
    return freed.build();
  }

  private boolean hasLapsed(long now, ShardEntry e, Configuration configuration) {
    Long acknowledged = acknowledgedAt.get(e.fence().sequence());
    return acknowledged != null
        && now - acknowledged >= host.timing.revocationWaitNanos(lastUse(e, configuration));
  }

  /** Returns how long the former owner may go on with what it was granted or sent last. */
  private long lastUse(ShardEntry e, Configuration configuration) {
    Optional<Service> service = configuration.service(e.shard().service());
    if (service.isEmpty()) {
      return UNKNOWN_DEADLINE;
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
              .anyMatch(v -> Long.valueOf(sequence).equals(v.released.get(e.shard())));
      return released && isForgotten(now, sequence, table, views);
    }
    // A host that left the quorum may have requests in progress that nobody reports any more.
    long longestUse = service.get().maxDeadline().toNanos() + host.timing.attestationNanos();
    return now - startTime >= longestUse
        && table.previousQuorum().hosts().isEmpty()
        && table.attesters().stream().allMatch(id -> hasDrained(views, id, sequence));
  }

  /**
   * Tells whether no host can still act on a table older than the given one. A target that restarts
   * forgets what it has released, so its word alone does not keep such a host from granting the
   * shard to it again.
   */
  private boolean isForgotten(
      long now, long sequence, OwnershipTable table, Map<String, MemberView> views) {
    boolean allInstalled = installers(sequence, views).containsAll(table.attesters());
    Long acknowledged = acknowledgedAt.get(sequence);
    return allInstalled
        || (acknowledged != null
            && now - acknowledged
                >= host.timing.attestationNanos() + host.timing.clockDriftMarginNanos());
  }

  private static boolean hasDrained(Map<String, MemberView> views, String id, long sequence) {
    MemberView v = views.get(id);
    return v != null && v.heard && v.drainedVersion >= sequence;
  }

  private ImmutableSet<ShardId> overdueShards(long now, OwnershipTable table) {
    ImmutableSet.Builder<ShardId> overdue = ImmutableSet.builder();
    Set<ShardId> waiting = new HashSet<>();
    for (ShardEntry e : table.entries().values()) {
      if (e.phase() != ShardPhase.RELEASING) {
        continue;
      }
      waiting.add(e.shard());
      ReleaseWait wait = releaseWaits.get(e.shard());
      if (wait == null || wait.sequence() != e.fence().sequence()) {
        releaseWaits.put(e.shard(), new ReleaseWait(e.fence().sequence(), now));
      } else if (now - wait.since() >= host.timing.releaseTimeoutNanos()) {
        overdue.add(e.shard());
      }
    }
    releaseWaits.keySet().retainAll(waiting);
    return overdue.build();
  }

  private static ImmutableMap<ShardId, Double> loads(Map<String, MemberView> views) {
    Map<ShardId, Double> sum = new HashMap<>();
    for (MemberView v : views.values()) {
      v.loads.forEach((shard, load) -> sum.merge(shard, load, Double::sum));
    }
    return ImmutableMap.copyOf(sum);
  }
}
