package org.cowslipmoor.core.control;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.random.RandomGenerator;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.cowslipmoor.core.ownership.Quorum;
import org.jspecify.annotations.Nullable;

/**
 * Manages the leadership lease in the store that makes a poller the coordinator, and the
 * coordinator's writes of the ownership table.
 *
 * <p>If the response to a write is lost, the record is read back and its operation id is compared,
 * to determine whether the write took effect.
 */
final class LeadershipSession {
  private static final long MIN_RETRY_DELAY_NANOS = 200_000_000L;
  private static final long MAX_RETRY_DELAY_NANOS = 2_000_000_000L;
  private static final long NO_CALL = 0;

  private final HostState host;
  private final RandomGenerator random;
  private Step step = Step.IDLE;
  private long leaseId;
  private long leaseExpiresAt;
  private long tableRevision;
  private @Nullable OwnershipTable pendingTable;
  private long stepCall = NO_CALL;
  private long acquireSentAt;
  private long retryAt;
  private long retryDelayNanos = MIN_RETRY_DELAY_NANOS;
  private long renewCall = NO_CALL;
  private long renewSentAt;
  private long watchCall = NO_CALL;
  private long nextWatchAt;
  private long configurationRecordRevision;
  private long startedEpoch;

  private enum Step {
    IDLE,
    ACQUIRING,
    READING,
    WRITING,
    READY
  }

  LeadershipSession(HostState host, long now, RandomGenerator random) {
    this.host = host;
    this.random = random;
    this.retryAt = now;
    this.nextWatchAt = now;
  }

  /** Makes the store calls that are due. */
  void tick(long now) {
    if (step != Step.IDLE && step != Step.ACQUIRING && now - leaseExpiresAt >= 0) {
      releaseAndRetryLater(now);
    }
    if (step == Step.IDLE && now - retryAt >= 0) {
      step = Step.ACQUIRING;
      acquireSentAt = now;
      String holder = host.self.id() + "/" + host.self.incarnation();
      stepCall =
          host.call(
              new StoreCall.AcquireLeadership(
                  host.self.dataCentre(), holder, host.timing.storeLeaseNanos()));
    }
    if (holdsLease(now)) {
      renewLease(now);
      watchConfiguration(now);
    }
  }

  /** Returns whether the host holds the lease, and so is the coordinator, by its own clock. */
  boolean holdsLease(long now) {
    return leaseId != 0 && leaseExpiresAt - now > 0;
  }

  /** Returns when the lease expires on the host's clock; only valid while it is held. */
  long leaseExpiresAt() {
    return leaseExpiresAt;
  }

  /** Returns whether the host has written the table in a new epoch since it acquired the lease. */
  boolean hasStartedEpoch() {
    return startedEpoch != 0 && startedEpoch == currentEpoch();
  }

  /** Returns whether the host is the coordinator and has no write in progress. */
  boolean isReady(long now) {
    return step == Step.READY && holdsLease(now);
  }

  /** Writes the next table; the host must be ready. */
  void write(OwnershipTable next) {
    pendingTable = next;
    step = Step.WRITING;
    stepCall = host.call(new StoreCall.WriteTable(tableRevision, next));
  }

  /** Releases the lease. */
  void release() {
    if (leaseId != 0) {
      host.call(new StoreCall.ReleaseLeadership(leaseId));
    }
    leaseId = 0;
    step = Step.IDLE;
    stepCall = NO_CALL;
    renewCall = NO_CALL;
    startedEpoch = 0;
  }

  private long currentEpoch() {
    OwnershipTable table = host.table();
    return table == null ? 0 : table.epoch();
  }

  /** Handles a response; returns whether a newer table or configuration was installed. */
  boolean onResponse(long now, long callId, StoreResponse response) {
    if (callId == renewCall) {
      renewCall = NO_CALL;
      onRenewed(now, response);
      return false;
    }
    if (callId == watchCall) {
      watchCall = NO_CALL;
      return onConfiguration(now, response);
    }
    if (callId != stepCall) {
      releaseLateLease(response);
      return false;
    }
    stepCall = NO_CALL;
    return switch (step) {
      case ACQUIRING -> onAcquired(now, response);
      case READING -> onRead(now, response);
      case WRITING -> onWritten(now, response);
      case IDLE, READY -> false;
    };
  }

  private void releaseLateLease(StoreResponse response) {
    if (response instanceof StoreResponse.LeadershipAcquired a && a.leaseId() != leaseId) {
      host.call(new StoreCall.ReleaseLeadership(a.leaseId()));
    }
  }

  private boolean onAcquired(long now, StoreResponse response) {
    if (!(response instanceof StoreResponse.LeadershipAcquired a)) {
      releaseAndRetryLater(now);
      return false;
    }
    leaseId = a.leaseId();
    leaseExpiresAt = acquireSentAt + host.timing.storeLeaseNanos();
    renewSentAt = acquireSentAt;
    retryDelayNanos = MIN_RETRY_DELAY_NANOS;
    readTable();
    return false;
  }

  private void readTable() {
    step = Step.READING;
    stepCall = host.call(new StoreCall.ReadTable(host.self.dataCentre()));
  }

  private boolean onRead(long now, StoreResponse response) {
    if (!(response instanceof StoreResponse.TableRead r)) {
      releaseAndRetryLater(now);
      return false;
    }
    tableRevision = r.revision();
    OwnershipTable stored = r.table();
    OwnershipTable attempted = pendingTable;
    pendingTable = null;
    boolean installed = stored != null && host.install(stored);
    host.attesting = true;
    boolean ownWrite =
        stored != null && attempted != null && stored.operationId().equals(attempted.operationId());
    if (ownWrite && stored != null && stored.version() == host.version()) {
      step = Step.READY;
      startedEpoch = stored.epoch();
      return installed;
    }
    startEpoch(now);
    return installed;
  }

  /**
   * Writes the table in effect with the next epoch, which fences writes of earlier coordinators.
   */
  private void startEpoch(long now) {
    OwnershipTable current = host.table();
    if (current == null) {
      Configuration configuration = host.configuration();
      if (configuration == null || host.localMembers().isEmpty()) {
        releaseAndRetryLater(now);
        return;
      }
      ImmutableList<String> memberIds =
          host.localMembers().stream().map(Member::id).collect(ImmutableList.toImmutableList());
      current = OwnershipTable.create(host.self.dataCentre(), new Quorum(memberIds));
    }
    write(current.inNewEpoch(current.epoch() + 1, host.self.id(), host.newOperationId()));
  }

  private boolean onWritten(long now, StoreResponse response) {
    if (response instanceof StoreResponse.WriteDone w && w.written()) {
      tableRevision = w.revision();
      OwnershipTable written = checkNotNull(pendingTable);
      pendingTable = null;
      step = Step.READY;
      startedEpoch = written.epoch();
      return host.install(written);
    }
    if (holdsLease(now)) {
      readTable();
    } else {
      releaseAndRetryLater(now);
    }
    return false;
  }

  private void renewLease(long now) {
    if (renewCall == NO_CALL && now - renewSentAt >= host.timing.storeLeaseNanos() / 3) {
      renewSentAt = now;
      renewCall = host.call(new StoreCall.RenewLeadership(leaseId));
    }
  }

  private void onRenewed(long now, StoreResponse response) {
    if (response instanceof StoreResponse.LeadershipRenewed renewed && leaseId != 0) {
      if (renewed.alive()) {
        leaseExpiresAt = renewSentAt + host.timing.storeLeaseNanos();
      } else {
        releaseAndRetryLater(now);
      }
    }
  }

  private void watchConfiguration(long now) {
    if (watchCall == NO_CALL && now - nextWatchAt >= 0) {
      watchCall = host.call(new StoreCall.WatchConfiguration(configurationRecordRevision));
    }
  }

  private boolean onConfiguration(long now, StoreResponse response) {
    if (response instanceof StoreResponse.ConfigurationRead c) {
      nextWatchAt = now;
      configurationRecordRevision = c.revision();
      return c.configuration() != null && host.install(c.configuration());
    }
    nextWatchAt = now + MIN_RETRY_DELAY_NANOS;
    return false;
  }

  /** Releases the lease and schedules the next attempt to acquire it, with exponential backoff. */
  private void releaseAndRetryLater(long now) {
    release();
    retryAt = now + retryDelayNanos / 2 + random.nextLong(retryDelayNanos / 2);
    retryDelayNanos = Math.min(MAX_RETRY_DELAY_NANOS, retryDelayNanos * 2);
  }
}
