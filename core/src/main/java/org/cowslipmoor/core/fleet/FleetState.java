package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.cowslipmoor.core.range.KeyRange;

/**
 * What all hosts have seen together.
 *
 * @param hosts number of hosts that report
 * @param targets what is newly known of targets, by id
 * @param tableVersion version of the range table that {@code moving} refers to
 * @param moving ranges that are being taken back from their owners
 * @param candidates hosts that want to join
 * @param relaysStore whether the coordinator means to pass on what the store tells
 */
public record FleetState(
    int hosts,
    ImmutableMap<String, TargetState> targets,
    long tableVersion,
    ImmutableList<MovingRange> moving,
    ImmutableSet<String> candidates,
    boolean relaysStore) {

  /** The state of a fleet of which nothing is known. */
  public static final FleetState UNKNOWN =
      new FleetState(1, ImmutableMap.of(), 0, ImmutableList.of(), ImmutableSet.of(), false);

  /**
   * What all hosts together have seen of one target.
   *
   * @param inFlight requests in progress
   * @param serviceNanos smoothed nanoseconds that the target works on a request; 0 when not known
   */
  public record TargetState(int inFlight, long serviceNanos) {}

  /**
   * Keys whose owner stops working on them.
   *
   * @param service name of the service
   * @param range the keys
   */
  public record MovingRange(String service, KeyRange range) {}

  /** Returns the same without what is known of targets. */
  public FleetState withoutTargets() {
    return new FleetState(hosts, ImmutableMap.of(), tableVersion, moving, candidates, relaysStore);
  }

  /** Tells whether a key's owner stops working on it. */
  public boolean isMoving(String service, int key) {
    for (MovingRange m : moving) {
      if (m.service().equals(service) && m.range().contains(key)) {
        return true;
      }
    }
    return false;
  }
}
