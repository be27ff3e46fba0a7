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
 * Executes a target's requests with a number of slots, a bounded queue and checks of grants.
 * Thread-safe; callbacks run without its lock.
 */
final class TargetRequestExecutor {
  private static final int MAX_RECORDS = 200_000;
  private static final double MIN_WORK_FACTOR = 0.5;

  private final TargetSettings settings;
  private final ScheduledExecutorService timer;
  private final SplittableRandom random;
  private final GrantRegistry grants;
  private final long wallClockOffsetNanos =
      TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis()) - System.nanoTime();
  private final Deque<Task> queue = new ArrayDeque<>();
  private final List<RanRequest> completedRequests = new ArrayList<>();
  private TargetFaults faults = TargetFaults.getDefaultInstance();
  private long frozenUntil;
  private int busySlots;
  private long served;
  private long rejectedByFence;
  private long shed;

  /** Outcome of a request. */
  enum Outcome {
    /** The request was completed. */
    DONE,
    /** No grant covered the request; it was not run. */
    NOT_OWNER,
    /** Slots and queue were full, or a fault sheds all load; the request was not run. */
    OVERLOADED,
    /** The deadline passed before a slot was free; the request was not run. */
    DEADLINE,
    /** The grant expired while the request was in progress; it may have had effects. */
    LAPSED
  }

  /** Receives the outcome of a request. */
  interface Listener {
    /** Called once, with the outcome. */
    void onEnd(Outcome outcome);
  }

  /**
   * Identifies the grant that a sender relies on.
   *
   * @param shard shard of the key
   * @param fence fence of the grant
   */
  record Claim(ShardId shard, Fence fence) {}

  /**
   * A request to execute.
   *
   * @param id id of the request
   * @param key its key; empty when it has none
   * @param claim the grant that the sender relies on; null when there is none
   * @param deadline time by which execution must have begun, in nanoseconds
   * @param extraNanos additional processing time, in nanoseconds
   * @param listener receives the outcome
   */
  record Task(
      String id,
      String key,
      @Nullable Claim claim,
      long deadline,
      long extraNanos,
      Listener listener) {}

  TargetRequestExecutor(
      TargetSettings settings, String incarnation, ScheduledExecutorService timer) {
    this.settings = settings;
    this.timer = timer;
    this.random = new SplittableRandom(settings.seed());
    this.grants = new GrantRegistry(incarnation);
  }

  /** Begins, queues or rejects a request. */
  void submit(Task task, long now) {
    Outcome rejection = accept(task, now);
    if (rejection != null) {
      task.listener().onEnd(rejection);
    }
  }

  synchronized RenewalResponse.Received renew(Renewal renewal, long now) {
    return grants.renew(renewal, now);
  }

  /** Converts a time of the monotonic clock in nanoseconds to wall-clock time in milliseconds. */
  private long toWallClockMillis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(wallClockOffsetNanos + nanos);
  }

  /** Returns the time for which the target remains frozen, in nanoseconds. */
  synchronized long frozenFor(long now) {
    return frozenUntil == 0 ? 0 : Math.max(0, frozenUntil - now);
  }

  synchronized void setFaults(TargetFaults newFaults, long now) {
    faults = newFaults;
    frozenUntil =
        newFaults.getFreezeMs() == 0
            ? 0
            : now + TimeUnit.MILLISECONDS.toNanos(newFaults.getFreezeMs());
  }

  synchronized int inFlight() {
    return busySlots;
  }

  synchronized int queued() {
    return queue.size();
  }

  synchronized TargetReportAnswer report() {
    return TargetReportAnswer.newBuilder()
        .setServed(served)
        .setRefusedFence(rejectedByFence)
        .setShed(shed)
        .addAllRan(completedRequests)
        .build();
  }

  private synchronized @Nullable Outcome accept(Task task, long now) {
    if (faults.getShedAll()
        || (busySlots >= settings.slots() && queue.size() >= settings.queue())) {
      shed++;
      return Outcome.OVERLOADED;
    }
    if (busySlots >= settings.slots()) {
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
    if (checked != null && !grants.begin(checked.shard(), checked.fence(), now)) {
      rejectedByFence++;
      return Outcome.NOT_OWNER;
    }
    busySlots++;
    timer.schedule(() -> finish(task, checked, now), workNanos(task), TimeUnit.NANOSECONDS);
    return null;
  }

  private long workNanos(Task task) {
    double factor = MIN_WORK_FACTOR + random.nextDouble();
    long normalNanos = (long) (factor * TimeUnit.MICROSECONDS.toNanos(settings.workMicros()));
    return normalNanos + task.extraNanos() + TimeUnit.MILLISECONDS.toNanos(faults.getExtraWorkMs());
  }

  private void finish(Task task, @Nullable Claim checked, long startedAt) {
    task.listener().onEnd(end(task, checked, startedAt, System.nanoTime()));
    startNext();
  }

  private synchronized Outcome end(Task task, @Nullable Claim checked, long startedAt, long now) {
    busySlots--;
    long coveredUntil = checked == null ? now + 1 : grants.end(checked.shard(), checked.fence());
    boolean expired = now >= coveredUntil;
    // Other nodes consider work that takes longer than its grant as ended when the grant expires.
    long endedAt = expired ? Math.max(startedAt, coveredUntil) : now;
    if (completedRequests.size() < MAX_RECORDS) {
      completedRequests.add(
          RanRequest.newBuilder()
              .setRequest(task.id())
              .setKey(task.key())
              .setStartedMs(toWallClockMillis(startedAt))
              .setEndedMs(toWallClockMillis(endedAt))
              .build());
    }
    served++;
    return expired ? Outcome.LAPSED : Outcome.DONE;
  }

  private void startNext() {
    while (true) {
      Task next;
      Outcome rejection;
      synchronized (this) {
        if (busySlots >= settings.slots() || queue.isEmpty()) {
          return;
        }
        next = queue.removeFirst();
        rejection = begin(next, System.nanoTime());
      }
      if (rejection != null) {
        next.listener().onEnd(rejection);
      }
    }
  }
}
