package org.cowslipmoor.core.ownership;

import static com.google.common.base.Preconditions.checkArgument;

import org.jspecify.annotations.Nullable;

/**
 * Records the owner of a shard, or the next owner while the former one still has to give it up.
 *
 * @param shard the shard
 * @param owner id of the owning target; null if no target is available
 * @param fence fence of the owner's grant
 * @param phase progress of the last change of owner
 * @param formerOwner id of the previous owner; null while the phase is ACTIVE
 */
public record ShardEntry(
    ShardId shard,
    @Nullable String owner,
    Fence fence,
    ShardPhase phase,
    @Nullable String formerOwner) {

  /**
   * Checks that the phase and the former owner are consistent.
   *
   * @throws IllegalArgumentException if an active entry has a former owner, or an entry in another
   *     phase has none
   */
  public ShardEntry {
    checkArgument(
        (phase == ShardPhase.ACTIVE) == (formerOwner == null),
        "phase %s of %s is inconsistent with its former owner %s",
        phase,
        shard,
        formerOwner);
  }

  /** Returns an active entry, whose owner may be granted the shard. */
  public static ShardEntry active(ShardId shard, @Nullable String owner, Fence fence) {
    return new ShardEntry(shard, owner, fence, ShardPhase.ACTIVE, null);
  }

  /** Returns whether the target may be granted the shard in this phase. */
  public boolean isActiveAt(String target) {
    return phase == ShardPhase.ACTIVE && target.equals(owner);
  }
}
