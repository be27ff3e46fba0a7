package org.cowslipmoor.core.admission;

import org.cowslipmoor.core.discovery.DiscoveredTarget;

/** Where a request goes. */
public sealed interface Placement {

  /**
   * The request is to be sent.
   *
   * @param target where to
   * @param expectedNanos nanoseconds until its answer, by estimate
   */
  record Send(DiscoveredTarget target, long expectedNanos) implements Placement {}

  /**
   * The request can't be served in time.
   *
   * @param retryAfterNanos nanoseconds after which there may be room again
   */
  record Reject(long retryAfterNanos) implements Placement {}

  /** No target may be sent the request. */
  record NoTarget() implements Placement {}
}
