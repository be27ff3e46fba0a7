package org.cowslipmoor.core.ownership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.cowslipmoor.core.configuration.Configuration;

/**
 * Holds the coordinator's view of a data centre from which it computes the next ownership table.
 *
 * @param configuration configuration in effect
 * @param lostTargets targets that have stopped responding
 * @param freedShards shards whose former owner is certain not to serve them any more
 * @param overdueShards shards whose former owner has not released them before the timeout
 * @param tableInstalled whether a majority has installed the current table
 * @param rebalance whether shards may be moved for the sole purpose of balancing the load
 * @param loads measured load of the shards, all in the same unit; shards without an entry are
 *     treated as idle
 * @param maxReleasingShards maximum number of shards of one service that may be in {@link
 *     ShardPhase#RELEASING} at the same time
 */
public record PlannerInputs(
    Configuration configuration,
    ImmutableSet<String> lostTargets,
    ImmutableSet<ShardId> freedShards,
    ImmutableSet<ShardId> overdueShards,
    boolean tableInstalled,
    boolean rebalance,
    ImmutableMap<ShardId, Double> loads,
    int maxReleasingShards) {

  /**
   * Checks the limit on concurrent moves.
   *
   * @throws IllegalArgumentException if {@code maxReleasingShards} is less than 1
   */
  public PlannerInputs {
    checkArgument(
        maxReleasingShards >= 1,
        "maxReleasingShards must be at least 1, but is %s",
        maxReleasingShards);
  }
}
