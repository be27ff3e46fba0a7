package org.cowslipmoor.core.admission;

import org.cowslipmoor.core.discovery.DiscoveredTarget;

/** The result of assigning a request to a target. */
public sealed interface Placement {

  /**
   * The request is sent to a target.
   *
   * @param target the target
   * @param expectedNanos estimated nanoseconds until the response
   */
  record Send(DiscoveredTarget target, long expectedNanos) implements Placement {}

  /**
   * The request is rejected because it can't be served in time.
   *
   * @param retryAfterNanos nanoseconds after which there may be capacity for a retry
   */
  record Reject(long retryAfterNanos) implements Placement {}

  /** Only cold targets could serve the request, and the host has no allowance for them. */
  record NoAllowance() implements Placement {}

  /** No target is available for the request. */
  record NoTarget() implements Placement {}
}
