package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.cowslipmoor.core.ownership.ShardEntry;
import org.cowslipmoor.core.ownership.ShardId;
import org.cowslipmoor.core.ownership.ShardPhase;
import org.jspecify.annotations.Nullable;

/**
 * Decides everything that one entry host does for control. Takes messages, answers and the present
 * time, and returns actions; it does no I/O, reads no clock and is not thread-safe.
 *
 * <p>Times are nanoseconds of the host's own monotonic clock, such as {@link System#nanoTime()}.
 * Example:
 *
 * <pre>{@code
 * HostController controller =
 *     HostController.create(identity, Timing.standard(), random, System.nanoTime());
 * perform(controller.tick(System.nanoTime(), requests));
 * perform(controller.onMessage(System.nanoTime(), "host-2", message, requests));
 * }</pre>
 */
public final class HostController {
  private static final long CONFIGURATION_RETRY = 1_000_000_000L;
  private static final long LOADS_INTERVAL = 2_000_000_000L;

  /** Most shards whose load is sent; further ones are the least busy. */
  private static final int MOST_LOADS = 256;

  private final HostState host;
  private final RandomGenerator random;
  private final GrantRenewer renewer;
  private @Nullable PollerRole hub;
  private boolean resigned;
  private long lastPolledAt;
  private long nextLoadsAt;
  private long configurationCall;
  private long configurationRetryAt;

  private HostController(HostState host, RandomGenerator random, long now) {
    this.host = host;
    this.random = random;
    this.renewer = new GrantRenewer(host);
    this.lastPolledAt = now;
    this.configurationRetryAt = now;
    this.nextLoadsAt = now;
  }

  /**
   * Creates the controller of a host that has just started and knows nothing.
   *
   * @param identity this run of the host's process
   * @param timing the durations in force, the same on all hosts of a data centre
   * @param random spreads retries
   * @param now the present time
   */
  public static HostController create(
      HostIdentity identity, Timing timing, RandomGenerator random, long now) {
    return new HostController(new HostState(identity, timing, now), random, now);
  }

  /** Does what is due by the passing of time; to be called every few tens of milliseconds. */
  public ImmutableList<ControlAction> tick(long now, RequestsInProgress requests) {
    if (host.configuration() == null) {
      askForConfiguration(now);
    }
    if (hub == null && !resigned && mayBecomeHub(now)) {
      hub = new PollerRole(host, now, random);
    }
    if (hub != null) {
      hub.tick(now, requests, renewer);
    }
    renewer.tick(now);
    return host.takeActions();
  }

  /**
   * Gives up the data centre's coordination for good, so that another host takes it over at once
   * rather than when the store's lease lapses. The host still attests and renews grants.
   */
  public ImmutableList<ControlAction> resign() {
    resigned = true;
    if (hub != null) {
      hub.stepDown();
      hub = null;
    }
    return host.takeActions();
  }

  /** Takes a message from another member. */
  public ImmutableList<ControlAction> onMessage(
      long now, String from, MemberMessage message, RequestsInProgress requests) {
    switch (message) {
      case MemberMessage.Poll m -> onPoll(now, from, m, requests);
      case MemberMessage.PollResponse m -> {
        if (hub != null) {
          hub.onPollResponse(now, from, m);
        }
      }
      case MemberMessage.TableUpdate m -> host.install(m.table());
      case MemberMessage.ConfigurationUpdate m -> installConfiguration(now, m.configuration());
      case MemberMessage.StateRequest m -> onStateRequest(from, m);
      case MemberMessage.Digest m -> onDigest(from, m);
    }
    renewer.tick(now);
    return host.takeActions();
  }

  /** Takes the answer to a {@link ControlAction.CallStore}. */
  public ImmutableList<ControlAction> onStoreResponse(long now, long call, StoreResponse answer) {
    if (call == configurationCall && host.configuration() == null) {
      if (answer instanceof StoreResponse.ConfigurationRead c && c.configuration() != null) {
        installConfiguration(now, c.configuration());
      }
    } else if (hub != null) {
      hub.onStoreResponse(now, call, answer);
    } else if (answer instanceof StoreResponse.LeadershipAcquired a) {
      host.call(new StoreCall.ReleaseLeadership(a.leaseId()));
    }
    renewer.tick(now);
    return host.takeActions();
  }

  /** Takes the outcome of a {@link ControlAction.Renew}. */
  public ImmutableList<ControlAction> onRenewalResponse(
      long now, String target, RenewalResponse answer) {
    renewer.onResponse(now, target, answer);
    return host.takeActions();
  }

  /**
   * Records this host's approval of a host that wants to join.
   *
   * @return whether the configuration in force lists such a host
   */
  @CanIgnoreReturnValue
  public boolean approve(String joiningMember) {
    Configuration configuration = host.configuration();
    if (configuration == null) {
      return false;
    }
    for (Member m : configuration.joining()) {
      if (m.id().equals(joiningMember)) {
        host.approvals.add(Approvals.candidateKey(m));
        return true;
      }
    }
    return false;
  }

  /** Returns the configuration in force; null before the host has one. */
  public @Nullable Configuration configuration() {
    return host.configuration();
  }

  /** Returns the ownership table in force; null before the host has one. */
  public @Nullable OwnershipTable table() {
    return host.table();
  }

  /** Returns what the host is permitted to do. */
  public Authority authority() {
    return host.authority;
  }

  /** Returns the members of the data centre that the hub has heard from lately. */
  public ImmutableList<String> liveMembers() {
    return host.live;
  }

  /** Tells whether the host is the hub of its data centre. */
  public boolean isPoller() {
    return hub != null;
  }

  /** Tells whether the host holds the store's lease. */
  public boolean isCoordinator(long now) {
    return hub != null && hub.leads(now);
  }

  /** Tells whether the host's word counts: it has learned what was in force when it started. */
  public boolean isAttesting() {
    return host.attesting;
  }

  /** Returns the approvals of joining hosts, by member, that the hub has heard. */
  public ImmutableMap<String, ImmutableSet<String>> approvals() {
    ImmutableMap.Builder<String, ImmutableSet<String>> result = ImmutableMap.builder();
    if (hub != null) {
      hub.viewsById().forEach((id, view) -> result.put(id, view.approvals));
    }
    return result.buildOrThrow();
  }

  /** Returns the targets that do not answer, with the nanoseconds since they did. */
  public ImmutableMap<String, Long> failingTargets(long now) {
    return renewer.failing(now);
  }

  /** Takes a configuration that was accepted by the store, for instance by an operator's call. */
  public ImmutableList<ControlAction> onConfiguration(long now, Configuration configuration) {
    installConfiguration(now, configuration);
    return host.takeActions();
  }

  static MemberMessage.PollResponse selfAnswer(
      HostState host, long now, RequestsInProgress requests, GrantRenewer renewer) {
    return answer(
        host,
        now,
        requests,
        renewer,
        host.self.incarnation(),
        now,
        host.attesting,
        requests.loads());
  }

  private void onPoll(long now, String from, MemberMessage.Poll poll, RequestsInProgress requests) {
    if (hub != null) {
      if (hub.yieldsTo(now, from, poll)) {
        hub.stepDown();
        hub = null;
      }
    }
    if (hub == null) {
      lastPolledAt = now;
      host.live = poll.liveMembers().isEmpty() ? host.live : poll.liveMembers();
      takeAuthority(poll);
    }
    boolean attests = host.attesting && host.version() <= poll.version();
    host.send(
        from,
        answer(
            host,
            now,
            requests,
            renewer,
            poll.pollerIncarnation(),
            poll.pollerTime(),
            attests,
            loadsToSend(now, requests)));
  }

  private void takeAuthority(MemberMessage.Poll poll) {
    if (poll.basis() == Authority.Basis.NONE
        || !poll.memberIncarnation().equals(host.self.incarnation())) {
      return;
    }
    long until = poll.echoedMemberTime() + poll.authorityNanos();
    if (poll.version() == host.version()) {
      boolean longer = until - host.authority.expiresAt() > 0;
      if (host.authority.version() != poll.version() || longer) {
        host.authority = new Authority(poll.version(), until, poll.basis());
      }
      recover(poll);
    }
  }

  /** Lets the host attest again after a start, once it has learned what was in force then. */
  private void recover(MemberMessage.Poll poll) {
    boolean sinceStart =
        switch (poll.basis()) {
          case NONE -> false;
          case STORE_LEASE -> true;
          // The attestations behind the poll must all be later than this start.
          case ATTESTATION ->
              poll.echoedMemberTime() - host.startTime >= host.timing.attestationNanos();
        };
    if (sinceStart && poll.authorityNanos() > 0) {
      host.attesting = true;
    }
  }

  private static MemberMessage.PollResponse answer(
      HostState host,
      long now,
      RequestsInProgress requests,
      GrantRenewer renewer,
      String pollerIncarnation,
      long pollerTime,
      boolean attests,
      ImmutableMap<ShardId, Double> loads) {
    return new MemberMessage.PollResponse(
        host.version(),
        host.configurationRevision(),
        pollerIncarnation,
        pollerTime,
        host.self.incarnation(),
        now,
        attests,
        drainedVersion(host, now, requests),
        renewer.failing(now),
        renewer.released(),
        ImmutableSet.copyOf(host.approvals),
        loads);
  }

  /** Returns the loads of the busiest shards when it is time to send them; otherwise none. */
  private ImmutableMap<ShardId, Double> loadsToSend(long now, RequestsInProgress requests) {
    if (now - nextLoadsAt < 0) {
      return ImmutableMap.of();
    }
    nextLoadsAt = now + LOADS_INTERVAL;
    ImmutableMap<ShardId, Double> all = requests.loads();
    if (all.size() <= MOST_LOADS) {
      return all;
    }
    return all.entrySet().stream()
        .sorted(Map.Entry.<ShardId, Double>comparingByValue().reversed())
        .limit(MOST_LOADS)
        .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
  }

  private static long drainedVersion(HostState host, long now, RequestsInProgress requests) {
    OwnershipTable table = host.table();
    Configuration configuration = host.configuration();
    if (table == null || configuration == null) {
      return 0;
    }
    // Requests of an earlier run of this host may still be worked on until their deadlines.
    long longest =
        configuration.services().stream().mapToLong(s -> s.maxDeadline().toNanos()).max().orElse(0);
    if (now - host.startTime < longest) {
      return 0;
    }
    for (ShardEntry e : table.entries().values()) {
      if (e.phase() != ShardPhase.ACTIVE && requests.isBusy(e.shard())) {
        return 0;
      }
    }
    return table.version();
  }

  private void onStateRequest(String from, MemberMessage.StateRequest request) {
    Configuration configuration = host.configuration();
    if (configuration != null && configuration.revision() > request.configurationRevision()) {
      host.send(from, new MemberMessage.ConfigurationUpdate(configuration));
    }
    OwnershipTable table = host.table();
    if (table != null
        && table.dataCentre().equals(request.dataCentre())
        && table.version() > request.version()) {
      host.send(from, new MemberMessage.TableUpdate(table));
    }
  }

  private void onDigest(String from, MemberMessage.Digest digest) {
    Configuration configuration = host.configuration();
    if (digest.configurationRevision() > host.configurationRevision()) {
      host.send(
          from,
          new MemberMessage.StateRequest(
              host.self.dataCentre(), host.configurationRevision(), host.version()));
    } else if (configuration != null && digest.configurationRevision() < configuration.revision()) {
      host.send(from, new MemberMessage.ConfigurationUpdate(configuration));
    }
  }

  private void installConfiguration(long now, Configuration configuration) {
    if (!host.install(configuration)) {
      return;
    }
    forgetApprovals(configuration);
    if (hub != null) {
      hub.spread(now);
    }
  }

  /** Forgets approvals of hosts that do not want to join any more. */
  private void forgetApprovals(Configuration configuration) {
    host.approvals.retainAll(Approvals.candidateKeys(configuration));
  }

  private void askForConfiguration(long now) {
    if (now - configurationRetryAt < 0) {
      return;
    }
    configurationRetryAt = now + CONFIGURATION_RETRY / 2 + random.nextLong(CONFIGURATION_RETRY);
    configurationCall = host.call(new StoreCall.ReadConfiguration());
    host.act(
        new ControlAction.SendToPeers(
            new MemberMessage.StateRequest(host.self.dataCentre(), 0, 0)));
  }

  /** Members wait longer the later they stand in the list, so that the first live one leads. */
  private boolean mayBecomeHub(long now) {
    if (!host.isMember()) {
      return false;
    }
    int position = 0;
    for (Member m : host.localMembers()) {
      if (m.id().equals(host.self.id())) {
        break;
      }
      position += host.live.isEmpty() || host.live.contains(m.id()) ? 1 : 0;
    }
    long wait = host.timing.silenceTimeoutNanos() + position * host.timing.pollIntervalNanos();
    return now - lastPolledAt >= wait;
  }
}
