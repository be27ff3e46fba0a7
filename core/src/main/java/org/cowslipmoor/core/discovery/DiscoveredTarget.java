package org.cowslipmoor.core.discovery;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A target as it registers itself.
 *
 * @param incarnation the run of its process that registered it
 * @param service name of its service
 * @param address where it listens, as {@code ip:port}
 * @param dataCentre the data centre that it runs in
 * @param slots requests that it processes at the same time, at least 1
 * @param draining whether it is about to leave and must receive no new requests
 * @param warmUpMillis remaining warm-up time, in milliseconds, when it wrote the entry
 */
public record DiscoveredTarget(
    TargetIncarnation incarnation,
    String service,
    String address,
    String dataCentre,
    int slots,
    boolean draining,
    long warmUpMillis) {

  /** Checks that there is at least one slot. */
  public DiscoveredTarget {
    checkArgument(slots >= 1, "slots must be at least 1, but is %s", slots);
  }

  /** Returns the target's id. */
  public String id() {
    return incarnation.id();
  }

  /** Returns this target as one that is about to leave. */
  public DiscoveredTarget asDraining() {
    return new DiscoveredTarget(
        incarnation, service, address, dataCentre, slots, true, warmUpMillis);
  }
}
