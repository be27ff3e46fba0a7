package org.cowslipmoor.core.range;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import org.cowslipmoor.core.range.RangeSimulation.LinkFault;
import org.junit.jupiter.api.Test;

/**
 * Sequences of faults at fixed times, each of which endangers exclusive ownership in a different
 * way.
 */
final class RangeOwnershipTest {
  private static final long NANOS_PER_MILLI = RangeSimulation.NANOS_PER_MILLI;

  /** Time for which a target that leaves may still receive requests. */
  private static final long MAX_USE_NANOS = 2_000 * NANOS_PER_MILLI;

  /** The target whose keys are reassigned; t0 and t2 can take them over. */
  private static final String TARGET = "t1";

  private final RangeSimulation simulation = new RangeSimulation(1, 3, 0, 1);
  private final FakeHost former = simulation.leader();

  /** Only a host that isn't the coordinator sees the statement, and the entry still says ready. */
  @Test
  void keysOfOwnerThatStatesThatItLeavesAreHandedOverBeforeItsLastRequest() {
    FakeHost observer = simulation.addHost();
    simulation.run(5_000 * NANOS_PER_MILLI);
    assertThat(ownsKeys(TARGET), is(true));

    simulation.stateLeaving(TARGET, observer);
    simulation.run(MAX_USE_NANOS);

    assertThat(ownsKeys(TARGET), is(false));
    assertThat(simulation.servedFraction(), is(1.0));
    assertThat(simulation.violations(), is(empty()));
  }

  /** The next coordinator learns of the statement only if it is reported again. */
  @Test
  void nextCoordinatorHandsOverKeysOfOwnerThatLeaves() {
    FakeHost observer = simulation.addHost();
    simulation.run(5_000 * NANOS_PER_MILLI);
    // Keeps the first coordinator from writing the next owner.
    simulation.store.disconnect(former);
    simulation.stateLeaving(TARGET, observer);
    simulation.run(1_000 * NANOS_PER_MILLI);
    assertThat(ownsKeys(TARGET), is(true));

    simulation.replaceCoordinator();
    simulation.run(10_000 * NANOS_PER_MILLI);

    assertThat(ownsKeys(TARGET), is(false));
    assertThat(simulation.servedFraction(), is(1.0));
    assertThat(simulation.violations(), is(empty()));
  }

  private boolean ownsKeys(String target) {
    return simulation.store.table().entries().stream().anyMatch(e -> e.owner().id().equals(target));
  }

  /**
   * The former coordinator continues to send grants until its revoked lease ends by its own clock.
   */
  @Test
  void keysGrantedByFormerCoordinatorUntilItsLeaseEndsHaveOneOwner() {
    revokeLeaseOf(former);
    FakeHost successor = addCoordinator();
    loseTarget(successor);

    assertOneOwnerAndAllServed();
  }

  /**
   * A slow host decides on a grant shortly before its lease expires without being revoked, and
   * sends it later.
   */
  @Test
  void grantSentLongAfterTheLeaseWasCheckedKeepsOneOwner() {
    simulation.run(3_000 * NANOS_PER_MILLI);
    simulation.runUntilRenewal();
    simulation.store.disconnect(former);
    simulation.run(700 * NANOS_PER_MILLI);
    former.sendDelayNanos = 1_500 * NANOS_PER_MILLI;
    simulation.run(800 * NANOS_PER_MILLI);
    FakeHost successor = addCoordinator();
    loseTarget(successor);

    assertOneOwnerAndAllServed();
  }

  /**
   * The host's clock doesn't count a suspension, so the renewal was sent longer ago than it appears
   * when the response arrives.
   */
  @Test
  void renewalCompletedAfterSuspensionKeepsOneOwner() {
    simulation.store.latencyNanos = 40 * NANOS_PER_MILLI;
    simulation.run(3_000 * NANOS_PER_MILLI);
    simulation.runUntilRenewal();
    former.suspend(16_000 * NANOS_PER_MILLI);
    simulation.run(1_500 * NANOS_PER_MILLI);
    FakeHost successor = addCoordinator();
    loseTarget(successor);
    simulation.store.disconnect(former);

    assertOneOwnerAndAllServed();
  }

  /** A grant waits for its connection while the host is suspended, and is sent afterwards. */
  @Test
  void grantSentAfterSuspensionKeepsOneOwner() {
    simulation.run(3_250 * NANOS_PER_MILLI);
    former.sendDelayNanos = 1_000 * NANOS_PER_MILLI;
    simulation.run(300 * NANOS_PER_MILLI);
    former.suspend(16_000 * NANOS_PER_MILLI);
    simulation.run(1_500 * NANOS_PER_MILLI);
    FakeHost successor = addCoordinator();
    loseTarget(successor);
    simulation.store.disconnect(former);

    assertOneOwnerAndAllServed();
  }

  /** The response to a claim, too, may arrive after a suspension. */
  @Test
  void claimCompletedAfterSuspensionKeepsOneOwner() {
    simulation.store.latencyNanos = 40 * NANOS_PER_MILLI;
    simulation.run(3_000 * NANOS_PER_MILLI);
    former.stop();
    simulation.store.revoke();
    FakeHost claimer = simulation.addHost();
    while (simulation.store.isVacant()) {
      simulation.run(NANOS_PER_MILLI);
    }
    claimer.suspend(16_000 * NANOS_PER_MILLI);
    simulation.run(1_500 * NANOS_PER_MILLI);
    FakeHost successor = addCoordinator();
    loseTarget(successor);
    simulation.run(14_000 * NANOS_PER_MILLI);

    assertOneOwnerAndAllServed();
  }

  /**
   * A target that restarts loses the fence by which it rejected the former coordinator's grants.
   */
  @Test
  void targetThatLosesItsFenceKeepsOneOwner() {
    revokeLeaseOf(former);
    addCoordinator();
    simulation.run(100 * NANOS_PER_MILLI);
    simulation.drain(TARGET);
    simulation.run(500 * NANOS_PER_MILLI);
    simulation.restartWithStaleEntry(TARGET, 500 * NANOS_PER_MILLI);

    assertOneOwnerAndAllServed();
  }

  /**
   * The successor sees the new incarnation at once, but the former coordinator grants it the keys
   * of the old one.
   */
  @Test
  void restartDuringOverlapKeepsOneOwner() {
    revokeLeaseOf(former);
    slowDownTarget();
    simulation.restart(TARGET);
    addCoordinator();

    assertOneOwnerAndAllServed();
  }

  /** A long grant of the former coordinator outlasts a shorter one of its successor. */
  @Test
  void longGrantThatOutlastsSuccessorsGrantKeepsOneOwner() {
    simulation.run(3_000 * NANOS_PER_MILLI);
    simulation.runUntilRenewal();
    simulation.store.disconnect(former);
    simulation.run(1_500 * NANOS_PER_MILLI);
    FakeHost successor = addCoordinator();
    simulation.run(500 * NANOS_PER_MILLI);
    loseTarget(successor);

    assertOneOwnerAndAllServed();
  }

  /**
   * As in the previous test, but the owner is lost after the time in which a former coordinator can
   * send grants.
   */
  @Test
  void longGrantThatOutlastsSuccessorsRenewalsKeepsOneOwner() {
    simulation.run(3_000 * NANOS_PER_MILLI);
    simulation.runUntilRenewal();
    simulation.store.disconnect(former);
    simulation.run(1_500 * NANOS_PER_MILLI);
    FakeHost successor = addCoordinator();
    simulation.run(3_500 * NANOS_PER_MILLI);
    loseTarget(successor);

    assertOneOwnerAndAllServed();
  }

  /**
   * The new incarnation accepts renewals that were meant for the former one before its entry is
   * visible.
   */
  @Test
  void restartWithStaleEntryKeepsOneOwner() {
    simulation.run(3_000 * NANOS_PER_MILLI);
    simulation.restartWithStaleEntry(TARGET, 1_000 * NANOS_PER_MILLI);
    simulation.run(900 * NANOS_PER_MILLI);
    slowDownTarget();

    assertOneOwnerAndAllServed();
  }

  /** The grant is decided for the former incarnation and arrives at the new one. */
  @Test
  void grantInFlightDuringRestartKeepsOneOwner() {
    former.sendDelayNanos = 500 * NANOS_PER_MILLI;
    simulation.run(8_000 * NANOS_PER_MILLI);
    slowDownTarget();
    simulation.restart(TARGET);

    assertOneOwnerAndAllServed();
  }

  /** The keys are assigned to an incarnation that has ended, and the new one accepts the grant. */
  @Test
  void lateHeartbeatOfFormerIncarnationKeepsOneOwner() {
    simulation.run(3_000 * NANOS_PER_MILLI);
    simulation.restart(TARGET);
    simulation.run(3_000 * NANOS_PER_MILLI);
    simulation.revertToFormerEntry(TARGET, 1_200 * NANOS_PER_MILLI);
    simulation.run(1_150 * NANOS_PER_MILLI);
    slowDownTarget();

    assertOneOwnerAndAllServed();
  }

  /**
   * Another target accepts grants that were meant for the target that had its address before and
   * now runs elsewhere.
   */
  @Test
  void grantsAcceptedAtReusedAddressKeepOneOwner() {
    simulation.checksInstance = false;
    simulation.run(3_000 * NANOS_PER_MILLI);
    String address = simulation.targets.get(TARGET).address;
    simulation.crash(TARGET);
    simulation.addTarget("t3", address);
    simulation.removeEntry("t3");
    simulation.run(1_500 * NANOS_PER_MILLI);
    simulation.restartElsewhere(TARGET);

    assertOneOwnerAndAllServed();
  }

  /**
   * A grant without a response is executed after some of its keys were split off and transferred.
   */
  @Test
  void grantExecutedAfterSplitKeepsOneOwner() {
    simulation.run(3_000 * NANOS_PER_MILLI);
    simulation.lateProbability = 1;
    simulation.run(1_000 * NANOS_PER_MILLI);
    simulation.lateProbability = 0;
    simulation.load = TestLoads.withHotRange(new KeyRange(30_000, 30_999), 0.6);

    assertOneOwnerAndAllServed();
    assertThat(simulation.owner(30_000), not(is(simulation.owner(30_999))));
  }

  /** A grant without a response is executed after the release, under the same fence. */
  @Test
  void grantExecutedAfterReleaseKeepsOneOwner() {
    simulation.run(3_000 * NANOS_PER_MILLI);
    simulation.lateProbability = 1;
    simulation.run(1_000 * NANOS_PER_MILLI);
    simulation.lateProbability = 0;
    simulation.drain(TARGET);

    assertOneOwnerAndAllServed();
  }

  /** No host runs for a second, and the next coordinator starts without any state. */
  @Test
  void allHostsDownAtOnceKeepOneOwner() {
    simulation.run(3_000 * NANOS_PER_MILLI);
    former.stop();
    simulation.run(1_000 * NANOS_PER_MILLI);
    simulation.addHost();
    simulation.drain(TARGET);

    assertOneOwnerAndAllServed();
  }

  /** Long grants that were sent while the store was unavailable remain valid after its return. */
  @Test
  void longGrantsSentWhileStoreIsUnavailableKeepOneOwner() {
    simulation.run(3_000 * NANOS_PER_MILLI);
    simulation.store.makeUnavailable(2_000 * NANOS_PER_MILLI, true);
    simulation.run(2_500 * NANOS_PER_MILLI);
    loseTarget(former);

    assertOneOwnerAndAllServed();
  }

  /** Verifies that the check detects a successor that doesn't wait for long grants to expire. */
  @Test
  void successorThatWaitsTooBrieflyIsDetected() {
    revokeLeaseOf(former);
    simulation.run(800 * NANOS_PER_MILLI);
    FakeHost successor = addCoordinator();
    successor.timing = FakeHost.timing(5_000);
    loseTarget(successor);
    simulation.run(25_000 * NANOS_PER_MILLI);

    assertThat(simulation.violations(), hasItem(containsString("while t1 holds")));
  }

  /** Verifies that the check detects a former coordinator that continues to send grants. */
  @Test
  void hostThatTrustsItsLeaseTooLongIsDetected() {
    former.stop();
    simulation.store.revoke();
    FakeHost trusting = simulation.addHost(20 * FakeHost.LEASE_NANOS);
    trusting.timing = withLongHoldsOnly(trusting.timing);
    trusting.claimAtOnce();
    simulation.run(3_000 * NANOS_PER_MILLI);
    simulation.store.disconnect(trusting);
    simulation.breakLink(trusting, TARGET, LinkFault.DROPPED);
    simulation.store.revoke();
    addCoordinator();
    simulation.run(1_000 * NANOS_PER_MILLI);
    simulation.drain(TARGET);
    simulation.run(4_000 * NANOS_PER_MILLI);
    simulation.restoreLinks();
    simulation.restartWithStaleEntry(TARGET, 10_000 * NANOS_PER_MILLI);
    simulation.run(5_000 * NANOS_PER_MILLI);

    assertThat(simulation.violations(), hasItem(containsString("t1 accepts")));
    assertThat(simulation.violations(), hasItem(containsString("held some of its keys under")));
  }

  /**
   * Returns a timing with long holds only, by which a coordinator considers no owner lost during
   * the test.
   */
  private static RangeTiming withLongHoldsOnly(RangeTiming t) {
    return new RangeTiming(
        t.longHoldNanos(),
        t.longHoldNanos(),
        t.renewalIntervalNanos(),
        t.retryIntervalNanos(),
        t.settlingNanos(),
        t.rebalanceIntervalNanos(),
        t.overlapNanos(),
        t.commandTimeoutNanos());
  }

  /**
   * Revokes a host's lease in the store right after a renewal, and disconnects the host so that it
   * doesn't notice.
   */
  private void revokeLeaseOf(FakeHost host) {
    simulation.run(3_000 * NANOS_PER_MILLI);
    simulation.runUntilRenewal();
    simulation.run(60 * NANOS_PER_MILLI);
    simulation.store.disconnect(host);
    simulation.store.revoke();
  }

  private FakeHost addCoordinator() {
    FakeHost host = simulation.addHost();
    host.claimAtOnce();
    return host;
  }

  /**
   * Makes the target unreachable for a host and removes its entry, though the target goes on
   * running.
   */
  private void loseTarget(FakeHost host) {
    simulation.breakLink(host, TARGET, LinkFault.REFUSED);
    simulation.removeEntry(TARGET);
  }

  /**
   * Makes the new incarnation of the target slow, so that others are assigned the former one's
   * keys.
   */
  private void slowDownTarget() {
    simulation.load = TestLoads.withSlowTarget(TARGET);
  }

  private void assertOneOwnerAndAllServed() {
    simulation.run(25_000 * NANOS_PER_MILLI);
    assertThat(simulation.violations(), is(empty()));
    assertThat(simulation.servedFraction(), is(1.0));
  }
}
