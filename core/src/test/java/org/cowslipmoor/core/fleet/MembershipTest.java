package org.cowslipmoor.core.fleet;

import static java.util.stream.Collectors.toCollection;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class MembershipTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final ImmutableSet<String> NO_HOSTS = ImmutableSet.of();

  private static Membership of(String... members) {
    return Membership.create(MemberList.of(ImmutableSet.copyOf(members)), "a", 0);
  }

  @Test
  void firstCoordinatorBecomesMemberAndThenAdmitsOthers() {
    Membership m = of();
    m.onReport("a", ImmutableSet.of("b"), 0);
    m.onReport("b", NO_HOSTS, 0);
    assertThat(m.nextList(0), is(Optional.of(MemberList.of(ImmutableSet.of("a")))));
    m.onStored(MemberList.of(ImmutableSet.of("a")), 0);
    assertThat(m.nextList(0), is(Optional.of(MemberList.of(ImmutableSet.of("a", "b")))));
  }

  @Test
  void hostJoinsOnlyWhenEveryMemberHasApprovedIt() {
    Membership m = of("a", "b", "c");
    m.onReport("new", NO_HOSTS, 0);
    m.onReport("a", ImmutableSet.of("new"), 0);
    m.onReport("b", ImmutableSet.of("new"), 0);
    m.onReport("c", NO_HOSTS, 0);
    assertThat(m.candidates(0), is(ImmutableSet.of("new")));
    assertThat(m.nextList(0), is(Optional.empty()));

    m.onReport("c", ImmutableSet.of("new"), 0);
    assertThat(
        m.nextList(0), is(Optional.of(MemberList.of(ImmutableSet.of("a", "b", "c", "new")))));
  }

  @Test
  void permanentlyLostMemberDoesNotBlockJoins() {
    Membership m = of("a", "b", "c");
    long later = Membership.MEMBER_TIMEOUT_NANOS;
    m.onReport("a", ImmutableSet.of("new"), later);
    m.onReport("b", ImmutableSet.of("new"), later);
    m.onReport("new", NO_HOSTS, later);

    assertThat(m.nextList(later), is(Optional.of(MemberList.of(ImmutableSet.of("a", "b")))));
    m.onStored(MemberList.of(ImmutableSet.of("a", "b")), later);
    assertThat(m.nextList(later), is(Optional.of(MemberList.of(ImmutableSet.of("a", "b", "new")))));
  }

  /**
   * A coordinator that is itself partitioned receives reports from few members and must not remove
   * the others.
   */
  @Test
  void halfOfTheMembersIsNotRemovedTogetherWhileNoHostWaitsToJoin() {
    Membership m = of("a", "b");
    m.onReport("a", NO_HOSTS, Membership.MEMBER_TIMEOUT_NANOS);
    assertThat(m.nextList(Membership.MEMBER_TIMEOUT_NANOS), is(Optional.empty()));
  }

  @Test
  void removedMemberThatReturnsHasToBeApprovedAgain() {
    Membership m = of("a", "b");
    m.onReport("c", ImmutableSet.of("c"), 30 * NANOS_PER_SECOND);
    m.onReport("a", ImmutableSet.of("c"), 30 * NANOS_PER_SECOND);
    m.onReport("b", NO_HOSTS, 30 * NANOS_PER_SECOND);
    assertThat(m.nextList(30 * NANOS_PER_SECOND), is(Optional.empty()));
  }

  /** Guards against a fleet that no host can join any more, since half of its members are gone. */
  @Test
  void halfOfTheMembersIsRemovedForJoiningHostsUnlessItObjects() {
    Membership m = of("a", "b", "c", "d");
    long later = Membership.MEMBER_TIMEOUT_NANOS;
    m.onReport("a", ImmutableSet.of("new"), later);
    m.onReport("b", ImmutableSet.of("new"), later);
    m.onReport("new", NO_HOSTS, later);

    MemberList suspecting =
        MemberList.of(ImmutableSet.of("a", "b", "c", "d")).suspecting(ImmutableSet.of("c", "d"));
    assertThat(m.nextList(later), is(Optional.of(suspecting)));
    m.onStored(suspecting, later);
    assertThat(m.nextList(later), is(Optional.empty()));
    m.onStored(suspecting.trusting("d"), later);
    long answered = later + Membership.OBJECTION_NANOS;
    assertThat(
        m.nextList(answered), is(Optional.of(MemberList.of(ImmutableSet.of("a", "b", "d")))));
  }

  @Test
  void suspectedMemberThatReportsIsNotRemoved() {
    Membership m = of("a", "b", "c", "d");
    long later = Membership.MEMBER_TIMEOUT_NANOS;
    m.onReport("new", NO_HOSTS, later);
    m.onStored(m.nextList(later).orElseThrow(), later);
    m.onReport("b", NO_HOSTS, later + 1);

    long answered = later + Membership.OBJECTION_NANOS;
    assertThat(m.nextList(answered), is(Optional.of(MemberList.of(ImmutableSet.of("a", "b")))));
  }

  @Test
  void suspectedMembersHaveTimeToObjectAfterAnOutageOfTheStore() {
    Membership m = of("a", "b");
    long later = Membership.MEMBER_TIMEOUT_NANOS;
    m.onReport("new", NO_HOSTS, later);
    m.onStored(m.nextList(later).orElseThrow(), later);
    long outageEndsAt = later + 10 * Membership.OBJECTION_NANOS;
    m.onStoreUnavailable(outageEndsAt);

    long early = outageEndsAt + Membership.OBJECTION_NANOS - 1;
    assertThat(m.nextList(early), is(Optional.empty()));
    assertThat(m.nextList(early + 1), is(Optional.of(MemberList.of(ImmutableSet.of("a")))));
  }

  /** Guards against new hosts that refuse all requests, since every member is gone. */
  @Test
  void hostsThatReplaceAllMembersFoundTheMembershipAnew() {
    ImmutableSet<String> gone = ImmutableSet.of("a", "b", "c");
    Membership m = Membership.create(MemberList.of(gone), "new-1", 0);
    long now = Membership.FLEET_TIMEOUT_NANOS;
    m.onReport("new-1", NO_HOSTS, now);
    m.onReport("new-2", NO_HOSTS, now);
    m.onStored(m.nextList(now).orElseThrow(), now);
    now += Membership.OBJECTION_NANOS;
    MemberList founded = MemberList.of(ImmutableSet.of("new-1"));
    assertThat(m.nextList(now), is(Optional.of(founded)));
    m.onStored(founded, now);
    m.onReport("new-1", ImmutableSet.of("new-2"), now);
    m.onReport("new-2", NO_HOSTS, now);
    assertThat(m.nextList(now), is(Optional.of(MemberList.of(ImmutableSet.of("new-1", "new-2")))));
  }

  /** A coordinator that no member reaches removes none that reaches the store. */
  @Property(seed = "20261205", tries = 500)
  void livingMembersThatReachTheStoreAreNeverRemovedTogetherWithHalf(
      @ForAll @IntRange(min = 1, max = 12) int members,
      @ForAll @IntRange(max = 12) int gone,
      @ForAll boolean isSelfMember) {
    Set<String> ids =
        IntStream.range(0, members)
            .mapToObj(i -> "m" + i)
            .collect(toCollection(LinkedHashSet::new));
    Set<String> living = ids.stream().skip(gone).collect(Collectors.toSet());
    String self = isSelfMember && !living.isEmpty() ? living.iterator().next() : "new";
    Membership m = Membership.create(MemberList.of(ids), self, 0);
    MemberList stored = MemberList.of(ids);
    for (long now = 0; now < 60 * NANOS_PER_SECOND; now += NANOS_PER_SECOND / 4) {
      m.onReport(self, NO_HOSTS, now);
      m.onReport("joining", NO_HOSTS, now);
      MemberList next = m.nextList(now).orElse(stored);
      // Fewer than half of the members are removed without asking them.
      int before = stored.members().size();
      boolean isMinority = 2 * (before - next.members().size()) < before;
      assertThat(isMinority || next.members().containsAll(living), is(true));
      for (String host : living) {
        next = next.trusting(host);
      }
      stored = next;
      m.onStored(stored, now);
    }
  }
}
