package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableMap;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.ShardId;

/** The outcome of a renewal at a target. */
public sealed interface RenewalResponse {

  /**
   * Tells that the target answered.
   *
   * @param accepted whether it took the grants
   * @param token token for the next renewal
   * @param released shards that it does not serve any more, with the fences that asked for it
   */
  record Received(boolean accepted, String token, ImmutableMap<ShardId, Fence> released)
      implements RenewalResponse {}

  /** Tells that the target did not answer in time. */
  record Unreachable() implements RenewalResponse {}
}
