package org.cowslipmoor.core.balance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One host's view of a target's load.
 *
 * @param id id of the target
 * @param ownInFlight number of the host's own requests in progress at the target, at least 0
 * @param reportedInFlight number of requests in progress of all hosts, as last reported by the
 *     target; at least 0
 * @param slots number of requests that the target runs concurrently, at least 1
 */
public record TargetLoadView(String id, int ownInFlight, int reportedInFlight, int slots) {

  /**
   * Checks the counts.
   *
   * @throws IllegalArgumentException if a count is out of range
   */
  public TargetLoadView {
    checkArgument(ownInFlight >= 0, "ownInFlight must not be negative, but is %s", ownInFlight);
    checkArgument(
        reportedInFlight >= 0,
        "reportedInFlight must not be negative, but is %s",
        reportedInFlight);
    checkArgument(slots >= 1, "slots must be at least 1, but is %s", slots);
  }

  /**
   * Estimates the number of requests in progress at the target. A report includes the requests that
   * this host had in progress at that time, so the estimate is the larger of both numbers and not
   * their sum.
   */
  public int estimate() {
    return Math.max(ownInFlight, reportedInFlight);
  }
}
