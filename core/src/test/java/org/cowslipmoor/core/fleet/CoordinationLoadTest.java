package org.cowslipmoor.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class CoordinationLoadTest {
  private static final CoordinationLoad LARGE = new CoordinationLoad(17_500_000, 1.5);
  private static final CoordinationLoad SMALL = new CoordinationLoad(875_000, 0.21);

  /** Guards against a coordinator with 0.21 cores, whose decisions came seconds late. */
  @Test
  void largeHostsClaimBeforeSmallOnes() {
    assertThat(LARGE.claimDelayNanos(102), is(0L));
    assertThat(SMALL.claimDelayNanos(102), greaterThan(300_000_000L));
  }

  @Test
  void equalHostsOfSmallFleetDoNotDelayTheirClaims() {
    assertThat(new CoordinationLoad(87_500_000, 0.42).claimDelayNanos(19), is(0L));
  }

  /**
   * Guards against a coordinator with a narrow link that claimed at the first start, when no member
   * is known: its updates came late, and all hosts asked the store instead.
   */
  @Test
  void smallHostsDelayTheirClaimsWhileTheMembersAreUnknown() {
    assertThat(LARGE.claimDelayNanos(0), is(0L));
    assertThat(SMALL.claimDelayNanos(0), greaterThan(300_000_000L));
  }
}
