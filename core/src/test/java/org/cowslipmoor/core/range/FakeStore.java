package org.cowslipmoor.core.range;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cowslipmoor.core.fleet.StorePlace;

/**
 * A simulated store with the coordinator's lease and the range table, which is written on condition
 * of a term and a revision. It can be disconnected from hosts, be unavailable, revoke the lease,
 * lose responses and execute calls late.
 */
final class FakeStore {
  private static final long NANOS_PER_MILLI = VirtualTime.NANOS_PER_MILLI;
  private static final long CALL_TIMEOUT_NANOS = 800 * NANOS_PER_MILLI;

  private final VirtualTime time;
  private final SplittableRandom random;
  private final Set<FakeHost> disconnected = new HashSet<>();
  private RangeTable table = RangeTable.empty();
  private long tableRevision;
  private long era;
  private long revision;
  private Leadership.Lease lease;
  private long leaseUntil;
  private boolean isDown;

  /** Time from a call to its execution, and from the execution to its response. */
  long latencyNanos = 2 * NANOS_PER_MILLI;

  /** Probability that a call is executed without a response. */
  double lostResponseProbability;

  /** Probability that a call is executed late and without a response. */
  double lateCallProbability;

  int writes;
  int renewals;

  /** Outcome of a call, as the platform's client reports it. */
  enum Result {
    DONE,
    REFUSED,
    UNKNOWN
  }

  record Written(Result result, long revision) {}

  record Read(boolean known, RangeTable table, long revision) {}

  FakeStore(VirtualTime time, SplittableRandom random) {
    this.time = time;
    this.random = random;
  }

  RangeTable table() {
    return table;
  }

  void disconnect(FakeHost host) {
    disconnected.add(host);
  }

  void reconnect(FakeHost host) {
    disconnected.remove(host);
  }

  boolean isReachableBy(FakeHost host) {
    return !isDown && !disconnected.contains(host);
  }

  /** Makes the store unavailable for a time in which leases either go on or are paused. */
  void makeUnavailable(long durationNanos, boolean pausesLeases) {
    isDown = true;
    leaseUntil += pausesLeases ? durationNanos : 0;
    time.schedule(durationNanos, () -> isDown = false);
  }

  /** Ends the coordinator's lease before it expires. */
  void revoke() {
    lease = null;
  }

  boolean isVacant() {
    if (lease != null && time.now() - leaseUntil >= 0) {
      lease = null;
    }
    return lease == null;
  }

  /** Returns a new lease of the coordinator's role; null if another one is valid. */
  Leadership.Lease claimNow() {
    if (!isVacant()) {
      return null;
    }
    revision++;
    lease = new Leadership.Lease(revision, new StorePlace(era, revision));
    leaseUntil = time.now() + FakeHost.LEASE_NANOS;
    return lease;
  }

  void claim(FakeHost host, Consumer<Leadership.Lease> callback) {
    call(host, this::claimNow, null, callback);
  }

  void renew(FakeHost host, Leadership.Lease renewed, Consumer<Result> callback) {
    call(host, () -> renewNow(renewed), Result.UNKNOWN, callback);
  }

  void read(FakeHost host, Consumer<Read> callback) {
    Read unknown = new Read(false, RangeTable.empty(), 0);
    call(host, () -> new Read(true, table, tableRevision), unknown, callback);
  }

  void write(
      FakeHost host,
      RangeTable newTable,
      long ifRevision,
      Leadership.Lease writer,
      Consumer<Written> callback) {
    Written unknown = new Written(Result.UNKNOWN, 0);
    call(host, () -> writeNow(newTable, ifRevision, writer), unknown, callback);
  }

  private Result renewNow(Leadership.Lease renewed) {
    if (isVacant() || !renewed.equals(lease)) {
      return Result.REFUSED;
    }
    leaseUntil = time.now() + FakeHost.LEASE_NANOS;
    renewals++;
    return Result.DONE;
  }

  private Written writeNow(RangeTable newTable, long ifRevision, Leadership.Lease writer) {
    if (isVacant() || !lease.term().equals(writer.term()) || ifRevision != tableRevision) {
      return new Written(Result.REFUSED, 0);
    }
    revision++;
    tableRevision = revision;
    table = newTable;
    writes++;
    return new Written(Result.DONE, revision);
  }

  private <T> void call(FakeHost host, Supplier<T> work, T unknown, Consumer<T> callback) {
    boolean isLate = random.nextDouble() < lateCallProbability;
    boolean isLost = isLate || random.nextDouble() < lostResponseProbability;
    if (!isReachableBy(host) || isLost) {
      host.schedule(CALL_TIMEOUT_NANOS, () -> callback.accept(unknown));
    }
    if (!isReachableBy(host)) {
      return;
    }
    long delayNanos =
        isLate ? latencyNanos + random.nextLong(5_000 * NANOS_PER_MILLI) : latencyNanos;
    time.schedule(
        delayNanos,
        () -> {
          T result = work.get();
          if (!isLost) {
            time.schedule(latencyNanos, () -> host.onResponse(() -> callback.accept(result)));
          }
        });
  }
}
