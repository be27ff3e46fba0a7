package org.cowslipmoor.daemon.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.cowslipmoor.core.balance.LoadBalancingPolicy;
import org.cowslipmoor.core.balance.TargetChooser;
import org.cowslipmoor.core.balance.TargetHealth;
import org.cowslipmoor.core.balance.TargetLoadView;
import org.cowslipmoor.core.configuration.Priority;
import org.cowslipmoor.core.configuration.Target;
import org.cowslipmoor.core.limit.AdaptiveLimit;
import org.cowslipmoor.core.limit.AdmissionQueue;
import org.jspecify.annotations.Nullable;

/**
 * Limits this host's requests in progress at each target, and queues the requests beyond the limit.
 *
 * <p>Thread-safe. No other lock is taken while its lock is held; callbacks run without it.
 */
public final class TargetLimiter {
  private static final int QUEUE_CAPACITY = 256;
  private static final double INITIAL_LIMIT = 2;

  /** Upper bound of this host's limit at a target, as a multiple of the target's slots. */
  private static final double MAX_LIMIT_PER_SLOT = 4;

  /** Maximum fraction of a service's targets that may be ejected because they fail. */
  private static final double MAX_EJECTED_SHARE = 1.0 / 3;

  private final Map<String, WaitQueue> queues = new HashMap<>();
  private final Map<String, AdaptiveLimit> limits = new HashMap<>();
  private final TargetHealth health = TargetHealth.create(MAX_EJECTED_SHARE);

  /** How a request at a target ended. */
  public enum Completion {
    /** The target responded. */
    RESPONDED,
    /** The target shed the request. */
    SHED,
    /** The target did not respond before the timeout. */
    TIMED_OUT,
    /** The target was unreachable, or the connection failed before a response began. */
    FAILED,
    /** The target or host is stopping and did not run the request. */
    STOPPING,
    /** The result says nothing about the health of the target. */
    OTHER
  }

  /**
   * A request to be assigned to a target.
   *
   * @param queue name of the queue in which the request waits; all requests in a queue have the
   *     same targets
   * @param targets targets that may serve the request, at least one
   * @param priority priority of the request in the queue
   * @param deadline {@link System#nanoTime} by which the request must have a response
   * @param onAssigned receives the chosen target, which must be released later
   * @param onReroute routes the request anew, since its targets may have changed
   * @param onReject rejects the request as not run
   */
  public record PendingRequest(
      String queue,
      List<Target> targets,
      Priority priority,
      long deadline,
      Consumer<Target> onAssigned,
      Runnable onReroute,
      Runnable onReject) {}

  /** Assigns a request to a target at once, queues it, or rejects it when the queue is full. */
  public void submit(PendingRequest request, long now) {
    List<Runnable> calls = new ArrayList<>();
    synchronized (this) {
      WaitQueue waitQueue = queues.computeIfAbsent(request.queue(), unused -> new WaitQueue());
      Target target =
          waitQueue.waiting.size() == 0 ? acquire(waitQueue, request.targets(), now) : null;
      if (target != null) {
        calls.add(() -> request.onAssigned().accept(target));
      } else {
        AdmissionQueue.Offer<PendingRequest> offer =
            waitQueue.waiting.offer(
                new AdmissionQueue.Entry<>(request, request.priority(), request.deadline()), now);
        offer.displaced().ifPresent(d -> calls.add(d.onReject()));
        if (!offer.accepted()) {
          calls.add(request.onReject());
        }
      }
    }
    calls.forEach(Runnable::run);
  }

  /** Releases a request's permit at a target and assigns the next requests of its queue. */
  public void release(String queue, Target target, Completion completion, long now) {
    List<Runnable> calls = new ArrayList<>();
    synchronized (this) {
      recordOutcome(target, completion, now);
      WaitQueue waitQueue = queues.get(queue);
      if (waitQueue != null) {
        admit(waitQueue, now, calls);
        removeIfIdle(queue, waitQueue);
      }
    }
    calls.forEach(Runnable::run);
  }

  /**
   * Rejects queued requests whose deadlines have passed, and assigns those whose targets are usable
   * again.
   */
  public void expire(long now) {
    List<Runnable> calls = new ArrayList<>();
    synchronized (this) {
      for (WaitQueue waitQueue : queues.values()) {
        waitQueue.waiting.expire(now).forEach(r -> calls.add(r.onReject()));
        admit(waitQueue, now, calls);
      }
    }
    calls.forEach(Runnable::run);
  }

  /** Reroutes all queued requests, after owners or targets have changed. */
  public void onOwnersChanged() {
    List<Runnable> calls = new ArrayList<>();
    synchronized (this) {
      queues.values().forEach(q -> q.waiting.clear().forEach(r -> calls.add(r.onReroute())));
      limits.values().removeIf(l -> l.inProgress() == 0);
    }
    calls.forEach(Runnable::run);
  }

  private void recordOutcome(Target target, Completion completion, long now) {
    AdaptiveLimit limit = limit(target);
    switch (completion) {
      case RESPONDED -> {
        limit.onResponse();
        health.onResponse(target.id());
      }
      case SHED -> limit.onOverload(now);
      case TIMED_OUT -> {
        limit.onOverload(now);
        health.onFailure(target.id(), now);
      }
      case FAILED -> {
        limit.onRelease();
        health.onFailure(target.id(), now);
      }
      case STOPPING -> {
        limit.onRelease();
        health.eject(target.id(), now);
      }
      case OTHER -> limit.onRelease();
      default -> throw new IllegalArgumentException("unknown completion: " + completion);
    }
  }

  private void admit(WaitQueue waitQueue, long now, List<Runnable> calls) {
    while (waitQueue.waiting.size() > 0) {
      Optional<Target> target = Optional.ofNullable(acquire(waitQueue, waitQueue.targets, now));
      if (target.isEmpty()) {
        return;
      }
      PendingRequest next = waitQueue.waiting.poll(now).orElseThrow().request();
      calls.add(() -> next.onAssigned().accept(target.get()));
    }
  }

  /** Acquires a permit at one of the targets; returns null when none has capacity. */
  private @Nullable Target acquire(WaitQueue waitQueue, List<Target> targets, long now) {
    waitQueue.targets = targets;
    List<Target> available =
        health.usable(targets, Target::id, now).stream()
            .filter(t -> limit(t).hasCapacity())
            .toList();
    if (available.isEmpty()) {
      return null;
    }
    List<TargetLoadView> loads =
        available.stream()
            .map(t -> new TargetLoadView(t.id(), limit(t).inProgress(), 0, t.slots()))
            .toList();
    Target chosen = available.get(waitQueue.chooser.choose(loads));
    limit(chosen).tryAcquire();
    health.onSend(chosen.id(), now);
    return chosen;
  }

  private AdaptiveLimit limit(Target target) {
    return limits.computeIfAbsent(
        target.id(),
        unused -> AdaptiveLimit.of(INITIAL_LIMIT, MAX_LIMIT_PER_SLOT * target.slots()));
  }

  private void removeIfIdle(String queue, WaitQueue waitQueue) {
    boolean idle = waitQueue.targets.stream().allMatch(t -> limit(t).inProgress() == 0);
    if (idle && waitQueue.waiting.size() == 0) {
      queues.remove(queue);
    }
  }

  /** A queue of requests that have the same targets. */
  private static final class WaitQueue {
    final AdmissionQueue<PendingRequest> waiting = AdmissionQueue.create(QUEUE_CAPACITY);
    final TargetChooser chooser =
        TargetChooser.of(new LoadBalancingPolicy.LeastInFlightRoundRobin(), new SplittableRandom());
    List<Target> targets = List.of();
  }
}
