package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.core.ownership.OwnershipTable;

/**
 * Polls the members of a data centre, passes authority on to them and, while the host is the
 * coordinator because it holds the leadership lease in the store, plans the ownership table.
 *
 * <p>Without the lease a poller makes no decisions: it only extends the authority to use the table
 * in effect as long as a majority attests that it has no newer one. Two pollers at the same time
 * are therefore harmless.
 */
final class PollerRole {
  /** Interval after which an unchanged list of live members is resent, in case it was lost. */
  private static final long LIVE_MEMBERS_RESEND_INTERVAL_NANOS = 2_000_000_000L;

  private final HostState host;
  private final LeadershipSession leadership;
  private final CoordinatorRole coordinator;
  private final AdmissionRole admission;
  private final Map<String, MemberView> views = new HashMap<>();
  private long nextPollAt;

  PollerRole(HostState host, long now, RandomGenerator random) {
    this.host = host;
    this.leadership = new LeadershipSession(host, now, random);
    this.coordinator = new CoordinatorRole(host, leadership, now);
    this.admission = new AdmissionRole(host, now);
    this.nextPollAt = now;
  }

  /** Polls, renews the lease, updates the host's authority and plans, as far as each is due. */
  void tick(long now, RequestsInProgress requests, GrantRenewer renewer) {
    leadership.tick(now);
    refreshOwnView(now, requests, renewer);
    if (now - nextPollAt >= 0) {
      poll(now);
    }
    updateOwnAuthority(now);
    if (coordinator.tick(now, views)) {
      nextPollAt = now;
    }
    if (leadership.isReady(now)) {
      admission.tick(now, views);
    }
  }

  void onStoreResponse(long now, long callId, StoreResponse response) {
    admission.onResponse(callId, response);
    if (leadership.onResponse(now, callId, response)) {
      distribute(now);
    }
  }

  void onPollResponse(long now, String member, MemberMessage.PollResponse response) {
    if (!response.pollerIncarnation().equals(host.self.incarnation())) {
      return;
    }
    MemberView view = views.computeIfAbsent(member, unused -> new MemberView());
    boolean firstResponse = !view.incarnation.equals(response.memberIncarnation());
    view.onResponse(now, response);
    if (response.version() > host.version()
        || response.configurationRevision() > host.configurationRevision()) {
      host.send(
          member,
          new MemberMessage.StateRequest(
              host.self.dataCentre(), host.configurationRevision(), host.version()));
    }
    boolean behind = sendMissingState(member, view);
    if (firstResponse || behind) {
      pollMember(now, member, view);
    }
  }

  /**
   * Returns whether this poller has to step down in favour of another one: the coordinator takes
   * precedence, then the host with the newer table, then the one earlier in the member list.
   */
  boolean yieldsTo(long now, String other, MemberMessage.Poll poll) {
    boolean isCoordinator = leadership.holdsLease(now);
    boolean otherIsCoordinator = poll.basis() == Authority.Basis.STORE_LEASE;
    if (isCoordinator != otherIsCoordinator) {
      return otherIsCoordinator;
    }
    if (poll.version() != host.version()) {
      return poll.version() > host.version();
    }
    return positionOf(other) < positionOf(host.self.id());
  }

  void stepDown() {
    leadership.release();
  }

  /** Returns whether this host is the coordinator. */
  boolean isCoordinator(long now) {
    return leadership.holdsLease(now);
  }

  ImmutableList<String> liveMembers(long now) {
    return host.localMembers().stream()
        .map(Member::id)
        .filter(id -> isLive(now, id))
        .collect(ImmutableList.toImmutableList());
  }

  Collection<MemberView> views() {
    return views.values();
  }

  /** Sends a newly installed table or configuration to the members and polls them immediately. */
  void distribute(long now) {
    updateOwnAuthority(now);
    poll(now);
  }

  private boolean isLive(long now, String id) {
    MemberView view = views.get(id);
    return id.equals(host.self.id())
        || (view != null && view.isLive(now, host.timing.silenceTimeoutNanos()));
  }

  private void poll(long now) {
    nextPollAt = now + host.timing.pollIntervalNanos();
    host.liveMembers = liveMembers(now);
    Configuration configuration = host.configuration();
    if (configuration == null) {
      return;
    }
    for (Member m : membersToPoll(configuration)) {
      MemberView view = views.computeIfAbsent(m.id(), unused -> new MemberView());
      sendMissingState(m.id(), view);
      pollMember(now, m.id(), view);
    }
  }

  private List<Member> membersToPoll(Configuration configuration) {
    ImmutableList.Builder<Member> result = ImmutableList.builder();
    for (Member m : configuration.membersOf(host.self.dataCentre())) {
      if (!m.id().equals(host.self.id())) {
        result.add(m);
      }
    }
    for (Member m : configuration.joining()) {
      if (m.dataCentre().equals(host.self.dataCentre())) {
        result.add(m);
      }
    }
    return result.build();
  }

  private void pollMember(long now, String member, MemberView view) {
    long authorityNanos = 0;
    Authority.Basis basis = Authority.Basis.NONE;
    OwnershipTable table = host.table();
    Authority own = table == null ? Authority.NONE : authorityFor(now, table, member);
    if (own.basis() != Authority.Basis.NONE && view.hasResponded) {
      authorityNanos = Math.max(0, own.expiresAt() - view.receivedAt);
      basis = own.basis();
    }
    host.send(
        member,
        new MemberMessage.Poll(
            host.version(),
            host.configurationRevision(),
            host.self.incarnation(),
            now,
            view.incarnation,
            view.memberTime,
            authorityNanos,
            basis,
            liveMembersToSend(now, view)));
  }

  /** Returns the live members if the member may lack the current list; otherwise none. */
  private ImmutableList<String> liveMembersToSend(long now, MemberView view) {
    boolean upToDate = view.hasResponded && host.liveMembers.equals(view.sentLiveMembers);
    if (upToDate && now - view.liveMembersSentAt < LIVE_MEMBERS_RESEND_INTERVAL_NANOS) {
      return ImmutableList.of();
    }
    view.sentLiveMembers = host.liveMembers;
    view.liveMembersSentAt = now;
    return host.liveMembers;
  }

  /** Sends the member newer state than it has; returns whether there was any. */
  private boolean sendMissingState(String member, MemberView view) {
    if (!view.hasResponded) {
      return false;
    }
    boolean behind = false;
    Configuration configuration = host.configuration();
    if (configuration != null && view.configurationRevision < configuration.revision()) {
      host.send(member, new MemberMessage.ConfigurationUpdate(configuration));
      behind = true;
    }
    OwnershipTable table = host.table();
    if (table != null && view.version < table.version()) {
      host.send(member, new MemberMessage.TableUpdate(table));
      behind = true;
    }
    return behind;
  }

  private void refreshOwnView(long now, RequestsInProgress requests, GrantRenewer renewer) {
    MemberView own = views.computeIfAbsent(host.self.id(), unused -> new MemberView());
    own.onResponse(now, HostController.ownResponse(host, now, requests, renewer));
    own.attests = host.attesting;
    own.attestedAt = now;
  }

  private void updateOwnAuthority(long now) {
    OwnershipTable table = host.table();
    if (table != null && host.isMember()) {
      host.authority = authorityFor(now, table, host.self.id());
    }
  }

  /** Returns the authority that the receiver may have now; it expires on the poller's clock. */
  private Authority authorityFor(long now, OwnershipTable table, String receiver) {
    ImmutableSet<String> attesters = table.attesters();
    if (!attesters.contains(receiver)) {
      return Authority.NONE;
    }
    long latestExpiry = now + host.timing.attestationNanos();
    if (leadership.holdsLease(now)
        && table.coordinator().equals(host.self.id())
        && leadership.hasStartedEpoch()) {
      long expiresAt = Math.min(leadership.leaseExpiresAt(), latestExpiry);
      return new Authority(table.version(), expiresAt, Authority.Basis.STORE_LEASE);
    }
    Attestations attestations = new Attestations();
    for (String id : attesters) {
      MemberView view = views.get(id);
      if (view != null && view.attests) {
        attestations.add(id, view.attestedAt);
      }
    }
    ImmutableSet<String> excluded =
        receiver.equals(host.self.id()) ? ImmutableSet.of() : withoutAttestation(receiver);
    OptionalLong majorityTime = attestations.majorityTime(table, excluded);
    if (majorityTime.isEmpty()
        || now - majorityTime.getAsLong() >= host.timing.attestationNanos()) {
      return Authority.NONE;
    }
    long expiresAt = majorityTime.getAsLong() + host.timing.attestationNanos();
    return new Authority(table.version(), expiresAt, Authority.Basis.ATTESTATION);
  }

  /** Returns a set of the member if it does not attest yet, and an empty set otherwise. */
  private ImmutableSet<String> withoutAttestation(String member) {
    MemberView view = views.get(member);
    return view == null || !view.attests ? ImmutableSet.of(member) : ImmutableSet.of();
  }

  private int positionOf(String id) {
    ImmutableList<Member> members = host.localMembers();
    for (int i = 0; i < members.size(); i++) {
      if (members.get(i).id().equals(id)) {
        return i;
      }
    }
    return members.size();
  }

  ImmutableMap<String, MemberView> viewsById() {
    return ImmutableMap.copyOf(views);
  }
}
