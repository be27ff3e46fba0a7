package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableMap;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.ShardId;

/**
 * Prolongs the grants of a target; with no grants it only asks whether the target answers.
 *
 * @param version version of the ownership table that the grants come from
 * @param epoch epoch of that table
 * @param token token of the target's last answer, from whose issue the duration counts
 * @param durationNanos nanoseconds for which the grants hold
 * @param grants shards granted, with their fences
 * @param releases shards to release once the requests in progress for them are done
 */
public record Renewal(
    long version,
    long epoch,
    String token,
    long durationNanos,
    ImmutableMap<ShardId, Fence> grants,
    ImmutableMap<ShardId, Fence> releases) {}
