package org.cowslipmoor.core.request;

import com.google.common.collect.ImmutableList;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.core.configuration.Target;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.ShardId;

/** The routing decision on a request. */
public sealed interface Route {

  /** Sends the request to the only target that owns the key's shard. */
  record ToOwner(Target target, ShardId shard, Fence fence) implements Route {}

  /** Sends the request to any of the targets of a service without keys. */
  record ToAny(ImmutableList<Target> targets) implements Route {}

  /**
   * Forwards the request to a host of another data centre, for a keyed service that of its home.
   */
  record ToHome(ImmutableList<Member> hosts) implements Route {}

  /** Waits until the request can be routed; at the deadline it is rejected with the code. */
  record Wait(ResultCode code) implements Route {}

  /** Rejects the request. */
  record Reject(ResultCode code, String reason) implements Route {}
}
