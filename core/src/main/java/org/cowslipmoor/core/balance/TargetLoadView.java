package org.cowslipmoor.core.balance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Holds what one host knows of a target's load.
 *
 * @param id id of the target
 * @param ownInFlight the host's own requests in progress there, at least 0
 * @param reportedInFlight requests in progress that the target last reported, of all hosts; at
 *     least 0
 * @param slots requests that the target works on at the same time, at least 1
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
   * Estimates the requests in progress: a report counts the host's own requests of its time, so the
   * larger of both numbers is the better one.
   */
  public int estimate() {
    return Math.max(ownInFlight, reportedInFlight);
  }
}
