package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides, at the coordinator, which hosts are members. A host joins once every member has approved
 * it. A member that sends no reports for a long time is removed, so that it can't block joins
 * indefinitely, and needs approval again when it returns. Not thread-safe; times are nanoseconds.
 */
public final class Membership {
  /** Time without a report after which a member is considered permanently lost. */
  static final long MEMBER_TIMEOUT_NANOS = 20_000_000_000L;

  /** Time without a report after which a joining host is no longer a candidate. */
  private static final long CANDIDATE_TIMEOUT_NANOS = 2_000_000_000L;

  private final String self;
  private final long createdAt;
  private final Map<String, Long> lastReportAt = new HashMap<>();
  private final Map<String, ImmutableSet<String>> approvals = new HashMap<>();
  private ImmutableSet<String> members;

  private Membership(ImmutableSet<String> members, String self, long now) {
    this.members = members;
    this.self = self;
    this.createdAt = now;
  }

  /**
   * Creates the membership from the members that the store lists.
   *
   * @param members ids of the members; empty before the first one
   * @param self id of this host
   */
  public static Membership create(ImmutableSet<String> members, String self, long now) {
    return new Membership(members, self, now);
  }

  /** Records a host's report and the joining hosts that it approves. */
  public void onReport(String host, ImmutableSet<String> approved, long now) {
    lastReportAt.put(host, now);
    approvals.put(host, approved);
  }

  /** Records the members that were written to the store. */
  public void onWritten(ImmutableSet<String> written) {
    members = written;
  }

  /** Returns the hosts that ask to join. */
  public ImmutableSet<String> candidates(long now) {
    return lastReportAt.entrySet().stream()
        .filter(e -> now - e.getValue() < CANDIDATE_TIMEOUT_NANOS && !members.contains(e.getKey()))
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

  /** Returns the members to write to the store; empty when no change is due. */
  public Optional<ImmutableSet<String>> nextMembers(long now) {
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
    return !member.equals(self)
        && now - lastReportAt.getOrDefault(member, createdAt) >= MEMBER_TIMEOUT_NANOS;
  }

  private boolean isApprovedByAll(String candidate) {
    return members.stream()
        .allMatch(m -> approvals.getOrDefault(m, ImmutableSet.of()).contains(candidate));
  }
}
