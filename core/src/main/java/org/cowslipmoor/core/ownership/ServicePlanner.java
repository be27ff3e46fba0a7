package org.cowslipmoor.core.ownership;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.cowslipmoor.core.configuration.Service;
import org.cowslipmoor.core.configuration.Target;
import org.jspecify.annotations.Nullable;

/** Computes the entries of one service's shards in one data centre. Each instance is used once. */
final class ServicePlanner {
  /** Minimum weight of a shard, relative to the mean shard; gives idle shards a weight as well. */
  private static final double MIN_SHARD_WEIGHT = 0.01;

  private final Service service;
  private final String dataCentre;
  private final PlannerInputs inputs;
  private final NavigableMap<ShardId, ShardEntry> entries;
  private final Fence fence;
  private final Map<String, Target> targets = new HashMap<>();
  private final Map<String, Double> weightByTarget = new TreeMap<>();
  private final double meanShardLoad;
  private int releasingShards;

  ServicePlanner(
      OwnershipTable table,
      Service service,
      PlannerInputs inputs,
      NavigableMap<ShardId, ShardEntry> entries,
      long sequence) {
    this.service = service;
    this.dataCentre = table.dataCentre();
    this.inputs = inputs;
    this.entries = entries;
    this.fence = new Fence(table.epoch(), sequence);
    for (Target t : service.targets()) {
      if (t.dataCentre().equals(dataCentre)) {
        targets.put(t.id(), t);
        if (!t.draining() && !inputs.lostTargets().contains(t.id())) {
          weightByTarget.put(t.id(), 0.0);
        }
      }
    }
    this.meanShardLoad = meanShardLoad();
    for (ShardEntry e : entriesOfService()) {
      addWeight(e.owner(), weightOf(e.shard()));
      releasingShards += e.phase() == ShardPhase.RELEASING ? 1 : 0;
    }
  }

  /** Updates the entries of the service in the map that was passed to the constructor. */
  void run() {
    advanceTransfers();
    assignUnownedShards();
    revokeFromLostOwners();
    releaseFromDrainingOwners();
    rebalance();
  }

  private void advanceTransfers() {
    for (ShardEntry e : entriesOfService()) {
      String formerOwner = e.formerOwner();
      if (formerOwner == null) {
        continue;
      }
      boolean formerUnavailable =
          !targets.containsKey(formerOwner) || inputs.lostTargets().contains(formerOwner);
      if (inputs.freedShards().contains(e.shard())) {
        completeTransfer(e);
      } else if (e.phase() == ShardPhase.RELEASING
          && (formerUnavailable || inputs.overdueShards().contains(e.shard()))) {
        releasingShards--;
        put(new ShardEntry(e.shard(), e.owner(), fence, ShardPhase.REVOKING, formerOwner));
      }
    }
  }

  private void completeTransfer(ShardEntry e) {
    releasingShards -= e.phase() == ShardPhase.RELEASING ? 1 : 0;
    String owner = e.owner();
    if (owner != null && weightByTarget.containsKey(owner)) {
      put(ShardEntry.active(e.shard(), owner, e.fence()));
    } else {
      put(ShardEntry.active(e.shard(), assignToLightestTarget(e.shard()), fence));
    }
  }

  private void assignUnownedShards() {
    for (int i = 0; i < service.shards(); i++) {
      ShardId shard = new ShardId(service.name(), i);
      if (!service.homes().get(i).equals(dataCentre)) {
        continue;
      }
      ShardEntry e = entries.get(shard);
      boolean unowned = e == null || (e.phase() == ShardPhase.ACTIVE && e.owner() == null);
      if (unowned && (e == null || !weightByTarget.isEmpty())) {
        put(ShardEntry.active(shard, assignToLightestTarget(shard), fence));
      }
    }
  }

  private void revokeFromLostOwners() {
    for (ShardEntry e : entriesOfService()) {
      String owner = e.owner();
      if (e.phase() != ShardPhase.ACTIVE || owner == null) {
        continue;
      }
      if (!targets.containsKey(owner) || inputs.lostTargets().contains(owner)) {
        put(
            new ShardEntry(
                e.shard(), assignToLightestTarget(e.shard()), fence, ShardPhase.REVOKING, owner));
      }
    }
  }

  private void releaseFromDrainingOwners() {
    for (ShardEntry e : entriesOfService()) {
      String owner = e.owner();
      if (e.phase() != ShardPhase.ACTIVE
          || owner == null
          || releasingShards >= inputs.maxReleasingShards()) {
        continue;
      }
      Target t = targets.get(owner);
      if (t != null && t.draining() && !weightByTarget.isEmpty()) {
        startRelease(e, assignToLightestTarget(e.shard()));
      }
    }
  }

  /**
   * Moves shards from the target with the highest weight to the one with the lowest, as long as
   * each move reduces the difference.
   */
  private void rebalance() {
    if (!inputs.tableInstalled() || !inputs.rebalance()) {
      return;
    }
    while (releasingShards < inputs.maxReleasingShards() && weightByTarget.size() >= 2) {
      String heaviest = firstTarget(Comparator.<Double>naturalOrder().reversed());
      String lightestTarget = firstTarget(Comparator.naturalOrder());
      double difference =
          weightByTarget.getOrDefault(heaviest, 0.0)
              - weightByTarget.getOrDefault(lightestTarget, 0.0);
      ShardEntry best = null;
      for (ShardEntry e : entriesOfService()) {
        double w = weightOf(e.shard());
        boolean reducesDifference = w <= difference / 2 + 1e-9 && difference - w >= minDifference();
        boolean isHeavier = best == null || w > weightOf(best.shard());
        if (e.isActiveAt(heaviest) && reducesDifference && isHeavier) {
          best = e;
        }
      }
      if (best == null) {
        return;
      }
      addWeight(heaviest, -weightOf(best.shard()));
      startRelease(best, lightestTarget);
      addWeight(lightestTarget, weightOf(best.shard()));
    }
  }

  /**
   * Returns the minimum difference that must remain after subtracting a shard's weight for the
   * shard to be moved: the weight of a mean shard or, with measured loads, 5% of the mean weight of
   * a target if that is more. Smaller differences are left, so that noise moves no shards.
   */
  private double minDifference() {
    return inputs.loads().isEmpty() ? 1.0 : Math.max(1.0, 0.05 * meanTargetWeight());
  }

  private double meanTargetWeight() {
    return weightByTarget.values().stream().mapToDouble(Double::doubleValue).average().orElse(0);
  }

  private void startRelease(ShardEntry e, @Nullable String to) {
    String owner = e.owner();
    if (owner == null) {
      return;
    }
    releasingShards++;
    put(new ShardEntry(e.shard(), to, fence, ShardPhase.RELEASING, owner));
  }

  /**
   * Returns the target with the lowest weight and adds the shard's weight to it; null if no target
   * is available.
   */
  private @Nullable String assignToLightestTarget(ShardId shard) {
    if (weightByTarget.isEmpty()) {
      return null;
    }
    String lightestTarget = firstTarget(Comparator.naturalOrder());
    addWeight(lightestTarget, weightOf(shard));
    return lightestTarget;
  }

  private String firstTarget(Comparator<Double> order) {
    return weightByTarget.entrySet().stream()
        .min(Map.Entry.comparingByValue(order))
        .map(Map.Entry::getKey)
        .orElseThrow();
  }

  private void addWeight(@Nullable String target, double weight) {
    if (target != null && weightByTarget.containsKey(target)) {
      weightByTarget.merge(target, weight, Double::sum);
    }
  }

  /** Returns the shard's load relative to the mean shard, or 1 if no loads were measured. */
  private double weightOf(ShardId shard) {
    if (meanShardLoad <= 0) {
      return 1;
    }
    return Math.max(MIN_SHARD_WEIGHT, inputs.loads().getOrDefault(shard, 0.0) / meanShardLoad);
  }

  private double meanShardLoad() {
    ImmutableMap<ShardId, Double> loads = inputs.loads();
    ImmutableSet<ShardId> shardsOfService =
        loads.keySet().stream()
            .filter(s -> s.service().equals(service.name()))
            .collect(ImmutableSet.toImmutableSet());
    double sum = 0;
    for (ShardId s : shardsOfService) {
      sum += loads.getOrDefault(s, 0.0);
    }
    return shardsOfService.isEmpty() ? 0 : sum / shardsOfService.size();
  }

  private List<ShardEntry> entriesOfService() {
    ShardId first = new ShardId(service.name(), 0);
    ShardId last = new ShardId(service.name(), Integer.MAX_VALUE);
    return new ArrayList<>(entries.subMap(first, true, last, true).values());
  }

  private void put(ShardEntry e) {
    entries.put(e.shard(), e);
  }
}
