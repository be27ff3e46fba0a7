package org.cowslipmoor.testing.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.control.Renewal;
import org.cowslipmoor.core.control.RenewalResponse;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.ShardId;
import org.cowslipmoor.schema.target.RanRequest;
import org.cowslipmoor.schema.target.TargetFaults;
import org.cowslipmoor.schema.target.TargetReportAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Works on a target's requests: a number of slots, a bounded queue, and the checks of grants.
 * Thread-safe; its own lock is the only one, and callbacks run without it.
 */
final class TargetWork {
  private static final int MAX_RECORDS = 200_000;
  private static final double SMALLEST_SHARE = 0.5;

  private final TargetSettings settings;
  private final ScheduledExecutorService timer;
  private final SplittableRandom random;
  private final GrantBook book;
  private final long wallOffset =
      TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis()) - System.nanoTime();
  private final Deque<Task> queue = new ArrayDeque<>();
  private final List<RanRequest> ran = new ArrayList<>();
  private TargetFaults faults = TargetFaults.getDefaultInstance();
  private long frozenUntil;
  private int busy;
  private long served;
  private long refusedFence;
  private long shed;

  /** How the work on a request ended. */
  enum Outcome {
    /** The work is done. */
    DONE,
    /** No grant covers the request; it was not run. */
    NOT_OWNER,
    /** Slots and queue are full; it was not run. */
    OVERLOADED,
    /** Its deadline passed before a slot was free; it was not run. */
    DEADLINE,
    /** Its grant lapsed during the work; it may have had effects. */
    LAPSED
  }

  /** Hears how the work on a request ended. */
  interface Listener {
    /** Takes the outcome; called once. */
    void onEnd(Outcome outcome);
  }

  /**
   * Names the grant that a sender relies on.
   *
   * @param shard shard of the key
   * @param fence fence of the grant
   */
  record Claim(ShardId shard, Fence fence) {}

  /**
   * A request to be worked on.
   *
   * @param id name of the request
   * @param key its key; empty when it has none
   * @param claim the grant that the sender relies on; null when there is none
   * @param deadline time by which the work must have begun, in nanoseconds
   * @param extraNanos work beyond the usual, in nanoseconds
   * @param listener hears the outcome
   */
  record Task(
      String id,
      String key,
      @Nullable Claim claim,
      long deadline,
      long extraNanos,
      Listener listener) {}

  TargetWork(TargetSettings settings, String run, ScheduledExecutorService timer) {
    this.settings = settings;
    this.timer = timer;
    this.random = new SplittableRandom(settings.seed());
    this.book = new GrantBook(run);
  }

  /** Begins or queues a request, or refuses it. */
  void submit(Task task, long now) {
    Outcome refusal = accept(task, now);
    if (refusal != null) {
      task.listener().onEnd(refusal);
    }
  }

  synchronized RenewalResponse.Received renew(Renewal renewal, long now) {
    return book.renew(renewal, now);
  }

  /** Returns the wall-clock milliseconds of a time of the monotonic clock. */
  private long wallMs(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(wallOffset + nanos);
  }

  /** Returns the nanoseconds for which the target goes on answering nothing. */
  synchronized long frozenFor(long now) {
    return frozenUntil == 0 ? 0 : Math.max(0, frozenUntil - now);
  }

  synchronized void setFaults(TargetFaults f, long now) {
    faults = f;
    frozenUntil = f.getFreezeMs() == 0 ? 0 : now + TimeUnit.MILLISECONDS.toNanos(f.getFreezeMs());
  }

  synchronized int inFlight() {
    return busy;
  }

  synchronized int queued() {
    return queue.size();
  }

  synchronized TargetReportAnswer report() {
    return TargetReportAnswer.newBuilder()
        .setServed(served)
        .setRefusedFence(refusedFence)
        .setShed(shed)
        .addAllRan(ran)
        .build();
  }

  private synchronized @Nullable Outcome accept(Task task, long now) {
    if (faults.getShedAll() || (busy >= settings.slots() && queue.size() >= settings.queue())) {
      shed++;
      return Outcome.OVERLOADED;
    }
    if (busy >= settings.slots()) {
      queue.addLast(task);
      return null;
    }
    return begin(task, now);
  }

  private @Nullable Outcome begin(Task task, long now) {
    if (now - task.deadline() >= 0) {
      return Outcome.DEADLINE;
    }
    Claim checked = settings.checksGrants() ? task.claim() : null;
    if (checked != null && !book.begin(checked.shard(), checked.fence(), now)) {
      refusedFence++;
      return Outcome.NOT_OWNER;
    }
    busy++;
    timer.schedule(() -> finish(task, checked, now), workNanos(task), TimeUnit.NANOSECONDS);
    return null;
  }

  private long workNanos(Task task) {
    double share = SMALLEST_SHARE + random.nextDouble();
    long usual = (long) (share * TimeUnit.MICROSECONDS.toNanos(settings.workMicros()));
    return usual + task.extraNanos() + TimeUnit.MILLISECONDS.toNanos(faults.getExtraWorkMs());
  }

  private void finish(Task task, @Nullable Claim checked, long startedAt) {
    task.listener().onEnd(end(task, checked, startedAt, System.nanoTime()));
    startNext();
  }

  private synchronized Outcome end(Task task, @Nullable Claim checked, long startedAt, long now) {
    busy--;
    long until = checked == null ? now + 1 : book.end(checked.shard(), checked.fence());
    boolean lapsed = now >= until;
    // Work that outlived its grant ended, for everybody else, when the grant did.
    long endedAt = lapsed ? Math.max(startedAt, until) : now;
    if (ran.size() < MAX_RECORDS) {
      ran.add(
          RanRequest.newBuilder()
              .setRequest(task.id())
              .setKey(task.key())
              .setStartedMs(wallMs(startedAt))
              .setEndedMs(wallMs(endedAt))
              .build());
    }
    served++;
    return lapsed ? Outcome.LAPSED : Outcome.DONE;
  }

  private void startNext() {
    while (true) {
      Task next;
      Outcome refusal;
      synchronized (this) {
        if (busy >= settings.slots() || queue.isEmpty()) {
          return;
        }
        next = queue.removeFirst();
        refusal = begin(next, System.nanoTime());
      }
      if (refusal != null) {
        next.listener().onEnd(refusal);
      }
    }
  }
}
