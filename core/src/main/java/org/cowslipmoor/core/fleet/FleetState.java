package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.range.KeyRange;

/**
 * The state of the fleet as the coordinator aggregates it from the hosts' reports.
 *
 * @param hosts number of hosts that report
 * @param targets state of the targets with recent measurements, by id
 * @param tableVersion version of the range table that {@code moving} refers to
 * @param moving key ranges that are being revoked from their owners
 * @param candidates hosts that ask to join
 * @param relaysStore whether the coordinator relays store updates to the hosts
 * @param leaving registered targets that hosts have recently reported as leaving; says nothing
 *     about other targets
 * @param failing targets that are ejected for all hosts or those of one data centre
 */
public record FleetState(
    int hosts,
    ImmutableMap<String, TargetState> targets,
    long tableVersion,
    ImmutableList<MovingRange> moving,
    ImmutableSet<String> candidates,
    boolean relaysStore,
    ImmutableSet<TargetIncarnation> leaving,
    ImmutableList<FailingTarget> failing) {

  /** The state before the first one is received. */
  public static final FleetState UNKNOWN =
      new FleetState(
          1, ImmutableMap.of(), 0, ImmutableList.of(), ImmutableSet.of(), false, ImmutableSet.of());

  /** Creates a state in which no target is failing. */
  public FleetState(
      int hosts,
      ImmutableMap<String, TargetState> targets,
      long tableVersion,
      ImmutableList<MovingRange> moving,
      ImmutableSet<String> candidates,
      boolean relaysStore,
      ImmutableSet<TargetIncarnation> leaving) {
    this(
        hosts, targets, tableVersion, moving, candidates, relaysStore, leaving, ImmutableList.of());
  }

  /**
   * A target that is ejected.
   *
   * @param target its id
   * @param dataCentre the data centre of the hosts that must not use it; empty for all hosts
   * @param trialHost the host that may send it a trial request; empty if none may
   */
  public record FailingTarget(String target, String dataCentre, String trialHost) {}

  /**
   * The state of one target, over all hosts.
   *
   * @param inFlight requests in progress
   * @param serviceNanos smoothed service time of a request, in nanoseconds; 0 when not known
   */
  public record TargetState(int inFlight, long serviceNanos) {}

  /**
   * A key range that is being revoked from its owner.
   *
   * @param service name of the service
   * @param range the keys
   */
  public record MovingRange(String service, KeyRange range) {}

  /** Returns this state without the load of targets. */
  public FleetState withoutTargets() {
    return new FleetState(
        hosts, ImmutableMap.of(), tableVersion, moving, candidates, relaysStore, leaving, failing);
  }

  /** Returns this state without the leaving targets. */
  public FleetState withoutLeaving() {
    return new FleetState(
        hosts, targets, tableVersion, moving, candidates, relaysStore, ImmutableSet.of(), failing);
  }

  /** Returns whether a key is being revoked from its owner. */
  public boolean isMoving(String service, int key) {
    for (MovingRange m : moving) {
      if (m.service().equals(service) && m.range().contains(key)) {
        return true;
      }
    }
    return false;
  }
}
