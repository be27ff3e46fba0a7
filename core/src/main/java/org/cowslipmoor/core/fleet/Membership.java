package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides, at the coordinator, which hosts are members. A host joins once every member has approved
 * it; a member that has not been heard of for long is removed, so that it can't hold joins back for
 * ever, and has to be approved again when it returns. Not thread-safe; times are nanoseconds.
 */
public final class Membership {
  /** Silence after which a member is taken to be gone for good. */
  static final long LOST_AFTER = 20_000_000_000L;

  /** Silence after which a host no longer wants to join. */
  private static final long CANDIDATE_LIFETIME = 2_000_000_000L;

  private final String self;
  private final long beganAt;
  private final Map<String, Long> heardAt = new HashMap<>();
  private final Map<String, ImmutableSet<String>> approvals = new HashMap<>();
  private ImmutableSet<String> members;

  private Membership(ImmutableSet<String> members, String self, long now) {
    this.members = members;
    this.self = self;
    this.beganAt = now;
  }

  /**
   * Begins with the members that the store lists.
   *
   * @param members the members; empty before the first one
   * @param self this host
   */
  public static Membership begin(ImmutableSet<String> members, String self, long now) {
    return new Membership(members, self, now);
  }

  /** Notes that a host was heard of, and which joining hosts it approves. */
  public void onReport(String host, ImmutableSet<String> approved, long now) {
    heardAt.put(host, now);
    approvals.put(host, approved);
  }

  /** Takes the members that are in the store now. */
  public void onWritten(ImmutableSet<String> written) {
    members = written;
  }

  /** Returns the hosts that want to join. */
  public ImmutableSet<String> candidates(long now) {
    return heardAt.entrySet().stream()
        .filter(e -> now - e.getValue() < CANDIDATE_LIFETIME && !members.contains(e.getKey()))
        .map(Map.Entry::getKey)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns the members that have not approved all joining hosts yet. */
  public ImmutableSet<String> missingApprovals(long now) {
    ImmutableSet<String> joining = candidates(now);
    return members.stream()
        .filter(m -> !approvals.getOrDefault(m, ImmutableSet.of()).containsAll(joining))
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns the members that the store should list instead; empty while they are right. */
  public Optional<ImmutableSet<String>> next(long now) {
    if (members.isEmpty()) {
      return Optional.of(ImmutableSet.of(self));
    }
    Set<String> lost = Sets.filter(members, m -> isLost(m, now));
    if (!lost.isEmpty() && 2 * lost.size() < members.size()) {
      return Optional.of(ImmutableSet.copyOf(Sets.difference(members, lost)));
    }
    Set<String> admitted = Sets.filter(candidates(now), this::isApprovedByAll);
    return admitted.isEmpty()
        ? Optional.empty()
        : Optional.of(ImmutableSet.copyOf(Sets.union(members, admitted)));
  }

  private boolean isLost(String member, long now) {
    return !member.equals(self) && now - heardAt.getOrDefault(member, beganAt) >= LOST_AFTER;
  }

  private boolean isApprovedByAll(String candidate) {
    return members.stream()
        .allMatch(m -> approvals.getOrDefault(m, ImmutableSet.of()).contains(candidate));
  }
}
