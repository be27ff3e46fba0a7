package org.cowslipmoor.core.range;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.SplittableRandom;
import org.cowslipmoor.core.fleet.StorePlace;
import org.junit.jupiter.api.Test;

final class LeadershipTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final Leadership.Lease LEASE = new Leadership.Lease(7, new StorePlace(0, 42));

  private final Leadership leadership = Leadership.create(1_500, new SplittableRandom(1));

  private Optional<Leadership.Action> firstAction(long from, long until) {
    for (long now = from; now < until; now += 10 * NANOS_PER_MILLI) {
      Optional<Leadership.Action> action = leadership.tick(now);
      if (action.isPresent()) {
        return action;
      }
    }
    return Optional.empty();
  }

  @Test
  void vacantRoleIsClaimedSoon() {
    assertThat(firstAction(0, 2_000 * NANOS_PER_MILLI), is(Optional.empty()));
    leadership.onVacancy(2_000 * NANOS_PER_MILLI, true, 0);
    Optional<Leadership.Action> action =
        firstAction(2_000 * NANOS_PER_MILLI, 2_400 * NANOS_PER_MILLI);
    assertThat(action.orElseThrow(), instanceOf(Leadership.Action.Claim.class));
  }

  @Test
  void leaseEndsLocallyBeforeItEndsInStore() {
    leadership.onClaimed(0, LEASE);
    assertThat(leadership.leads(1_300 * NANOS_PER_MILLI), is(true));
    assertThat(leadership.leads(1_400 * NANOS_PER_MILLI), is(false));
  }

  @Test
  void renewedLeaseCountsFromSending() {
    leadership.onClaimed(0, LEASE);
    assertThat(leadership.tick(400 * NANOS_PER_MILLI).isPresent(), is(true));
    leadership.onRenewed(400 * NANOS_PER_MILLI);
    assertThat(leadership.leads(1_700 * NANOS_PER_MILLI), is(true));
    assertThat(leadership.isRecentlyRenewed(1_700 * NANOS_PER_MILLI), is(false));
  }

  @Test
  void suspendedProcessLeadsOnlyAfterRenewal() {
    leadership.onClaimed(0, LEASE);
    leadership.onSuspended(100 * NANOS_PER_MILLI);
    assertThat(leadership.leads(100 * NANOS_PER_MILLI), is(false));
    Optional<Leadership.Action> action = leadership.tick(100 * NANOS_PER_MILLI);
    assertThat(action.orElseThrow(), instanceOf(Leadership.Action.Renew.class));
    leadership.onRenewed(100 * NANOS_PER_MILLI);
    assertThat(leadership.leads(101 * NANOS_PER_MILLI), is(true));
  }

  @Test
  void renewalCompletedAfterSuspensionDoesNotExtendLease() {
    leadership.onClaimed(0, LEASE);
    assertThat(leadership.tick(400 * NANOS_PER_MILLI).isPresent(), is(true));
    leadership.onSuspended(410 * NANOS_PER_MILLI);
    leadership.onRenewed(400 * NANOS_PER_MILLI);
    assertThat(leadership.leads(411 * NANOS_PER_MILLI), is(false));
    assertThat(leadership.tick(411 * NANOS_PER_MILLI).isPresent(), is(true));
    leadership.onRenewed(411 * NANOS_PER_MILLI);
    assertThat(leadership.leads(412 * NANOS_PER_MILLI), is(true));
  }

  @Test
  void claimCompletedAfterSuspensionGivesNoLeadership() {
    leadership.onVacancy(0, true, 0);
    assertThat(firstAction(0, 400 * NANOS_PER_MILLI).isPresent(), is(true));
    leadership.onSuspended(410 * NANOS_PER_MILLI);
    leadership.onClaimed(300 * NANOS_PER_MILLI, LEASE);
    assertThat(leadership.leads(411 * NANOS_PER_MILLI), is(false));
  }

  /**
   * Otherwise there is no coordinator: the store keeps the lease, but its holder never considers it
   * valid.
   */
  @Test
  void hostWithLateRenewalResponsesGivesUpLease() {
    leadership.onClaimed(0, LEASE);
    long now = 1_400 * NANOS_PER_MILLI;
    for (int i = 0; i < 10; i++) {
      Optional<Leadership.Action> action = leadership.tick(now);
      if (!action.equals(Optional.of(new Leadership.Action.Renew(LEASE)))) {
        return;
      }
      long sentAt = now;
      now += 1_400 * NANOS_PER_MILLI;
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
    assertThat(firstAction(0, 5_000 * NANOS_PER_MILLI), is(Optional.empty()));
    assertThat(leadership.leads(0), is(false));
  }

  /** A lease that is not ended keeps other hosts from claiming until it expires. */
  @Test
  void leaseClaimedWhileResigningIsEnded() {
    leadership.onVacancy(0, true, 0);
    assertThat(
        firstAction(0, 400 * NANOS_PER_MILLI).orElseThrow(),
        instanceOf(Leadership.Action.Claim.class));
    assertThat(leadership.resign(), is(Optional.empty()));

    Optional<Leadership.Action> end = leadership.onClaimed(400 * NANOS_PER_MILLI, LEASE);

    assertThat(leadership.leads(410 * NANOS_PER_MILLI), is(false));
    assertThat(end.orElseThrow(), is(new Leadership.Action.End(LEASE)));
  }
}
