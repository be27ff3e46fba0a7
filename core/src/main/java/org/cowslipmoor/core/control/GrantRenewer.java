package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.Service;
import org.cowslipmoor.core.configuration.Target;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.cowslipmoor.core.ownership.ShardEntry;
import org.cowslipmoor.core.ownership.ShardId;
import org.cowslipmoor.core.ownership.ShardPhase;
import org.jspecify.annotations.Nullable;

/** Renews the grants of the targets that fall to this host, and notes which do not answer. */
final class GrantRenewer {
  private final HostState host;
  private final Map<String, Progress> targets = new HashMap<>();
  private final Map<ShardId, Long> released = new HashMap<>();
  private ImmutableList<String> plannedLive = ImmutableList.of();
  private long plannedRevision = -1;
  private long plannedVersion = -1;
  private Map<String, Shards> shards = new HashMap<>();

  GrantRenewer(HostState host) {
    this.host = host;
  }

  /** Sends the renewals that are due. */
  void tick(long now) {
    refreshAssignments(now);
    targets.forEach((id, p) -> renewIfDue(now, id, p));
  }

  void onResponse(long now, String target, RenewalResponse answer) {
    Progress p = targets.get(target);
    if (p == null) {
      return;
    }
    p.waiting = false;
    switch (answer) {
      case RenewalResponse.Received a -> {
        final boolean firstToken = p.token.isEmpty();
        p.token = a.token();
        p.failing = false;
        a.released().forEach((shard, fence) -> released.put(shard, fence.sequence()));
        if (firstToken || !a.accepted()) {
          p.dueAt = now;
        }
      }
      case RenewalResponse.Unreachable u -> {
        if (!p.failing) {
          p.failing = true;
          p.failingSince = p.sentAt;
        }
        p.token = "";
      }
    }
    if (!p.failing) {
      renewIfDue(now, target, p);
    }
  }

  /** Returns the targets that do not answer, with the nanoseconds since they did. */
  ImmutableMap<String, Long> failing(long now) {
    ImmutableMap.Builder<String, Long> result = ImmutableMap.builder();
    targets.forEach(
        (id, p) -> {
          if (p.failing) {
            result.put(id, now - p.failingSince);
          } else if (p.waiting && now - p.sentAt > host.timing.renewalIntervalNanos()) {
            result.put(id, now - p.sentAt);
          }
        });
    return result.buildOrThrow();
  }

  /** Returns the shards that their former owners have released, with their fences' sequences. */
  ImmutableMap<ShardId, Long> released() {
    OwnershipTable table = host.table();
    released
        .entrySet()
        .removeIf(
            r -> {
              ShardEntry e = table == null ? null : table.entry(r.getKey());
              return e == null
                  || e.phase() != ShardPhase.RELEASING
                  || e.fence().sequence() != r.getValue();
            });
    return ImmutableMap.copyOf(released);
  }

  private void refreshAssignments(long now) {
    Configuration configuration = host.configuration();
    boolean membersSame =
        plannedRevision == host.configurationRevision() && plannedLive.equals(host.live);
    if (configuration != null && !membersSame) {
      plannedRevision = configuration.revision();
      plannedLive = host.live;
      assign(now, configuration);
    }
    OwnershipTable table = host.table();
    if (table != null && plannedVersion != table.version()) {
      plannedVersion = table.version();
      Map<String, Shards> before = shards;
      shards = shardsByTarget(table);
      targets.forEach(
          (id, p) -> {
            if (!shardsOf(before, id).equals(shardsOf(shards, id))) {
              p.dueAt = now;
            }
          });
    }
  }

  private void assign(long now, Configuration configuration) {
    Set<String> mine = new HashSet<>();
    for (Service service : configuration.services()) {
      for (Target t : service.targets()) {
        boolean local = t.dataCentre().equals(host.self.dataCentre());
        if (local && RenewerSelection.of(t.id(), plannedLive).contains(host.self.id())) {
          mine.add(t.id());
        }
      }
    }
    targets.keySet().retainAll(mine);
    mine.forEach(id -> targets.computeIfAbsent(id, unused -> new Progress(now)));
  }

  private void renewIfDue(long now, String target, Progress p) {
    OwnershipTable table = host.table();
    if (p.waiting || now < p.dueAt || table == null) {
      return;
    }
    p.waiting = true;
    p.sentAt = now;
    p.dueAt = now + host.timing.renewalIntervalNanos();
    // A renewal without authority or token only probes: version 0 changes nothing at the target.
    boolean grants = host.authority.permits(table.version(), now) && !p.token.isEmpty();
    Shards s = grants ? shardsOf(shards, target) : Shards.EMPTY;
    long version = grants ? table.version() : 0;
    host.act(
        new ControlAction.Renew(
            target,
            new Renewal(
                version,
                table.epoch(),
                p.token,
                host.timing.grantNanos(),
                ImmutableMap.copyOf(s.grants),
                ImmutableMap.copyOf(s.releases))));
  }

  private static Map<String, Shards> shardsByTarget(OwnershipTable table) {
    Map<String, Shards> result = new HashMap<>();
    for (ShardEntry e : table.entries().values()) {
      String owner = e.owner();
      String former = e.formerOwner();
      if (e.phase() == ShardPhase.ACTIVE && owner != null) {
        shardsFor(result, owner).grants.put(e.shard(), e.fence());
      } else if (e.phase() == ShardPhase.RELEASING && former != null) {
        shardsFor(result, former).releases.put(e.shard(), e.fence());
      }
    }
    return result;
  }

  private static Shards shardsFor(Map<String, Shards> all, String target) {
    return all.computeIfAbsent(target, unused -> new Shards(new HashMap<>(), new HashMap<>()));
  }

  private static Shards shardsOf(Map<String, Shards> all, String target) {
    @Nullable Shards s = all.get(target);
    return s == null ? Shards.EMPTY : s;
  }

  private record Shards(Map<ShardId, Fence> grants, Map<ShardId, Fence> releases) {
    static final Shards EMPTY = new Shards(Map.of(), Map.of());
  }

  /** How far the renewals of one target have come. */
  private static final class Progress {
    String token = "";
    long dueAt;
    long sentAt;
    long failingSince;
    boolean waiting;
    boolean failing;

    Progress(long dueAt) {
      this.dueAt = dueAt;
    }
  }
}
