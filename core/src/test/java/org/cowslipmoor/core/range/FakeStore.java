package org.cowslipmoor.core.range;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The store: one coordinator's lease and the table, which is written under the conditions of a term
 * and a revision. It may be cut off from hosts, be down, take the lease away, lose an answer and do
 * a call late.
 */
final class FakeStore {
  private static final long MS = VirtualTime.MS;
  private static final long CALL_TIMEOUT = 800 * MS;

  private final VirtualTime time;
  private final SplittableRandom random;
  private final Set<FakeHost> cutOff = new HashSet<>();
  private RangeTable table = RangeTable.empty();
  private long tableRevision;
  private long revision;
  private Leadership.Lease lease;
  private long leaseUntil;
  private boolean isDown;

  /** Time from a call to its execution, and from there to its answer. */
  long latency = 2 * MS;

  /** Part of the calls that are done but get no answer, and of those that are done late besides. */
  double lostShare;

  double lateShare;
  int writes;
  int renewals;

  /** How a call ended; as the platform's client tells it. */
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

  void cutOff(FakeHost host) {
    cutOff.add(host);
  }

  void reconnect(FakeHost host) {
    cutOff.remove(host);
  }

  boolean reaches(FakeHost host) {
    return !isDown && !cutOff.contains(host);
  }

  /** The store is away; leases go on to run meanwhile, or pause. */
  void goDown(long duration, boolean pausesLeases) {
    isDown = true;
    leaseUntil += pausesLeases ? duration : 0;
    time.schedule(duration, () -> isDown = false);
  }

  /** The coordinator's lease ends before its time. */
  void revoke() {
    lease = null;
  }

  boolean isVacant() {
    if (lease != null && time.now() - leaseUntil >= 0) {
      lease = null;
    }
    return lease == null;
  }

  /** Gives the coordination to a new lease at once; null when another one holds it. */
  Leadership.Lease claimNow() {
    if (!isVacant()) {
      return null;
    }
    revision++;
    lease = new Leadership.Lease(revision, revision);
    leaseUntil = time.now() + FakeHost.LEASE;
    return lease;
  }

  void claim(FakeHost host, Consumer<Leadership.Lease> answer) {
    call(host, this::claimNow, null, answer);
  }

  void renew(FakeHost host, Leadership.Lease renewed, Consumer<Result> answer) {
    call(host, () -> renewNow(renewed), Result.UNKNOWN, answer);
  }

  void read(FakeHost host, Consumer<Read> answer) {
    Read unknown = new Read(false, RangeTable.empty(), 0);
    call(host, () -> new Read(true, table, tableRevision), unknown, answer);
  }

  void write(
      FakeHost host,
      RangeTable newTable,
      long ifRevision,
      Leadership.Lease writer,
      Consumer<Written> answer) {
    Written unknown = new Written(Result.UNKNOWN, 0);
    call(host, () -> writeNow(newTable, ifRevision, writer), unknown, answer);
  }

  private Result renewNow(Leadership.Lease renewed) {
    if (isVacant() || !renewed.equals(lease)) {
      return Result.REFUSED;
    }
    leaseUntil = time.now() + FakeHost.LEASE;
    renewals++;
    return Result.DONE;
  }

  private Written writeNow(RangeTable newTable, long ifRevision, Leadership.Lease writer) {
    if (isVacant() || lease.term() != writer.term() || ifRevision != tableRevision) {
      return new Written(Result.REFUSED, 0);
    }
    revision++;
    tableRevision = revision;
    table = newTable;
    writes++;
    return new Written(Result.DONE, revision);
  }

  private <T> void call(FakeHost host, Supplier<T> work, T unknown, Consumer<T> answer) {
    boolean isLate = random.nextDouble() < lateShare;
    boolean isLost = isLate || random.nextDouble() < lostShare;
    if (!reaches(host) || isLost) {
      host.onTimer(CALL_TIMEOUT, () -> answer.accept(unknown));
    }
    if (!reaches(host)) {
      return;
    }
    long delay = isLate ? latency + random.nextLong(5_000 * MS) : latency;
    time.schedule(
        delay,
        () -> {
          T result = work.get();
          if (!isLost) {
            time.schedule(latency, () -> host.onAnswer(() -> answer.accept(result)));
          }
        });
  }
}
