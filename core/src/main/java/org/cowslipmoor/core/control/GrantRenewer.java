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

/** Renews the grants of the targets assigned to this host and records which do not respond. */
final class GrantRenewer {
  private final HostState host;
  private final Map<String, RenewalState> renewalStates = new HashMap<>();
  private final Map<ShardId, Long> released = new HashMap<>();
  private ImmutableList<String> assignedLiveMembers = ImmutableList.of();
  private long assignedRevision = -1;
  private long appliedTableVersion = -1;
  private Map<String, TargetShards> shards = new HashMap<>();

  GrantRenewer(HostState host) {
    this.host = host;
  }

  /** Sends the renewals that are due. */
  void tick(long now) {
    refreshAssignments(now);
    renewalStates.forEach((id, state) -> renewIfDue(now, id, state));
  }

  void onResponse(long now, String target, RenewalResponse response) {
    RenewalState state = renewalStates.get(target);
    if (state == null) {
      return;
    }
    state.awaitingResponse = false;
    switch (response) {
      case RenewalResponse.Received a -> {
        final boolean firstToken = state.token.isEmpty();
        state.token = a.token();
        state.failing = false;
        a.released().forEach((shard, fence) -> released.put(shard, fence.sequence()));
        if (firstToken || !a.accepted()) {
          state.nextRenewalAt = now;
        }
      }
      case RenewalResponse.Unreachable u -> {
        if (!state.failing) {
          state.failing = true;
          state.failingSince = state.sentAt;
        }
        state.token = "";
      }
    }
    if (!state.failing) {
      renewIfDue(now, target, state);
    }
  }

  /** Returns the targets that do not respond, with the duration of the failure in nanoseconds. */
  ImmutableMap<String, Long> failing(long now) {
    ImmutableMap.Builder<String, Long> result = ImmutableMap.builder();
    renewalStates.forEach(
        (id, state) -> {
          if (state.failing) {
            result.put(id, now - state.failingSince);
          } else if (state.awaitingResponse
              && now - state.sentAt > host.timing.renewalIntervalNanos()) {
            result.put(id, now - state.sentAt);
          }
        });
    return result.buildOrThrow();
  }

  /**
   * Returns the shards that their former owners have released, with the sequence of the fence of
   * each release.
   */
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
    boolean unchanged =
        assignedRevision == host.configurationRevision()
            && assignedLiveMembers.equals(host.liveMembers);
    if (configuration != null && !unchanged) {
      assignedRevision = configuration.revision();
      assignedLiveMembers = host.liveMembers;
      assign(now, configuration);
    }
    OwnershipTable table = host.table();
    if (table != null && appliedTableVersion != table.version()) {
      appliedTableVersion = table.version();
      Map<String, TargetShards> before = shards;
      shards = shardsByTarget(table);
      renewalStates.forEach(
          (id, state) -> {
            if (!shardsOf(before, id).equals(shardsOf(shards, id))) {
              state.nextRenewalAt = now;
            }
          });
    }
  }

  private void assign(long now, Configuration configuration) {
    Set<String> assignedTargets = new HashSet<>();
    for (Service service : configuration.services()) {
      for (Target t : service.targets()) {
        boolean sameDataCentre = t.dataCentre().equals(host.self.dataCentre());
        if (sameDataCentre
            && RenewerSelection.of(t.id(), assignedLiveMembers).contains(host.self.id())) {
          assignedTargets.add(t.id());
        }
      }
    }
    renewalStates.keySet().retainAll(assignedTargets);
    assignedTargets.forEach(
        id -> renewalStates.computeIfAbsent(id, unused -> new RenewalState(now)));
  }

  private void renewIfDue(long now, String target, RenewalState state) {
    OwnershipTable table = host.table();
    if (state.awaitingResponse || now < state.nextRenewalAt || table == null) {
      return;
    }
    state.awaitingResponse = true;
    state.sentAt = now;
    state.nextRenewalAt = now + host.timing.renewalIntervalNanos();
    // Without authority or a token the renewal is only a probe: version 0 changes nothing at the
    // target.
    boolean mayGrant = host.authority.permits(table.version(), now) && !state.token.isEmpty();
    TargetShards targetShards = mayGrant ? shardsOf(shards, target) : TargetShards.EMPTY;
    long version = mayGrant ? table.version() : 0;
    host.addAction(
        new ControlAction.Renew(
            target,
            new Renewal(
                version,
                table.epoch(),
                state.token,
                host.timing.grantNanos(),
                ImmutableMap.copyOf(targetShards.grants),
                ImmutableMap.copyOf(targetShards.releases))));
  }

  private static Map<String, TargetShards> shardsByTarget(OwnershipTable table) {
    Map<String, TargetShards> result = new HashMap<>();
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

  private static TargetShards shardsFor(Map<String, TargetShards> all, String target) {
    return all.computeIfAbsent(
        target, unused -> new TargetShards(new HashMap<>(), new HashMap<>()));
  }

  private static TargetShards shardsOf(Map<String, TargetShards> all, String target) {
    @Nullable TargetShards targetShards = all.get(target);
    return targetShards == null ? TargetShards.EMPTY : targetShards;
  }

  private record TargetShards(Map<ShardId, Fence> grants, Map<ShardId, Fence> releases) {
    static final TargetShards EMPTY = new TargetShards(Map.of(), Map.of());
  }

  /** Progress of the renewals of one target. */
  private static final class RenewalState {
    String token = "";
    long nextRenewalAt;
    long sentAt;
    long failingSince;
    boolean awaitingResponse;
    boolean failing;

    RenewalState(long nextRenewalAt) {
      this.nextRenewalAt = nextRenewalAt;
    }
  }
}
