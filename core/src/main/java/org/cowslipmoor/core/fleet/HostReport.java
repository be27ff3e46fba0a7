package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

/**
 * What one host has seen since its last report.
 *
 * @param keyLoads requests by service and key
 * @param targets what it has seen of each target, by id
 * @param storeRevision the newest state of the store that the host knows
 * @param approvals joining hosts that the host approves
 * @param sentAt the host's clock when it sent the report, in nanoseconds
 */
public record HostReport(
    ImmutableMap<String, ImmutableMap<Integer, Integer>> keyLoads,
    ImmutableMap<String, TargetSample> targets,
    long storeRevision,
    ImmutableSet<String> approvals,
    long sentAt) {

  /**
   * What one host has seen of one target.
   *
   * @param inFlight requests in progress now
   * @param responses responses since the last report
   * @param serviceNanos nanoseconds that the target worked on them together
   */
  public record TargetSample(int inFlight, int responses, long serviceNanos) {}
}
