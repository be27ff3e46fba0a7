package org.cowslipmoor.core.request;

import com.google.common.collect.ImmutableList;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.core.configuration.Target;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.ShardId;

/** Where a request goes next. */
public sealed interface Route {

  /** Goes to the one target that owns the key's shard. */
  record ToOwner(Target target, ShardId shard, Fence fence) implements Route {}

  /** Goes to any of the targets of a service without keys. */
  record ToAny(ImmutableList<Target> targets) implements Route {}

  /** Goes to a host of the shard's home data centre. */
  record ToHome(ImmutableList<Member> hosts) implements Route {}

  /** Waits for the shard's owner to be settled; refused with the code when the time is over. */
  record Wait(ResultCode code) implements Route {}

  /** Is refused. */
  record Reject(ResultCode code, String reason) implements Route {}
}
