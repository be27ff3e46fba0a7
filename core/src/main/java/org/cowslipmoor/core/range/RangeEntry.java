package org.cowslipmoor.core.range;

import static com.google.common.base.Preconditions.checkArgument;

import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.jspecify.annotations.Nullable;

/**
 * A range of a service's keys and the target that owns it.
 *
 * @param service name of the service
 * @param range the keys
 * @param owner the incarnation of the target that owns them
 * @param address the address at which the owner listens, as {@code ip:port}
 * @param fence the fencing number of grants; larger than that of every earlier owner of these keys
 * @param handover the token that the former owner returned when it released the keys; null if there
 *     is none
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

  /** Returns an entry for a part of this one's keys, with the same owner and fence. */
  RangeEntry subrange(int from, int to) {
    return new RangeEntry(service, new KeyRange(from, to), owner, address, fence, handover);
  }

  /** Returns an entry that assigns these keys to the given target. */
  RangeEntry withOwner(DiscoveredTarget target, long newFence, @Nullable String newHandover) {
    return new RangeEntry(
        service, range, target.incarnation(), target.address(), newFence, newHandover);
  }

  /** Returns this entry under a higher fence, with the same owner. */
  RangeEntry withFence(long newFence) {
    return new RangeEntry(service, range, owner, address, newFence, null);
  }
}
