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
 * Polls the members of a data centre, passes authority on to them and, while the store's lease
 * makes it the coordinator, plans the ownership table.
 *
 * <p>Without the lease a hub decides nothing: it only prolongs the table in force as long as a
 * majority attests that it knows no newer one. Two hubs at once are therefore harmless.
 */
final class PollerRole {
  /** Time after which an unchanged list of live members is sent again, in case it was lost. */
  private static final long LIVE_REPEAT = 2_000_000_000L;

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

  /** Polls, renews the lease, takes authority and plans, as far as each is due. */
  void tick(long now, RequestsInProgress requests, GrantRenewer renewer) {
    leadership.tick(now);
    refreshOwnView(now, requests, renewer);
    if (now - nextPollAt >= 0) {
      poll(now);
    }
    takeAuthority(now);
    if (coordinator.tick(now, views)) {
      nextPollAt = now;
    }
    if (leadership.isReady(now)) {
      admission.tick(now, views);
    }
  }

  void onStoreResponse(long now, long call, StoreResponse answer) {
    admission.onResponse(call, answer);
    if (leadership.onResponse(now, call, answer)) {
      spread(now);
    }
  }

  void onPollResponse(long now, String member, MemberMessage.PollResponse answer) {
    if (!answer.pollerIncarnation().equals(host.self.incarnation())) {
      return;
    }
    MemberView view = views.computeIfAbsent(member, unused -> new MemberView());
    boolean firstAnswer = !view.incarnation.equals(answer.memberIncarnation());
    view.onResponse(now, answer);
    if (answer.version() > host.version()
        || answer.configurationRevision() > host.configurationRevision()) {
      host.send(
          member,
          new MemberMessage.StateRequest(
              host.self.dataCentre(), host.configurationRevision(), host.version()));
    }
    boolean behind = update(member, view);
    if (firstAnswer || behind) {
      pollMember(now, member, view);
    }
  }

  /** Tells whether another hub's claim goes before this one's, so that this one steps down. */
  boolean yieldsTo(long now, String other, MemberMessage.Poll poll) {
    boolean leads = leadership.holdsLease(now);
    boolean otherLeads = poll.basis() == Authority.Basis.STORE_LEASE;
    if (leads != otherLeads) {
      return otherLeads;
    }
    if (poll.version() != host.version()) {
      return poll.version() > host.version();
    }
    return rank(other) < rank(host.self.id());
  }

  void stepDown() {
    leadership.release();
  }

  /** Tells whether this host is the coordinator. */
  boolean leads(long now) {
    return leadership.holdsLease(now);
  }

  ImmutableList<String> live(long now) {
    return host.localMembers().stream()
        .map(Member::id)
        .filter(id -> isLive(now, id))
        .collect(ImmutableList.toImmutableList());
  }

  Collection<MemberView> views() {
    return views.values();
  }

  /** Sends what was just installed to the members, and polls them for it at once. */
  void spread(long now) {
    takeAuthority(now);
    poll(now);
  }

  private boolean isLive(long now, String id) {
    MemberView v = views.get(id);
    return id.equals(host.self.id())
        || (v != null && v.isLive(now, host.timing.silenceTimeoutNanos()));
  }

  private void poll(long now) {
    nextPollAt = now + host.timing.pollIntervalNanos();
    host.live = live(now);
    Configuration configuration = host.configuration();
    if (configuration == null) {
      return;
    }
    for (Member m : polled(configuration)) {
      MemberView view = views.computeIfAbsent(m.id(), unused -> new MemberView());
      update(m.id(), view);
      pollMember(now, m.id(), view);
    }
  }

  private List<Member> polled(Configuration configuration) {
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
    long authority = 0;
    Authority.Basis basis = Authority.Basis.NONE;
    OwnershipTable table = host.table();
    Authority own = table == null ? Authority.NONE : authority(now, table, member);
    if (own.basis() != Authority.Basis.NONE && view.heard) {
      authority = Math.max(0, own.expiresAt() - view.receivedAt);
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
            authority,
            basis,
            liveToSend(now, view)));
  }

  /** Returns the live members when the member may not know them; otherwise nothing. */
  private ImmutableList<String> liveToSend(long now, MemberView view) {
    boolean known = view.heard && host.live.equals(view.liveSent);
    if (known && now - view.liveSentAt < LIVE_REPEAT) {
      return ImmutableList.of();
    }
    view.liveSent = host.live;
    view.liveSentAt = now;
    return host.live;
  }

  /** Sends the member what it lacks; returns whether it lacked something. */
  private boolean update(String member, MemberView view) {
    if (!view.heard) {
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
    own.onResponse(now, HostController.selfAnswer(host, now, requests, renewer));
    own.attests = host.attesting;
    own.attestedAt = now;
  }

  private void takeAuthority(long now) {
    OwnershipTable table = host.table();
    if (table != null && host.isMember()) {
      host.authority = authority(now, table, host.self.id());
    }
  }

  /** Returns the authority that the receiver may have now, with its end on the hub's clock. */
  private Authority authority(long now, OwnershipTable table, String receiver) {
    ImmutableSet<String> attesters = table.attesters();
    if (!attesters.contains(receiver)) {
      return Authority.NONE;
    }
    long longest = now + host.timing.attestationNanos();
    if (leadership.holdsLease(now)
        && table.coordinator().equals(host.self.id())
        && leadership.hasClaimed()) {
      long until = Math.min(leadership.leaseUntil(), longest);
      return new Authority(table.version(), until, Authority.Basis.STORE_LEASE);
    }
    Attestations attestations = new Attestations();
    for (String id : attesters) {
      MemberView v = views.get(id);
      if (v != null && v.attests) {
        attestations.add(id, v.attestedAt);
      }
    }
    ImmutableSet<String> excluded =
        receiver.equals(host.self.id()) ? ImmutableSet.of() : recovering(receiver);
    OptionalLong time = attestations.majorityTime(table, excluded);
    if (time.isEmpty() || now - time.getAsLong() >= host.timing.attestationNanos()) {
      return Authority.NONE;
    }
    long until = time.getAsLong() + host.timing.attestationNanos();
    return new Authority(table.version(), until, Authority.Basis.ATTESTATION);
  }

  private ImmutableSet<String> recovering(String member) {
    MemberView v = views.get(member);
    return v == null || !v.attests ? ImmutableSet.of(member) : ImmutableSet.of();
  }

  private int rank(String id) {
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
