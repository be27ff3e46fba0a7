package org.cowslipmoor.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class MembershipTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final ImmutableSet<String> NO_HOSTS = ImmutableSet.of();

  private static Membership of(String... members) {
    return Membership.create(ImmutableSet.copyOf(members), "a", 0);
  }

  @Test
  void firstCoordinatorBecomesMemberAndThenAdmitsOthers() {
    Membership m = of();
    m.onReport("a", ImmutableSet.of("b"), 0);
    m.onReport("b", NO_HOSTS, 0);
    assertThat(m.nextMembers(0), is(Optional.of(ImmutableSet.of("a"))));
    m.onWritten(ImmutableSet.of("a"));
    assertThat(m.nextMembers(0), is(Optional.of(ImmutableSet.of("a", "b"))));
  }

  @Test
  void hostJoinsOnlyWhenEveryMemberHasApprovedIt() {
    Membership m = of("a", "b", "c");
    m.onReport("new", NO_HOSTS, 0);
    m.onReport("a", ImmutableSet.of("new"), 0);
    m.onReport("b", ImmutableSet.of("new"), 0);
    m.onReport("c", NO_HOSTS, 0);
    assertThat(m.candidates(0), is(ImmutableSet.of("new")));
    assertThat(m.nextMembers(0), is(Optional.empty()));

    m.onReport("c", ImmutableSet.of("new"), 0);
    assertThat(m.nextMembers(0), is(Optional.of(ImmutableSet.of("a", "b", "c", "new"))));
  }

  @Test
  void permanentlyLostMemberDoesNotBlockJoins() {
    Membership m = of("a", "b", "c");
    long later = Membership.MEMBER_TIMEOUT_NANOS;
    m.onReport("a", ImmutableSet.of("new"), later);
    m.onReport("b", ImmutableSet.of("new"), later);
    m.onReport("new", NO_HOSTS, later);

    assertThat(m.nextMembers(later), is(Optional.of(ImmutableSet.of("a", "b"))));
    m.onWritten(ImmutableSet.of("a", "b"));
    assertThat(m.nextMembers(later), is(Optional.of(ImmutableSet.of("a", "b", "new"))));
  }

  /**
   * A coordinator that is itself partitioned receives reports from few members and must not remove
   * the others.
   */
  @Test
  void halfOfTheMembersIsNeverRemovedTogether() {
    Membership m = of("a", "b");
    m.onReport("a", NO_HOSTS, Membership.MEMBER_TIMEOUT_NANOS);
    assertThat(m.nextMembers(Membership.MEMBER_TIMEOUT_NANOS), is(Optional.empty()));
  }

  @Test
  void removedMemberThatReturnsHasToBeApprovedAgain() {
    Membership m = of("a", "b");
    m.onReport("c", ImmutableSet.of("c"), 30 * NANOS_PER_SECOND);
    m.onReport("a", ImmutableSet.of("c"), 30 * NANOS_PER_SECOND);
    m.onReport("b", NO_HOSTS, 30 * NANOS_PER_SECOND);
    assertThat(m.nextMembers(30 * NANOS_PER_SECOND), is(Optional.empty()));
  }
}
