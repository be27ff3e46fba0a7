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
 * indefinitely, and needs approval again when it returns.
 *
 * <p>A coordinator that is itself partitioned hears from few members. Half of them or more are
 * therefore removed together only for hosts that wait to join, and in two steps: the store lists
 * them as suspected, and those that do not object there within a time limit are removed. Not
 * thread-safe; times are nanoseconds.
 */
public final class Membership {
  /** Time without a report after which a member is considered permanently lost. */
  static final long MEMBER_TIMEOUT_NANOS = 20_000_000_000L;

  /**
   * Time without a report of any member after which a coordinator that is no member itself suspects
   * them all. Until one is admitted, the fleet serves nobody.
   */
  static final long FLEET_TIMEOUT_NANOS = 5_000_000_000L;

  /** Time within which a suspected member can object to its removal. */
  static final long OBJECTION_NANOS = 3_000_000_000L;

  /** Time without a report after which a joining host is no longer a candidate. */
  private static final long CANDIDATE_TIMEOUT_NANOS = 2_000_000_000L;

  private final String self;
  private final long createdAt;
  private final Map<String, Long> lastReportAt = new HashMap<>();
  private final Map<String, ImmutableSet<String>> approvals = new HashMap<>();
  private MemberList list;
  private long suspectedAt;

  private Membership(MemberList list, String self, long now) {
    this.list = list;
    this.self = self;
    this.createdAt = now;
    this.suspectedAt = now;
  }

  /**
   * Creates the membership from the members that the store lists.
   *
   * @param list the members and which of them are suspected
   * @param self id of this host
   */
  public static Membership create(MemberList list, String self, long now) {
    return new Membership(list, self, now);
  }

  /** Records a host's report and the joining hosts that it approves. */
  public void onReport(String host, ImmutableSet<String> approved, long now) {
    lastReportAt.put(host, now);
    approvals.put(host, approved);
  }

  /** Records the members that the store now lists, after a write of this host or another one. */
  public void onStored(MemberList stored, long now) {
    // A member that is listed but no longer suspected has objected, so it is alive.
    Sets.difference(Sets.intersection(list.suspected(), stored.members()), stored.suspected())
        .forEach(objector -> lastReportAt.put(objector, now));
    if (!list.suspected().containsAll(stored.suspected())) {
      suspectedAt = now;
    }
    list = stored;
  }

  /** Records that the store may be unreachable, for members that would object as well. */
  public void onStoreUnavailable(long now) {
    suspectedAt = now;
  }

  /** Returns the hosts that ask to join. */
  public ImmutableSet<String> candidates(long now) {
    return lastReportAt.entrySet().stream()
        .filter(
            e ->
                now - e.getValue() < CANDIDATE_TIMEOUT_NANOS
                    && !list.members().contains(e.getKey()))
        .map(Map.Entry::getKey)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns the members that have not approved all joining hosts yet. */
  public ImmutableSet<String> missingApprovals(long now) {
    ImmutableSet<String> joining = candidates(now);
    return list.members().stream()
        .filter(m -> !approvals.getOrDefault(m, ImmutableSet.of()).containsAll(joining))
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns the list to write to the store; empty when no change is due. */
  public Optional<MemberList> nextList(long now) {
    if (list.members().isEmpty()) {
      return Optional.of(MemberList.of(ImmutableSet.of(self)));
    }
    Set<String> lost = silentFor(MEMBER_TIMEOUT_NANOS, now);
    if (!lost.isEmpty() && 2 * lost.size() < list.members().size()) {
      return Optional.of(list.without(lost));
    }
    Set<String> confirmed = confirmedLost(now);
    if (!confirmed.isEmpty()) {
      // The other suspected members have reported.
      Set<String> rest = Sets.difference(list.members(), confirmed);
      return Optional.of(MemberList.of(rest.isEmpty() ? ImmutableSet.of(self) : rest));
    }
    ImmutableSet<String> joining = candidates(now);
    Set<String> admitted = Sets.filter(joining, this::isApprovedByAll);
    if (!admitted.isEmpty()) {
      return Optional.of(list.with(admitted));
    }
    Set<String> suspects = isFleetSilent(now) ? list.members() : lost;
    return joining.isEmpty() || list.suspected().containsAll(suspects)
        ? Optional.empty()
        : Optional.of(list.suspecting(suspects));
  }

  /** Returns the suspected members that have neither objected nor reported in time. */
  private Set<String> confirmedLost(long now) {
    if (now - suspectedAt < OBJECTION_NANOS) {
      return ImmutableSet.of();
    }
    return Sets.intersection(list.suspected(), silentFor(now - suspectedAt, now));
  }

  private boolean isFleetSilent(long now) {
    return !list.members().contains(self)
        && silentFor(FLEET_TIMEOUT_NANOS, now).size() == list.members().size();
  }

  private ImmutableSet<String> silentFor(long nanos, long now) {
    return list.members().stream()
        .filter(m -> !m.equals(self))
        .filter(m -> now - lastReportAt.getOrDefault(m, createdAt) >= nanos)
        .collect(ImmutableSet.toImmutableSet());
  }

  private boolean isApprovedByAll(String candidate) {
    return list.members().stream()
        .allMatch(m -> approvals.getOrDefault(m, ImmutableSet.of()).contains(candidate));
  }
}
