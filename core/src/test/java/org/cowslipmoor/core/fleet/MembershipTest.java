package org.cowslipmoor.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class MembershipTest {
  private static final long SECOND = 1_000_000_000L;
  private static final ImmutableSet<String> NOBODY = ImmutableSet.of();

  private static Membership of(String... members) {
    return Membership.begin(ImmutableSet.copyOf(members), "a", 0);
  }

  @Test
  void firstCoordinatorFoundsAndThenAdmits() {
    Membership m = of();
    m.onReport("a", ImmutableSet.of("b"), 0);
    m.onReport("b", NOBODY, 0);
    assertThat(m.next(0), is(Optional.of(ImmutableSet.of("a"))));
    m.onWritten(ImmutableSet.of("a"));
    assertThat(m.next(0), is(Optional.of(ImmutableSet.of("a", "b"))));
  }

  @Test
  void hostJoinsOnlyWhenEveryMemberHasApprovedIt() {
    Membership m = of("a", "b", "c");
    m.onReport("new", NOBODY, 0);
    m.onReport("a", ImmutableSet.of("new"), 0);
    m.onReport("b", ImmutableSet.of("new"), 0);
    m.onReport("c", NOBODY, 0);
    assertThat(m.candidates(0), is(ImmutableSet.of("new")));
    assertThat(m.next(0), is(Optional.empty()));

    m.onReport("c", ImmutableSet.of("new"), 0);
    assertThat(m.next(0), is(Optional.of(ImmutableSet.of("a", "b", "c", "new"))));
  }

  @Test
  void memberLostForGoodNoLongerHoldsJoinsBack() {
    Membership m = of("a", "b", "c");
    long later = Membership.LOST_AFTER;
    m.onReport("a", ImmutableSet.of("new"), later);
    m.onReport("b", ImmutableSet.of("new"), later);
    m.onReport("new", NOBODY, later);

    assertThat(m.next(later), is(Optional.of(ImmutableSet.of("a", "b"))));
    m.onWritten(ImmutableSet.of("a", "b"));
    assertThat(m.next(later), is(Optional.of(ImmutableSet.of("a", "b", "new"))));
  }

  /** A coordinator that is itself cut off hears of few members and must not remove the others. */
  @Test
  void halfOfTheMembersIsNeverRemovedAtOnce() {
    Membership m = of("a", "b");
    m.onReport("a", NOBODY, Membership.LOST_AFTER);
    assertThat(m.next(Membership.LOST_AFTER), is(Optional.empty()));
  }

  @Test
  void removedMemberThatReturnsHasToBeApprovedAgain() {
    Membership m = of("a", "b");
    m.onReport("c", ImmutableSet.of("c"), 30 * SECOND);
    m.onReport("a", ImmutableSet.of("c"), 30 * SECOND);
    m.onReport("b", NOBODY, 30 * SECOND);
    assertThat(m.next(30 * SECOND), is(Optional.empty()));
  }
}
