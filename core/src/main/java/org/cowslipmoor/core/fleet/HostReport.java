package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.cowslipmoor.core.discovery.TargetIncarnation;

/**
 * The load that one host has measured since its last report, and its view of the store.
 *
 * @param keyLoads requests by service and key
 * @param targets measurements of each target, by id
 * @param store what the host has of the store
 * @param approvals joining hosts that the host approves
 * @param leaving targets that the host knows to be leaving; says nothing about other targets
 * @param sentAt the host's steady clock when it sent the report, in nanoseconds
 * @param dataCentre the host's data centre; empty if it does not state it
 */
public record HostReport(
    ImmutableMap<String, ImmutableMap<Integer, Integer>> keyLoads,
    ImmutableMap<String, TargetSample> targets,
    StoreKnowledge store,
    ImmutableSet<String> approvals,
    ImmutableSet<TargetIncarnation> leaving,
    long sentAt,
    String dataCentre) {

  /** Creates the report of a host that does not state its data centre. */
  public HostReport(
      ImmutableMap<String, ImmutableMap<Integer, Integer>> keyLoads,
      ImmutableMap<String, TargetSample> targets,
      StoreKnowledge store,
      ImmutableSet<String> approvals,
      ImmutableSet<TargetIncarnation> leaving,
      long sentAt) {
    this(keyLoads, targets, store, approvals, leaving, sentAt, "");
  }

  /**
   * The measurements of one target by one host.
   *
   * @param inFlight requests in progress now
   * @param responses responses received since the last report
   * @param serviceNanos total service time of those responses, in nanoseconds
   * @param failures requests that failed since the last report
   */
  public record TargetSample(int inFlight, int responses, long serviceNanos, int failures) {
    /** Creates the measurements of a target of which no request failed. */
    public TargetSample(int inFlight, int responses, long serviceNanos) {
      this(inFlight, responses, serviceNanos, 0);
    }
  }

  /**
   * What a host has of the store.
   *
   * @param place the newest place in the store that the host has
   * @param tableVersion version of the range table that it knows
   * @param lastFence the largest fence of that table
   */
  public record StoreKnowledge(StorePlace place, long tableVersion, long lastFence) {
    /** What a host has that has not read the store. */
    public static final StoreKnowledge NONE = new StoreKnowledge(StorePlace.START, 0, 0);
  }

  /** Returns this report with other leaving targets. */
  public HostReport withLeaving(ImmutableSet<TargetIncarnation> newLeaving) {
    return new HostReport(keyLoads, targets, store, approvals, newLeaving, sentAt, dataCentre);
  }
}
