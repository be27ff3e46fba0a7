package org.cowslipmoor.core.range;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import org.cowslipmoor.core.range.RangeWorld.Link;
import org.junit.jupiter.api.Test;

/** Executions at fixed times, each of which breaks sole ownership in a way of its own. */
final class RangeOwnershipTest {
  private static final long MS = RangeWorld.MS;

  /** Target whose keys are at stake; t0 and t2 are there to take them over. */
  private static final String T = "t1";

  private final RangeWorld world = new RangeWorld(1, 3, 0, 1);
  private final FakeHost former = world.leader();

  /** The former coordinator's grants go on until its own clock ends a lease that was revoked. */
  @Test
  void keysGrantedByFormerCoordinatorUntilItsLeaseEndsKeepOneOwner() {
    revokeLeaseOf(former);
    FakeHost successor = takeOver();
    loseTarget(successor);

    assertOneOwnerAndService();
  }

  /** A slow host sends what it decided shortly before its lease ended, which nobody revoked. */
  @Test
  void grantSentLongAfterTheLeaseWasCheckedKeepsOneOwner() {
    world.run(3_000 * MS);
    world.runUntilRenewal();
    world.store.cutOff(former);
    world.run(700 * MS);
    former.sendDelay = 1_500 * MS;
    world.run(800 * MS);
    FakeHost successor = takeOver();
    loseTarget(successor);

    assertOneOwnerAndService();
  }

  /** The renewal's answer counts from a sending that was longer ago than the host's clock tells. */
  @Test
  void renewalAnsweredAfterStandstillKeepsOneOwner() {
    world.store.latency = 40 * MS;
    world.run(3_000 * MS);
    world.runUntilRenewal();
    former.standStill(16_000 * MS);
    world.run(1_500 * MS);
    FakeHost successor = takeOver();
    loseTarget(successor);
    world.store.cutOff(former);

    assertOneOwnerAndService();
  }

  /** The grant waits for its connection while the host stands still, and is sent after that. */
  @Test
  void grantSentAfterStandstillKeepsOneOwner() {
    world.run(3_250 * MS);
    former.sendDelay = 1_000 * MS;
    world.run(300 * MS);
    former.standStill(16_000 * MS);
    world.run(1_500 * MS);
    FakeHost successor = takeOver();
    loseTarget(successor);
    world.store.cutOff(former);

    assertOneOwnerAndService();
  }

  /** As with a renewal, a claim's answer may come after a standstill. */
  @Test
  void claimAnsweredAfterStandstillKeepsOneOwner() {
    world.store.latency = 40 * MS;
    world.run(3_000 * MS);
    former.stop();
    world.store.revoke();
    FakeHost claimer = world.addHost();
    while (world.store.isVacant()) {
      world.run(MS);
    }
    claimer.standStill(16_000 * MS);
    world.run(1_500 * MS);
    FakeHost successor = takeOver();
    loseTarget(successor);
    world.run(14_000 * MS);

    assertOneOwnerAndService();
  }

  /** A target that restarts forgets the fence by which it refused the former coordinator. */
  @Test
  void targetThatForgetsItsFenceKeepsOneOwner() {
    revokeLeaseOf(former);
    takeOver();
    world.run(100 * MS);
    world.drain(T);
    world.run(500 * MS);
    world.restartUnnoticed(T, 500 * MS);

    assertOneOwnerAndService();
  }

  /** The successor sees a new life at once, but the former coordinator grants it the old keys. */
  @Test
  void restartBetweenTwoCoordinatorsKeepsOneOwner() {
    revokeLeaseOf(former);
    expectColdStart();
    world.restart(T);
    takeOver();

    assertOneOwnerAndService();
  }

  /** The former coordinator's long grant outlasts a shorter one of its successor. */
  @Test
  void longGrantThatOutlastsTheSuccessorsKeepsOneOwner() {
    world.run(3_000 * MS);
    world.runUntilRenewal();
    world.store.cutOff(former);
    world.run(1_500 * MS);
    FakeHost successor = takeOver();
    world.run(500 * MS);
    loseTarget(successor);

    assertOneOwnerAndService();
  }

  /** As before, with an owner that is lost when no former coordinator can grant any more. */
  @Test
  void longGrantThatOutlastsTheSuccessorsRenewalsKeepsOneOwner() {
    world.run(3_000 * MS);
    world.runUntilRenewal();
    world.store.cutOff(former);
    world.run(1_500 * MS);
    FakeHost successor = takeOver();
    world.run(3_500 * MS);
    loseTarget(successor);

    assertOneOwnerAndService();
  }

  /** The new life took renewals that were meant for the former one before its entry was known. */
  @Test
  void unnoticedRestartKeepsOneOwner() {
    world.run(3_000 * MS);
    world.restartUnnoticed(T, 1_000 * MS);
    world.run(900 * MS);
    expectColdStart();

    assertOneOwnerAndService();
  }

  /** The grant was decided for the former life and arrives at the new one. */
  @Test
  void grantOnItsWayWhenRestartIsNoticedKeepsOneOwner() {
    former.sendDelay = 500 * MS;
    world.run(8_000 * MS);
    expectColdStart();
    world.restart(T);

    assertOneOwnerAndService();
  }

  /** The keys were given to the entry of an ended life, and the new life took them. */
  @Test
  void beatOfFormerLifeKeepsOneOwner() {
    world.run(3_000 * MS);
    world.restart(T);
    world.run(3_000 * MS);
    world.beatOfFormerLife(T, 1_200 * MS);
    world.run(1_150 * MS);
    expectColdStart();

    assertOneOwnerAndService();
  }

  /** Another target took what was meant for one that had its address and lives elsewhere now. */
  @Test
  void grantsTakenAtUsedAddressKeepOneOwner() {
    world.checksInstance = false;
    world.run(3_000 * MS);
    String address = world.targets.get(T).address;
    world.crash(T);
    world.addTarget("t3", address);
    world.vanish("t3");
    world.run(1_500 * MS);
    world.restartElsewhere(T);

    assertOneOwnerAndService();
  }

  /**
   * An unanswered grant holds for long once it is carried out, after keys were cut out and moved.
   */
  @Test
  void grantCarriedOutAfterSplitKeepsOneOwner() {
    world.run(3_000 * MS);
    world.lateShare = 1;
    world.run(1_000 * MS);
    world.lateShare = 0;
    world.load = TestLoads.hotAt(new KeyRange(30_000, 30_999), 0.6);

    assertOneOwnerAndService();
    assertThat(world.owner(30_000), not(is(world.owner(30_999))));
  }

  /** An unanswered grant is carried out after the release, under the same fence. */
  @Test
  void grantCarriedOutAfterTheReleaseKeepsOneOwner() {
    world.run(3_000 * MS);
    world.lateShare = 1;
    world.run(1_000 * MS);
    world.lateShare = 0;
    world.drain(T);

    assertOneOwnerAndService();
  }

  /** No host runs for a second, and the next coordinator is one that knew nothing. */
  @Test
  void allHostsDownAtOnceKeepOneOwner() {
    world.run(3_000 * MS);
    former.stop();
    world.run(1_000 * MS);
    world.addHost();
    world.drain(T);

    assertOneOwnerAndService();
  }

  /** Grants that were made to last while the store was away hold on after its return. */
  @Test
  void longGrantsMadeWhileTheStoreIsAwayKeepOneOwner() {
    world.run(3_000 * MS);
    world.store.goDown(2_000 * MS, true);
    world.run(2_500 * MS);
    loseTarget(former);

    assertOneOwnerAndService();
  }

  /** The check itself finds a successor that doesn't wait for the end of long grants. */
  @Test
  void successorThatWaitsTooShortIsFound() {
    revokeLeaseOf(former);
    world.run(800 * MS);
    FakeHost successor = takeOver();
    successor.timing = FakeHost.timing(5_000);
    loseTarget(successor);
    world.run(25_000 * MS);

    assertThat(world.violations(), hasItem(containsString("while t1 holds")));
  }

  /** The check itself finds a former coordinator that goes on with its grants. */
  @Test
  void hostThatTrustsItsLeaseTooLongIsFound() {
    former.stop();
    world.store.revoke();
    FakeHost trusting = world.addHost(20 * FakeHost.LEASE);
    trusting.timing = withLongHoldsOnly(trusting.timing);
    trusting.takeOver();
    world.run(3_000 * MS);
    world.store.cutOff(trusting);
    world.cut(trusting, T, Link.SILENT);
    world.store.revoke();
    takeOver();
    world.run(1_000 * MS);
    world.drain(T);
    world.run(4_000 * MS);
    world.healLinks();
    world.restartUnnoticed(T, 10_000 * MS);
    world.run(5_000 * MS);

    assertThat(world.violations(), hasItem(containsString("t1 takes")));
    assertThat(world.violations(), hasItem(containsString("had keys of it under")));
  }

  /** Returns the timing of a coordinator that takes no owner for lost meanwhile. */
  private static RangeTiming withLongHoldsOnly(RangeTiming t) {
    return new RangeTiming(
        t.longHold(),
        t.longHold(),
        t.renewal(),
        t.releaseRetry(),
        t.settling(),
        t.rebalance(),
        t.overlap(),
        t.order());
  }

  /** The store takes the lease from a host right after it was renewed and lets it know nothing. */
  private void revokeLeaseOf(FakeHost host) {
    world.run(3_000 * MS);
    world.runUntilRenewal();
    world.run(60 * MS);
    world.store.cutOff(host);
    world.store.revoke();
  }

  private FakeHost takeOver() {
    FakeHost host = world.addHost();
    host.takeOver();
    return host;
  }

  /** A host can't reach the target any more, and the target's entry is gone, though it runs on. */
  private void loseTarget(FakeHost host) {
    world.cut(host, T, Link.REFUSED);
    world.vanish(T);
  }

  /** The target's new life is slow at first, so that others get the keys of the former one. */
  private void expectColdStart() {
    world.load = TestLoads.slowAt(T);
  }

  private void assertOneOwnerAndService() {
    world.run(25_000 * MS);
    assertThat(world.violations(), is(empty()));
    assertThat(world.servedShare(), is(1.0));
  }
}
