package org.cowslipmoor.testing.coldstart;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A fleet whose targets start cold.
 *
 * @param hosts number of hosts, at least 1
 * @param targets number of targets of the service, at least 3
 * @param requestsPerSecond mean number of requests that each host receives per second
 * @param keyed whether each request may go to the owner of its key only
 * @param start which targets start during the run
 * @param variant how the hosts handle cold targets
 */
public record ColdStartScenario(
    int hosts, int targets, double requestsPerSecond, boolean keyed, Start start, Variant variant) {

  /** Which targets start, and what else happens. */
  public enum Start {
    /** A third of the targets join at once; nothing fails. */
    THIRD,
    /** All targets return at once after an outage; nothing else fails. */
    ALL,
    /**
     * Targets restart at random, singly or all together, while the coordinator changes, hosts
     * restart or are cut off, and links hold frames back.
     */
    FAULTS,
    /**
     * Targets restart at their addresses before their entries tell so, singly or all together;
     * nothing else fails.
     */
    QUICK_RESTARTS
  }

  /** How the hosts handle cold targets. */
  public enum Variant {
    CORRECT,
    /** Hosts know no limit. */
    NO_LIMIT,
    /** An allowance is valid from its arrival. */
    VALID_FROM_ARRIVAL,
    /** A coordinator hands out allowances from the beginning of its term. */
    NO_PAUSE_AT_TERM_START,
    /** A host hands out allowances after its lease has ended. */
    LEASE_NOT_CHECKED,
    /** An allowance is spent when the target is chosen, not when the request is written. */
    SPENT_WHEN_CHOSEN,
    /** The coordinator counts what it handed out in one second only. */
    SHORT_WINDOW,
    /** Hosts take no notice of lost connections. */
    NO_SUSPICION,
    /** The coordinator tells nobody that hosts suspect a target. */
    SUSPICION_NOT_ANNOUNCED,
    /** The coordinator counts each incarnation of a target for itself. */
    COUNTED_BY_INCARNATION
  }

  /** Checks the numbers of hosts and targets. */
  public ColdStartScenario {
    checkArgument(hosts >= 1, "hosts must be at least 1, but is %s", hosts);
    checkArgument(targets >= 3, "targets must be at least 3, but is %s", targets);
  }
}
