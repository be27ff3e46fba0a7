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
 * Holds a hub's dealings with the store: the lease that makes it the coordinator, and the writes of
 * the ownership table.
 *
 * <p>A lost answer is settled by reading the record back and comparing the operation's id.
 */
final class LeadershipSession {
  private static final long FIRST_RETRY = 200_000_000L;
  private static final long LONGEST_RETRY = 2_000_000_000L;
  private static final long NO_CALL = 0;

  private final HostState host;
  private final RandomGenerator random;
  private Step step = Step.IDLE;
  private long lease;
  private long leaseUntil;
  private long tableRevision;
  private @Nullable OwnershipTable writing;
  private long stepCall = NO_CALL;
  private long acquireSentAt;
  private long retryAt;
  private long retryDelay = FIRST_RETRY;
  private long keepCall = NO_CALL;
  private long keepSentAt;
  private long watchCall = NO_CALL;
  private long watchAt;
  private long configurationRecord;
  private long claimedEpoch;

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
    this.watchAt = now;
  }

  /** Makes the calls that are due. */
  void tick(long now) {
    if (step != Step.IDLE && step != Step.ACQUIRING && now - leaseUntil >= 0) {
      lose(now);
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
      keepLease(now);
      watchConfiguration(now);
    }
  }

  /** Tells whether the store's lease makes this host the coordinator, by its own clock. */
  boolean holdsLease(long now) {
    return lease != 0 && leaseUntil - now > 0;
  }

  /** Returns the end of the lease on the host's clock; meaningful while it is held. */
  long leaseUntil() {
    return leaseUntil;
  }

  /** Tells whether the host has written the table under its own epoch since it got the lease. */
  boolean hasClaimed() {
    return claimedEpoch != 0 && claimedEpoch == epochInForce();
  }

  /** Tells whether the host is the coordinator and has no write under way. */
  boolean isReady(long now) {
    return step == Step.READY && holdsLease(now);
  }

  /** Writes the next table; the host must be ready. */
  void write(OwnershipTable next) {
    writing = next;
    step = Step.WRITING;
    stepCall = host.call(new StoreCall.WriteTable(tableRevision, next));
  }

  /** Gives up the lease. */
  void release() {
    if (lease != 0) {
      host.call(new StoreCall.ReleaseLeadership(lease));
    }
    lease = 0;
    step = Step.IDLE;
    stepCall = NO_CALL;
    keepCall = NO_CALL;
    claimedEpoch = 0;
  }

  private long epochInForce() {
    OwnershipTable table = host.table();
    return table == null ? 0 : table.epoch();
  }

  /** Takes an answer; returns whether a newer table or configuration was installed. */
  boolean onResponse(long now, long call, StoreResponse answer) {
    if (call == keepCall) {
      keepCall = NO_CALL;
      onKept(now, answer);
      return false;
    }
    if (call == watchCall) {
      watchCall = NO_CALL;
      return onConfiguration(now, answer);
    }
    if (call != stepCall) {
      releaseLateLease(answer);
      return false;
    }
    stepCall = NO_CALL;
    return switch (step) {
      case ACQUIRING -> onAcquired(now, answer);
      case READING -> onRead(now, answer);
      case WRITING -> onWritten(now, answer);
      case IDLE, READY -> false;
    };
  }

  private void releaseLateLease(StoreResponse answer) {
    if (answer instanceof StoreResponse.LeadershipAcquired a && a.leaseId() != lease) {
      host.call(new StoreCall.ReleaseLeadership(a.leaseId()));
    }
  }

  private boolean onAcquired(long now, StoreResponse answer) {
    if (!(answer instanceof StoreResponse.LeadershipAcquired a)) {
      lose(now);
      return false;
    }
    lease = a.leaseId();
    leaseUntil = acquireSentAt + host.timing.storeLeaseNanos();
    keepSentAt = acquireSentAt;
    retryDelay = FIRST_RETRY;
    read();
    return false;
  }

  private void read() {
    step = Step.READING;
    stepCall = host.call(new StoreCall.ReadTable(host.self.dataCentre()));
  }

  private boolean onRead(long now, StoreResponse answer) {
    if (!(answer instanceof StoreResponse.TableRead r)) {
      lose(now);
      return false;
    }
    tableRevision = r.revision();
    OwnershipTable stored = r.table();
    OwnershipTable tried = writing;
    writing = null;
    boolean installed = stored != null && host.install(stored);
    host.attesting = true;
    boolean ownWrite =
        stored != null && tried != null && stored.operationId().equals(tried.operationId());
    if (ownWrite && stored != null && stored.version() == host.version()) {
      step = Step.READY;
      claimedEpoch = stored.epoch();
      return installed;
    }
    claim(now);
    return installed;
  }

  /** Writes the table in force under the next epoch, which fences earlier coordinators' writes. */
  private void claim(long now) {
    OwnershipTable base = host.table();
    if (base == null) {
      Configuration configuration = host.configuration();
      if (configuration == null || host.localMembers().isEmpty()) {
        lose(now);
        return;
      }
      ImmutableList<String> ids =
          host.localMembers().stream().map(Member::id).collect(ImmutableList.toImmutableList());
      base = OwnershipTable.create(host.self.dataCentre(), new Quorum(ids));
    }
    write(base.succeed(base.epoch() + 1, host.self.id(), host.newOperationId()));
  }

  private boolean onWritten(long now, StoreResponse answer) {
    if (answer instanceof StoreResponse.WriteDone w && w.written()) {
      tableRevision = w.revision();
      OwnershipTable written = checkNotNull(writing);
      writing = null;
      step = Step.READY;
      claimedEpoch = written.epoch();
      return host.install(written);
    }
    if (holdsLease(now)) {
      read();
    } else {
      lose(now);
    }
    return false;
  }

  private void keepLease(long now) {
    if (keepCall == NO_CALL && now - keepSentAt >= host.timing.storeLeaseNanos() / 3) {
      keepSentAt = now;
      keepCall = host.call(new StoreCall.RenewLeadership(lease));
    }
  }

  private void onKept(long now, StoreResponse answer) {
    if (answer instanceof StoreResponse.LeadershipRenewed k && lease != 0) {
      if (k.alive()) {
        leaseUntil = keepSentAt + host.timing.storeLeaseNanos();
      } else {
        lose(now);
      }
    }
  }

  private void watchConfiguration(long now) {
    if (watchCall == NO_CALL && now - watchAt >= 0) {
      watchCall = host.call(new StoreCall.WatchConfiguration(configurationRecord));
    }
  }

  private boolean onConfiguration(long now, StoreResponse answer) {
    if (answer instanceof StoreResponse.ConfigurationRead c) {
      watchAt = now;
      configurationRecord = c.revision();
      return c.configuration() != null && host.install(c.configuration());
    }
    watchAt = now + FIRST_RETRY;
    return false;
  }

  private void lose(long now) {
    release();
    retryAt = now + retryDelay / 2 + random.nextLong(retryDelay / 2);
    retryDelay = Math.min(LONGEST_RETRY, retryDelay * 2);
  }
}
