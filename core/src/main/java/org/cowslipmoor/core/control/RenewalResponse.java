package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableMap;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.ShardId;

/** Outcome of a renewal at a target. */
public sealed interface RenewalResponse {

  /**
   * Reports that the target responded.
   *
   * @param accepted whether the target accepted the grants
   * @param token token to send with the next renewal
   * @param released shards that the target no longer serves, with the fences of the releases
   */
  record Received(boolean accepted, String token, ImmutableMap<ShardId, Fence> released)
      implements RenewalResponse {}

  /** Reports that the target did not respond before the timeout. */
  record Unreachable() implements RenewalResponse {}
}
