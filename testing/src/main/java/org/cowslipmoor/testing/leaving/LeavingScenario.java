package org.cowslipmoor.testing.leaving;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A fleet some of whose targets leave at the same time.
 *
 * @param hosts number of hosts, at least 1
 * @param targets number of targets of the service, more than {@code leaving}
 * @param otherTargets number of targets of other services, whose states share the coordinator's
 *     link
 * @param leaving number of targets that leave
 * @param requestsPerSecond requests that each host receives per second
 * @param serviceNanos mean time of a target for a request
 * @param linkBytesPerSecond capacity of the coordinator's network link
 * @param isStoreAvailable whether the entries of leaving targets say so within a heartbeat
 * @param use what the hosts make of the statements
 */
public record LeavingScenario(
    int hosts,
    int targets,
    int otherTargets,
    int leaving,
    double requestsPerSecond,
    long serviceNanos,
    double linkBytesPerSecond,
    boolean isStoreAvailable,
    Use use) {

  /** What hosts make of a target's statement that it leaves. */
  public enum Use {
    /** They ignore it and look at the store's entries only. */
    IGNORED,
    /** Each host follows the responses that it receives itself. */
    OWN,
    /** The hosts exchange it in their reports and the coordinator's state. */
    RELAYED
  }

  /** Checks the numbers of hosts and targets. */
  public LeavingScenario {
    checkArgument(hosts >= 1, "hosts must be at least 1, but is %s", hosts);
    checkArgument(
        0 <= leaving && leaving < targets,
        "leaving must be less than targets %s, but is %s",
        targets,
        leaving);
  }

  /**
   * Returns a service with seven targets for ten hosts, of which at most 30 and at most a third
   * leave.
   */
  public static LeavingScenario ofHosts(int hosts, boolean isStoreAvailable, Use use) {
    int targets = Math.max(8, hosts * 7 / 10);
    return new LeavingScenario(
        hosts,
        targets,
        4 * targets,
        Math.min(30, targets / 3),
        20,
        100_000_000L,
        25_000_000,
        isStoreAvailable,
        use);
  }
}
