package org.cowslipmoor.core.range;

import static com.google.common.base.Preconditions.checkArgument;

import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.jspecify.annotations.Nullable;

/**
 * A range of a service's keys and the target that holds it.
 *
 * @param service name of the service
 * @param range the keys
 * @param owner the life of the target that holds them
 * @param address where the owner listens, as {@code ip:port}
 * @param fence number of the grant; larger than that of every earlier owner of these keys
 * @param handover what the former owner told when it released the keys; null when it told nothing
 */
public record RangeEntry(
    String service,
    KeyRange range,
    TargetIncarnation owner,
    String address,
    long fence,
    @Nullable String handover) {

  /** Checks the fence. */
  public RangeEntry {
    checkArgument(fence >= 1, "fence must be at least 1, but is %s", fence);
  }

  /** Returns a part of this entry, with the same owner and fence. */
  RangeEntry part(int from, int to) {
    return new RangeEntry(service, new KeyRange(from, to), owner, address, fence, handover);
  }

  /** Returns an entry by which another target has these keys. */
  RangeEntry ownedBy(DiscoveredTarget target, long newFence, @Nullable String newHandover) {
    return new RangeEntry(
        service, range, target.incarnation(), target.address(), newFence, newHandover);
  }

  /** Returns this entry under a higher fence, with the same owner. */
  RangeEntry withFence(long newFence) {
    return new RangeEntry(service, range, owner, address, newFence, null);
  }
}
