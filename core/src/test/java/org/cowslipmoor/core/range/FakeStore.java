package org.cowslipmoor.core.range;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cowslipmoor.core.fleet.MemberList;
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
  private MemberList members = MemberList.empty();
  private long tableEra;
  private Copy copy = new Copy(RangeTable.empty(), 0, 0, MemberList.empty(), 0);
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

  /** The table and the members with the era in which the table was written. */
  record Records(boolean known, TableRestoration.Records records, long revision, long tableEra) {}

  /** What the store comes back from. */
  private record Copy(
      RangeTable table, long tableRevision, long tableEra, MemberList members, long revision) {}

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

  /** Takes the copy that the store comes back from. */
  void takeCopy() {
    copy = new Copy(table, tableRevision, tableEra, members, revision);
  }

  /** Comes back from the last copy: what was written since is lost, leases too. */
  void comeBackOlder() {
    era++;
    lease = null;
    table = copy.table();
    tableRevision = copy.tableRevision();
    tableEra = copy.tableEra();
    members = copy.members();
    revision = copy.revision();
  }

  /** Comes back without a table, and without members. */
  void comeBackEmpty() {
    copy = new Copy(RangeTable.empty(), 0, 0, MemberList.empty(), 1);
    comeBackOlder();
  }

  long tableEra() {
    return tableEra;
  }

  long era() {
    return era;
  }

  MemberList members() {
    return members;
  }

  void setMembers(MemberList list) {
    members = list;
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

  void readRecords(FakeHost host, Consumer<Records> callback) {
    Records unknown = new Records(false, TableRestoration.Records.NONE, 0, 0);
    call(
        host,
        () ->
            new Records(
                true, new TableRestoration.Records(table, members), tableRevision, tableEra),
        unknown,
        callback);
  }

  /** Writes the restored records if the store has them as they were read. */
  void writeRestored(
      FakeHost host,
      TableRestoration.Records records,
      long ifRevision,
      Leadership.Lease writer,
      Consumer<Written> callback) {
    call(
        host,
        () -> {
          Written written = writeNow(records.table(), ifRevision, writer);
          members = written.result() == Result.DONE ? records.members() : members;
          return written;
        },
        new Written(Result.UNKNOWN, 0),
        callback);
  }

  private Result renewNow(Leadership.Lease renewed) {
    // The store knows no eras of its callers, and gives out ids and revisions again.
    if (isVacant() || renewed.id() != lease.id()) {
      return Result.REFUSED;
    }
    leaseUntil = time.now() + FakeHost.LEASE_NANOS;
    renewals++;
    return Result.DONE;
  }

  private Written writeNow(RangeTable newTable, long ifRevision, Leadership.Lease writer) {
    if (isVacant()
        || lease.term().revision() != writer.term().revision()
        || ifRevision != tableRevision) {
      return new Written(Result.REFUSED, 0);
    }
    revision++;
    tableRevision = revision;
    table = newTable;
    tableEra = era;
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
    long sentInEra = host.knownEra();
    long delayNanos =
        isLate ? latencyNanos + random.nextLong(5_000 * NANOS_PER_MILLI) : latencyNanos;
    time.schedule(
        delayNanos,
        () -> {
          T result = work.get();
          long executedInEra = era;
          if (!isLost) {
            time.schedule(
                latencyNanos,
                () ->
                    host.onResponse(
                        () -> {
                          host.onEra(executedInEra);
                          // A response of another era than that of the call tells nothing.
                          boolean isOwn = sentInEra == host.knownEra() || host.ignoresEra;
                          callback.accept(isOwn ? result : unknown);
                        }));
          }
        });
  }
}
