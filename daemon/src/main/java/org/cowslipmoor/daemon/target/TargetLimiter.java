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
 * Limits this host's requests in progress at each target, and keeps those that wait for a place.
 *
 * <p>Thread-safe. Its lock is the innermost one; callbacks run without it.
 */
public final class TargetLimiter {
  private static final int QUEUE_CAPACITY = 256;
  private static final double INITIAL_LIMIT = 2;

  /** Most requests in progress of one host at a target, as a multiple of the target's slots. */
  private static final double MAX_LIMIT_PER_SLOT = 4;

  /** Largest share of a service's targets that may be out of the choice because they fail. */
  private static final double MAX_EJECTED_FRACTION = 1.0 / 3;

  private final Map<String, WaitQueue> queues = new HashMap<>();
  private final Map<String, AdaptiveLimit> limits = new HashMap<>();
  private final TargetHealth health = TargetHealth.create(MAX_EJECTED_FRACTION);

  /** How a request left its target. */
  public enum Completion {
    /** It was answered. */
    ANSWERED,
    /** The target shed it. */
    SHED,
    /** The target did not answer in time. */
    TIMED_OUT,
    /** The target could not be reached, or the connection broke before an answer began. */
    FAILED,
    /** It says that it is stopping, and did not run the request. */
    STOPPING,
    /** Nothing was learned about the target. */
    OTHER
  }

  /**
   * A request that asks for a place.
   *
   * @param queue names the line in which it waits; all waiters of a line ask for the same targets
   * @param targets targets that may serve it, at least one
   * @param priority its rank
   * @param deadline time by which it must be answered, in nanoseconds
   * @param onAssigned takes the chosen target, which must be left again
   * @param onReroute is to look for its targets again, since they may have changed
   * @param onReject is to be refused as not run
   */
  public record PendingRequest(
      String queue,
      List<Target> targets,
      Priority priority,
      long deadline,
      Consumer<Target> onAssigned,
      Runnable onReroute,
      Runnable onReject) {}

  /** Gives a waiter a place now or later, or refuses it. */
  public void submit(PendingRequest w, long now) {
    List<Runnable> calls = new ArrayList<>();
    synchronized (this) {
      WaitQueue waitQueue = queues.computeIfAbsent(w.queue(), unused -> new WaitQueue());
      Target target = waitQueue.waiting.size() == 0 ? acquire(waitQueue, w.targets(), now) : null;
      if (target != null) {
        calls.add(() -> w.onAssigned().accept(target));
      } else {
        AdmissionQueue.Offer<PendingRequest> offer =
            waitQueue.waiting.offer(new AdmissionQueue.Entry<>(w, w.priority(), w.deadline()), now);
        offer.displaced().ifPresent(d -> calls.add(d.onReject()));
        if (!offer.accepted()) {
          calls.add(w.onReject());
        }
      }
    }
    calls.forEach(Runnable::run);
  }

  /** Gives a place back and lets the next waiters of its line go. */
  public void release(String queue, Target target, Completion how, long now) {
    List<Runnable> calls = new ArrayList<>();
    synchronized (this) {
      recordOutcome(target, how, now);
      WaitQueue waitQueue = queues.get(queue);
      if (waitQueue != null) {
        admit(waitQueue, now, calls);
        removeIfIdle(queue, waitQueue);
      }
    }
    calls.forEach(Runnable::run);
  }

  /** Refuses the waiters whose deadlines have passed; lets those go whose targets are back. */
  public void expire(long now) {
    List<Runnable> calls = new ArrayList<>();
    synchronized (this) {
      for (WaitQueue waitQueue : queues.values()) {
        waitQueue.waiting.expire(now).forEach(w -> calls.add(w.onReject()));
        admit(waitQueue, now, calls);
      }
    }
    calls.forEach(Runnable::run);
  }

  /** Lets all waiters look for their targets again, after owners or targets have changed. */
  public void onOwnersChanged() {
    List<Runnable> calls = new ArrayList<>();
    synchronized (this) {
      queues.values().forEach(l -> l.waiting.clear().forEach(w -> calls.add(w.onReroute())));
      limits.values().removeIf(l -> l.inProgress() == 0);
    }
    calls.forEach(Runnable::run);
  }

  private void recordOutcome(Target target, Completion how, long now) {
    AdaptiveLimit limit = limit(target);
    switch (how) {
      case ANSWERED -> {
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
      default -> throw new IllegalArgumentException("unknown way to leave: " + how);
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

  /** Takes a place at one of the targets that have room; returns null when none has. */
  private @Nullable Target acquire(WaitQueue waitQueue, List<Target> targets, long now) {
    waitQueue.targets = targets;
    List<Target> free =
        health.usable(targets, Target::id, now).stream()
            .filter(t -> limit(t).hasCapacity())
            .toList();
    if (free.isEmpty()) {
      return null;
    }
    List<TargetLoadView> loads =
        free.stream()
            .map(t -> new TargetLoadView(t.id(), limit(t).inProgress(), 0, t.slots()))
            .toList();
    Target chosen = free.get(waitQueue.chooser.choose(loads));
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

  /** The requests that ask for the same targets. */
  private static final class WaitQueue {
    final AdmissionQueue<PendingRequest> waiting = AdmissionQueue.create(QUEUE_CAPACITY);
    final TargetChooser chooser =
        TargetChooser.of(new LoadBalancingPolicy.LeastInFlightRoundRobin(), new SplittableRandom());
    List<Target> targets = List.of();
  }
}
