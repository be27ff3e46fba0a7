package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableMap;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.ShardId;

/**
 * Renews the grants of a target; without grants it only probes whether the target responds.
 *
 * @param version version of the ownership table that the grants come from
 * @param epoch epoch of that table
 * @param token token of the target's last response; the duration starts when the target issued it
 * @param durationNanos validity of the grants in nanoseconds
 * @param grants shards granted, with their fences
 * @param releases shards to release as soon as their requests in progress are completed, with the
 *     fences of the releases
 */
public record Renewal(
    long version,
    long epoch,
    String token,
    long durationNanos,
    ImmutableMap<ShardId, Fence> grants,
    ImmutableMap<ShardId, Fence> releases) {}
