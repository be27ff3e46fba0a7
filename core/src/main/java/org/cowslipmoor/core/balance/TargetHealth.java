package org.cowslipmoor.core.balance;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Detects failing targets by the outcomes of this host's own requests and ejects them for a limited
 * time (passive outlier detection). When an ejection ends, the target receives one trial request;
 * if that fails, the target is ejected for twice as long. The share of a service's targets that are
 * ejected at the same time is bounded, so that a fault of this host's own network does not eject
 * all of them. Targets that the coordinator publishes as failing for all hosts are ejected as well,
 * and tried by the host that it names. Not thread-safe; times are nanoseconds.
 *
 * <pre>{@code
 * TargetHealth health = TargetHealth.create(1.0 / 3);
 * health.onFailure("sheets-1", now);
 * List<String> usable = health.usable(List.of("sheets-1", "sheets-2"), id -> id, now);
 * }</pre>
 */
public final class TargetHealth {
  private static final int FAILURES_TO_EJECT = 3;
  private static final long INITIAL_EJECTION_NANOS = 1_000_000_000L;
  private static final long MAX_EJECTION_NANOS = 30_000_000_000L;
  private static final int MAX_DOUBLINGS = 10;

  /** Time after which a trial without an outcome is given up. */
  private static final long TRIAL_TIMEOUT_NANOS = 2_000_000_000L;

  /** Age from which on the targets that the coordinator has published as failing are ignored. */
  private static final long MAX_PUBLISHED_AGE_NANOS = 1_500_000_000L;

  private final double maxEjectedShare;
  private final Map<String, FailureRecord> recordsByTarget = new HashMap<>();

  /** The published targets, with whether this host may try them. */
  private Map<String, Boolean> published = Map.of();

  private long publishedAt;

  private TargetHealth(double maxEjectedShare) {
    this.maxEjectedShare = maxEjectedShare;
  }

  /**
   * Creates an instance in which all targets are healthy.
   *
   * @param maxEjectedShare maximum share of a service's targets that may be ejected, from 0 to less
   *     than 1
   * @throws IllegalArgumentException if the share is out of range
   */
  public static TargetHealth create(double maxEjectedShare) {
    checkArgument(
        maxEjectedShare >= 0 && maxEjectedShare < 1,
        "maxEjectedShare must be from 0 to less than 1, but is %s",
        maxEjectedShare);
    return new TargetHealth(maxEjectedShare);
  }

  /** Records a response, which resets the target to healthy. */
  public void onResponse(String target) {
    recordsByTarget.remove(target);
  }

  /** Records a failed request: target unreachable, connection lost, or timeout. */
  public void onFailure(String target, long now) {
    FailureRecord r = recordsByTarget.computeIfAbsent(target, unused -> new FailureRecord());
    r.failures++;
    r.failedAt = now;
    if (!r.isInEjectionPeriod(now) && (r.failures >= FAILURES_TO_EJECT || r.hasTrial)) {
      r.eject(now);
    }
  }

  /**
   * Records which targets fail by the outcomes of all hosts' requests. They are ejected for as long
   * as they are published, whatever this host has seen of them; one that no longer is counts as
   * healthy.
   *
   * @param failing ids of the targets, with whether this host may send a trial request
   */
  public void onPublished(Map<String, Boolean> failing, long now) {
    for (String target : published.keySet()) {
      if (!failing.containsKey(target)) {
        recordsByTarget.remove(target);
      }
    }
    published = Map.copyOf(failing);
    publishedAt = now;
  }

  /** Returns whether this host may try a target that is published as failing; null if it isn't. */
  private @Nullable Boolean mayTry(String target, long now) {
    return now - publishedAt < MAX_PUBLISHED_AGE_NANOS ? published.get(target) : null;
  }

  /** Ejects a target immediately, for instance because it reported that it is stopping. */
  public void eject(String target, long now) {
    FailureRecord r = recordsByTarget.computeIfAbsent(target, unused -> new FailureRecord());
    r.failedAt = now;
    if (!r.isInEjectionPeriod(now)) {
      r.eject(now);
    }
  }

  /**
   * Returns the targets that may be chosen, in the given order; empty only if {@code targets} is.
   * Takes linear time while all targets are healthy.
   *
   * @param targets the targets of one service
   * @param id returns a target's id
   * @param now current time
   */
  public <T> List<T> usable(List<T> targets, Function<T, String> id, long now) {
    if (recordsByTarget.isEmpty() && published.isEmpty()) {
      return targets;
    }
    List<T> ejected = new ArrayList<>();
    for (T t : targets) {
      if (isEjected(id.apply(t), now)) {
        ejected.add(t);
      }
    }
    int maxEjected = (int) (maxEjectedShare * targets.size());
    if (ejected.size() > maxEjected) {
      // Targets whose last failure is the oldest are included again first, since they are the most
      // likely to have recovered, even if their ejections last longer than those of others.
      // Those that fail for all hosts stay ejected, since their trials are limited.
      ejected.sort(
          Comparator.comparing((T t) -> mayTry(id.apply(t), now) != null)
              .thenComparingLong(t -> failedAt(id.apply(t)))
              .reversed());
      ejected = ejected.subList(0, maxEjected);
    }
    List<T> result = new ArrayList<>(targets);
    result.removeAll(ejected);
    return result;
  }

  /** Records that a request is sent; after an ejection it is the target's trial request. */
  public void onSend(String target, long now) {
    boolean isTrial = Boolean.TRUE.equals(mayTry(target, now));
    FailureRecord r =
        isTrial
            ? recordsByTarget.computeIfAbsent(target, unused -> new FailureRecord())
            : recordsByTarget.get(target);
    if (r != null && (isTrial || (r.ejections > 0 && !r.isInEjectionPeriod(now)))) {
      r.hasTrial = true;
      r.trialAt = now;
    }
  }

  /**
   * Returns whether a target is ejected or on trial, disregarding the bound on the ejected share.
   */
  public boolean isEjected(String target, long now) {
    FailureRecord r = recordsByTarget.get(target);
    Boolean mayTry = mayTry(target, now);
    if (mayTry != null) {
      return !mayTry || (r != null && r.isOnTrial(now));
    }
    return r != null && r.isEjected(now);
  }

  private long failedAt(String target) {
    FailureRecord r = recordsByTarget.get(target);
    return r == null ? Long.MIN_VALUE : r.failedAt;
  }

  /** Failures and ejections of one target. */
  private static final class FailureRecord {
    int failures;
    int ejections;
    long ejectedUntil;
    long failedAt;
    boolean hasTrial;
    long trialAt;

    void eject(long now) {
      long durationNanos = INITIAL_EJECTION_NANOS << Math.min(ejections, MAX_DOUBLINGS);
      ejectedUntil = now + Math.min(MAX_EJECTION_NANOS, durationNanos);
      ejections++;
      failures = 0;
      hasTrial = false;
    }

    boolean isInEjectionPeriod(long now) {
      return ejections > 0 && now - ejectedUntil < 0;
    }

    boolean isEjected(long now) {
      return isInEjectionPeriod(now) || isOnTrial(now);
    }

    boolean isOnTrial(long now) {
      return hasTrial && now - trialAt < TRIAL_TIMEOUT_NANOS;
    }
  }
}
