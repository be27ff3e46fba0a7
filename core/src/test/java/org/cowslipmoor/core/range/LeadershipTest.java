package org.cowslipmoor.core.range;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class LeadershipTest {
  private static final long MS = 1_000_000L;
  private static final Leadership.Lease LEASE = new Leadership.Lease(7, 42);

  private final Leadership leadership = Leadership.create(1_500, new SplittableRandom(1));

  private Optional<Leadership.Action> firstAction(long from, long until) {
    for (long now = from; now < until; now += 10 * MS) {
      Optional<Leadership.Action> action = leadership.tick(now);
      if (action.isPresent()) {
        return action;
      }
    }
    return Optional.empty();
  }

  @Test
  void vacantRoleIsClaimedSoon() {
    assertThat(firstAction(0, 2_000 * MS), is(Optional.empty()));
    leadership.onVacancy(2_000 * MS, true, 0);
    Optional<Leadership.Action> action = firstAction(2_000 * MS, 2_400 * MS);
    assertThat(action.orElseThrow(), instanceOf(Leadership.Action.Claim.class));
  }

  @Test
  void leaseEndsLocallyBeforeItEndsInStore() {
    leadership.onClaimed(0, LEASE);
    assertThat(leadership.leads(1_300 * MS), is(true));
    assertThat(leadership.leads(1_400 * MS), is(false));
  }

  @Test
  void renewedLeaseCountsFromSending() {
    leadership.onClaimed(0, LEASE);
    assertThat(leadership.tick(400 * MS).isPresent(), is(true));
    leadership.onRenewed(400 * MS);
    assertThat(leadership.leads(1_700 * MS), is(true));
    assertThat(leadership.isRecentlyRenewed(1_700 * MS), is(false));
  }

  @Test
  void suspendedProcessLeadsOnlyAfterRenewal() {
    leadership.onClaimed(0, LEASE);
    leadership.onSuspended(100 * MS);
    assertThat(leadership.leads(100 * MS), is(false));
    Optional<Leadership.Action> action = leadership.tick(100 * MS);
    assertThat(action.orElseThrow(), instanceOf(Leadership.Action.Renew.class));
    leadership.onRenewed(100 * MS);
    assertThat(leadership.leads(101 * MS), is(true));
  }

  @Test
  void renewalCompletedAfterSuspensionDoesNotExtendLease() {
    leadership.onClaimed(0, LEASE);
    assertThat(leadership.tick(400 * MS).isPresent(), is(true));
    leadership.onSuspended(410 * MS);
    leadership.onRenewed(400 * MS);
    assertThat(leadership.leads(411 * MS), is(false));
    assertThat(leadership.tick(411 * MS).isPresent(), is(true));
    leadership.onRenewed(411 * MS);
    assertThat(leadership.leads(412 * MS), is(true));
  }

  @Test
  void claimCompletedAfterSuspensionGivesNoLeadership() {
    leadership.onVacancy(0, true, 0);
    assertThat(firstAction(0, 400 * MS).isPresent(), is(true));
    leadership.onSuspended(410 * MS);
    leadership.onClaimed(300 * MS, LEASE);
    assertThat(leadership.leads(411 * MS), is(false));
  }

  /**
   * Otherwise there is no coordinator: the store keeps the lease, but its holder never considers it
   * valid.
   */
  @Test
  void hostWithLateRenewalResponsesGivesUpLease() {
    leadership.onClaimed(0, LEASE);
    long now = 1_400 * MS;
    for (int i = 0; i < 10; i++) {
      Optional<Leadership.Action> action = leadership.tick(now);
      if (!action.equals(Optional.of(new Leadership.Action.Renew(LEASE)))) {
        return;
      }
      long sentAt = now;
      now += 1_400 * MS;
      leadership.onRenewed(sentAt);
      assertThat(leadership.leads(now), is(false));
    }
    throw new AssertionError("the host renewed its lease for 14 s without ever leading");
  }

  @Test
  void resignedHostNeverClaimsAgain() {
    leadership.onClaimed(0, LEASE);
    assertThat(leadership.resign().orElseThrow(), is(new Leadership.Action.End(LEASE)));
    leadership.onVacancy(0, true, 0);
    assertThat(firstAction(0, 5_000 * MS), is(Optional.empty()));
    assertThat(leadership.leads(0), is(false));
  }

  /** A lease that is not ended keeps other hosts from claiming until it expires. */
  @Test
  void leaseClaimedWhileResigningIsEnded() {
    leadership.onVacancy(0, true, 0);
    assertThat(firstAction(0, 400 * MS).orElseThrow(), instanceOf(Leadership.Action.Claim.class));
    assertThat(leadership.resign(), is(Optional.empty()));

    Optional<Leadership.Action> end = leadership.onClaimed(400 * MS, LEASE);

    assertThat(leadership.leads(410 * MS), is(false));
    assertThat(end.orElseThrow(), is(new Leadership.Action.End(LEASE)));
  }
}
