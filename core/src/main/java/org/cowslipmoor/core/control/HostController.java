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
 * Makes all control decisions of one entry host. Takes messages, responses and the current time,
 * and returns actions; does no I/O, reads no clock and is not thread-safe.
 *
 * <p>Times are in nanoseconds of the host's own monotonic clock, such as {@link System#nanoTime()}.
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
  private static final long CONFIGURATION_RETRY_INTERVAL_NANOS = 1_000_000_000L;
  private static final long LOADS_INTERVAL_NANOS = 2_000_000_000L;

  /** Maximum number of shards whose load is sent; the least busy ones beyond it are left out. */
  private static final int MAX_LOADS = 256;

  private final HostState host;
  private final RandomGenerator random;
  private final GrantRenewer renewer;
  private @Nullable PollerRole poller;
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
   * Creates the controller of a host that has just started and has no configuration or table.
   *
   * @param identity identity of this run of the host's process
   * @param timing the durations in effect, which must be the same on all hosts of a data centre
   * @param random source of the jitter of retries
   * @param now the current time
   */
  public static HostController create(
      HostIdentity identity, Timing timing, RandomGenerator random, long now) {
    return new HostController(new HostState(identity, timing, now), random, now);
  }

  /** Runs the tasks that are due; must be called every few tens of milliseconds. */
  public ImmutableList<ControlAction> tick(long now, RequestsInProgress requests) {
    if (host.configuration() == null) {
      requestConfiguration(now);
    }
    if (poller == null && !resigned && mayBecomePoller(now)) {
      poller = new PollerRole(host, now, random);
    }
    if (poller != null) {
      poller.tick(now, requests, renewer);
    }
    renewer.tick(now);
    return host.takeActions();
  }

  /**
   * Permanently gives up the coordination of the data centre, so that another host can take over
   * immediately instead of after the lease in the store expires. The host still attests and renews
   * grants.
   */
  public ImmutableList<ControlAction> resign() {
    resigned = true;
    if (poller != null) {
      poller.stepDown();
      poller = null;
    }
    return host.takeActions();
  }

  /** Handles a message from another member. */
  public ImmutableList<ControlAction> onMessage(
      long now, String from, MemberMessage message, RequestsInProgress requests) {
    switch (message) {
      case MemberMessage.Poll m -> onPoll(now, from, m, requests);
      case MemberMessage.PollResponse m -> {
        if (poller != null) {
          poller.onPollResponse(now, from, m);
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

  /** Handles the response to a {@link ControlAction.CallStore}. */
  public ImmutableList<ControlAction> onStoreResponse(
      long now, long callId, StoreResponse response) {
    if (callId == configurationCall && host.configuration() == null) {
      if (response instanceof StoreResponse.ConfigurationRead c && c.configuration() != null) {
        installConfiguration(now, c.configuration());
      }
    } else if (poller != null) {
      poller.onStoreResponse(now, callId, response);
    } else if (response instanceof StoreResponse.LeadershipAcquired a) {
      host.call(new StoreCall.ReleaseLeadership(a.leaseId()));
    }
    renewer.tick(now);
    return host.takeActions();
  }

  /** Handles the outcome of a {@link ControlAction.Renew}. */
  public ImmutableList<ControlAction> onRenewalResponse(
      long now, String target, RenewalResponse response) {
    renewer.onResponse(now, target, response);
    return host.takeActions();
  }

  /**
   * Records this host's approval of a joining host.
   *
   * @return whether the configuration in effect lists the host as joining
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

  /** Returns the configuration in effect; null until the host has one. */
  public @Nullable Configuration configuration() {
    return host.configuration();
  }

  /** Returns the ownership table in effect; null until the host has one. */
  public @Nullable OwnershipTable table() {
    return host.table();
  }

  /** Returns the host's authority to act on its ownership table. */
  public Authority authority() {
    return host.authority;
  }

  /** Returns the members of the data centre that have recently responded to the poller. */
  public ImmutableList<String> liveMembers() {
    return host.liveMembers;
  }

  /** Returns whether the host polls the members of its data centre. */
  public boolean isPoller() {
    return poller != null;
  }

  /** Returns whether the host holds the leadership lease in the store. */
  public boolean isCoordinator(long now) {
    return poller != null && poller.isCoordinator(now);
  }

  /**
   * Returns whether the host attests. After a start of its process it does not do so until it has
   * the state that was in effect at that start.
   */
  public boolean isAttesting() {
    return host.attesting;
  }

  /** Returns the approvals that this host has received as the poller, by approving member. */
  public ImmutableMap<String, ImmutableSet<String>> approvals() {
    ImmutableMap.Builder<String, ImmutableSet<String>> result = ImmutableMap.builder();
    if (poller != null) {
      poller.viewsById().forEach((id, view) -> result.put(id, view.approvals));
    }
    return result.buildOrThrow();
  }

  /** Returns the targets that do not respond, with the duration of the failure in nanoseconds. */
  public ImmutableMap<String, Long> failingTargets(long now) {
    return renewer.failing(now);
  }

  /** Installs a configuration that the store has accepted, for instance from an operator's call. */
  public ImmutableList<ControlAction> onConfiguration(long now, Configuration configuration) {
    installConfiguration(now, configuration);
    return host.takeActions();
  }

  static MemberMessage.PollResponse ownResponse(
      HostState host, long now, RequestsInProgress requests, GrantRenewer renewer) {
    return response(
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
    if (poller != null) {
      if (poller.yieldsTo(now, from, poll)) {
        poller.stepDown();
        poller = null;
      }
    }
    if (poller == null) {
      lastPolledAt = now;
      host.liveMembers = poll.liveMembers().isEmpty() ? host.liveMembers : poll.liveMembers();
      updateAuthority(poll);
    }
    boolean attests = host.attesting && host.version() <= poll.version();
    host.send(
        from,
        response(
            host,
            now,
            requests,
            renewer,
            poll.pollerIncarnation(),
            poll.pollerTime(),
            attests,
            loadsToSend(now, requests)));
  }

  private void updateAuthority(MemberMessage.Poll poll) {
    if (poll.basis() == Authority.Basis.NONE
        || !poll.memberIncarnation().equals(host.self.incarnation())) {
      return;
    }
    long expiresAt = poll.echoedMemberTime() + poll.authorityNanos();
    if (poll.version() == host.version()) {
      boolean expiresLater = expiresAt - host.authority.expiresAt() > 0;
      if (host.authority.version() != poll.version() || expiresLater) {
        host.authority = new Authority(poll.version(), expiresAt, poll.basis());
      }
      resumeAttesting(poll);
    }
  }

  /**
   * Enables attesting after a start once the host has the state that was in effect at the start.
   */
  private void resumeAttesting(MemberMessage.Poll poll) {
    boolean readSinceStart =
        switch (poll.basis()) {
          case NONE -> false;
          case STORE_LEASE -> true;
          // All attestations that the poll is based on must be later than this start.
          case ATTESTATION ->
              poll.echoedMemberTime() - host.startTime >= host.timing.attestationNanos();
        };
    if (readSinceStart && poll.authorityNanos() > 0) {
      host.attesting = true;
    }
  }

  private static MemberMessage.PollResponse response(
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

  /** Returns the loads of the busiest shards if they are due to be sent; otherwise none. */
  private ImmutableMap<ShardId, Double> loadsToSend(long now, RequestsInProgress requests) {
    if (now - nextLoadsAt < 0) {
      return ImmutableMap.of();
    }
    nextLoadsAt = now + LOADS_INTERVAL_NANOS;
    ImmutableMap<ShardId, Double> loads = requests.loads();
    if (loads.size() <= MAX_LOADS) {
      return loads;
    }
    return loads.entrySet().stream()
        .sorted(Map.Entry.<ShardId, Double>comparingByValue().reversed())
        .limit(MAX_LOADS)
        .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
  }

  private static long drainedVersion(HostState host, long now, RequestsInProgress requests) {
    OwnershipTable table = host.table();
    Configuration configuration = host.configuration();
    if (table == null || configuration == null) {
      return 0;
    }
    // Targets may process requests of an earlier run of this host's process until their deadlines.
    long maxDeadlineNanos =
        configuration.services().stream().mapToLong(s -> s.maxDeadline().toNanos()).max().orElse(0);
    if (now - host.startTime < maxDeadlineNanos) {
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
    removeObsoleteApprovals(configuration);
    if (poller != null) {
      poller.distribute(now);
    }
  }

  /** Removes approvals of hosts that are no longer joining. */
  private void removeObsoleteApprovals(Configuration configuration) {
    host.approvals.retainAll(Approvals.candidateKeys(configuration));
  }

  private void requestConfiguration(long now) {
    if (now - configurationRetryAt < 0) {
      return;
    }
    configurationRetryAt =
        now
            + CONFIGURATION_RETRY_INTERVAL_NANOS / 2
            + random.nextLong(CONFIGURATION_RETRY_INTERVAL_NANOS);
    configurationCall = host.call(new StoreCall.ReadConfiguration());
    host.addAction(
        new ControlAction.SendToPeers(
            new MemberMessage.StateRequest(host.self.dataCentre(), 0, 0)));
  }

  /**
   * Returns whether no poll has arrived for long enough. Members wait longer the further down they
   * are in the member list, so that the first live one becomes the poller.
   */
  private boolean mayBecomePoller(long now) {
    if (!host.isMember()) {
      return false;
    }
    int position = 0;
    for (Member m : host.localMembers()) {
      if (m.id().equals(host.self.id())) {
        break;
      }
      position += host.liveMembers.isEmpty() || host.liveMembers.contains(m.id()) ? 1 : 0;
    }
    long waitNanos = host.timing.silenceTimeoutNanos() + position * host.timing.pollIntervalNanos();
    return now - lastPolledAt >= waitNanos;
  }
}
