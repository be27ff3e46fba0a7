package org.cowslipmoor.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Set;

/**
 * The members as the store lists them.
 *
 * @param members ids of the members; empty before the first one
 * @param suspected ids of the members that are removed unless they object in time
 */
public record MemberList(ImmutableSet<String> members, ImmutableSet<String> suspected) {

  private static final MemberList EMPTY = new MemberList(ImmutableSet.of(), ImmutableSet.of());

  /**
   * Checks that only members are suspected.
   *
   * @throws IllegalArgumentException if a host is suspected that is not a member
   */
  public MemberList {
    checkArgument(
        members.containsAll(suspected), "the suspected hosts %s must be members", suspected);
  }

  /** Returns the list before the first member. */
  public static MemberList empty() {
    return EMPTY;
  }

  /** Returns a list of members of which none is suspected. */
  public static MemberList of(Set<String> members) {
    return new MemberList(ImmutableSet.copyOf(members), ImmutableSet.of());
  }

  /** Returns this list with more members. */
  public MemberList with(Set<String> admitted) {
    return new MemberList(ImmutableSet.copyOf(Sets.union(members, admitted)), suspected);
  }

  /** Returns this list without some of its members. */
  public MemberList without(Set<String> removed) {
    return new MemberList(
        ImmutableSet.copyOf(Sets.difference(members, removed)),
        ImmutableSet.copyOf(Sets.difference(suspected, removed)));
  }

  /** Returns this list with more members suspected. */
  public MemberList suspecting(Set<String> hosts) {
    return new MemberList(members, ImmutableSet.copyOf(Sets.union(suspected, hosts)));
  }

  /** Returns this list with a member no longer suspected. */
  public MemberList trusting(String host) {
    return new MemberList(
        members, ImmutableSet.copyOf(Sets.difference(suspected, ImmutableSet.of(host))));
  }
}
