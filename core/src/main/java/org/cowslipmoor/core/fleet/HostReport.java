package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.cowslipmoor.core.discovery.TargetIncarnation;

/**
 * The load that one host has measured since its last report, and its view of the store.
 *
 * @param keyLoads requests by service and key
 * @param targets measurements of each target, by id
 * @param storeRevision the newest store revision that the host has
 * @param approvals joining hosts that the host approves
 * @param leaving targets that the host knows to be leaving; says nothing about other targets
 * @param sentAt the host's steady clock when it sent the report, in nanoseconds
 */
public record HostReport(
    ImmutableMap<String, ImmutableMap<Integer, Integer>> keyLoads,
    ImmutableMap<String, TargetSample> targets,
    long storeRevision,
    ImmutableSet<String> approvals,
    ImmutableSet<TargetIncarnation> leaving,
    long sentAt) {

  /**
   * The measurements of one target by one host.
   *
   * @param inFlight requests in progress now
   * @param responses responses received since the last report
   * @param serviceNanos total service time of those responses, in nanoseconds
   */
  public record TargetSample(int inFlight, int responses, long serviceNanos) {}

  /** Returns this report with other leaving targets. */
  public HostReport withLeaving(ImmutableSet<TargetIncarnation> newLeaving) {
    return new HostReport(keyLoads, targets, storeRevision, approvals, newLeaving, sentAt);
  }
}
