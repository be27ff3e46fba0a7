package org.cowslipmoor.core.ownership;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;

/**
 * Identifies one shard of a keyed service.
 *
 * @param service name of the service
 * @param index index of the shard, from 0
 */
public record ShardId(String service, int index) implements Comparable<ShardId> {
  private static final Comparator<ShardId> ORDER =
      Comparator.comparing(ShardId::service).thenComparingInt(ShardId::index);

  /**
   * Checks the index.
   *
   * @throws IllegalArgumentException if the index is negative
   */
  public ShardId {
    checkArgument(index >= 0, "shard index must not be negative, but is %s", index);
  }

  @Override
  public int compareTo(ShardId other) {
    return ORDER.compare(this, other);
  }
}
