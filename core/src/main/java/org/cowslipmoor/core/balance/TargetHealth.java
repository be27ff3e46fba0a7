package org.cowslipmoor.core.balance;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Judges targets by the outcomes of this host's own requests, and takes those that keep failing out
 * of the choice for a while. A target that is taken out gets one trial request when its time is
 * over; a further failure takes it out for twice as long. At most a stated share of the targets is
 * out at any time, so that a fault of this host's own network can't empty a service. Not
 * thread-safe; times are nanoseconds.
 *
 * <pre>{@code
 * TargetHealth health = TargetHealth.create(1.0 / 3);
 * health.onFailure("sheets-1", now);
 * List<String> usable = health.usable(List.of("sheets-1", "sheets-2"), id -> id, now);
 * }</pre>
 */
public final class TargetHealth {
  private static final int FAILURES_TO_EJECT = 3;
  private static final long FIRST_EJECTION = 1_000_000_000L;
  private static final long LONGEST_EJECTION = 30_000_000_000L;
  private static final int MOST_DOUBLINGS = 10;

  /** Time after which a trial whose outcome never came is no longer waited for. */
  private static final long TRIAL_TIMEOUT = 2_000_000_000L;

  private final double largestShare;
  private final Map<String, Held> held = new HashMap<>();

  private TargetHealth(double largestShare) {
    this.largestShare = largestShare;
  }

  /**
   * Creates a judge that knows nothing against any target.
   *
   * @param largestShare largest share of a service's targets that may be out, from 0 to less than 1
   * @throws IllegalArgumentException if the share is out of range
   */
  public static TargetHealth create(double largestShare) {
    checkArgument(
        largestShare >= 0 && largestShare < 1,
        "largestShare must be from 0 to less than 1, but is %s",
        largestShare);
    return new TargetHealth(largestShare);
  }

  /** Notes an answer, which clears everything that was held against the target. */
  public void onResponse(String target) {
    held.remove(target);
  }

  /** Notes that a request failed at the target: unreachable, broken off or out of time. */
  public void onFailure(String target, long now) {
    Held h = held.computeIfAbsent(target, unused -> new Held());
    h.failures++;
    h.failedAt = now;
    if (!h.isEjected(now) && (h.failures >= FAILURES_TO_EJECT || h.isTried)) {
      h.eject(now);
    }
  }

  /** Takes a target out at once, for instance since it said that it is stopping. */
  public void eject(String target, long now) {
    Held h = held.computeIfAbsent(target, unused -> new Held());
    h.failedAt = now;
    if (!h.isEjected(now)) {
      h.eject(now);
    }
  }

  /**
   * Returns the targets that may be chosen, in their order, never empty unless {@code targets} is.
   * Takes linear time while nothing is held against any target.
   *
   * @param targets the targets of one service
   * @param id names a target
   * @param now the present time
   */
  public <T> List<T> usable(List<T> targets, Function<T, String> id, long now) {
    if (held.isEmpty()) {
      return targets;
    }
    List<T> out = new ArrayList<>();
    for (T t : targets) {
      Held h = held.get(id.apply(t));
      if (h != null && h.isExcluded(now)) {
        out.add(t);
      }
    }
    int most = (int) (largestShare * targets.size());
    if (out.size() > most) {
      // Those that failed longest ago come back first: one that has recovered meanwhile may be
      // out for longer than one that has only begun to fail.
      out.sort(Comparator.comparingLong((T t) -> failedAt(id.apply(t))).reversed());
      out = out.subList(0, most);
    }
    List<T> result = new ArrayList<>(targets);
    result.removeAll(out);
    return result;
  }

  /** Notes that a request is sent; after an ejection it is the target's one trial. */
  public void onSend(String target, long now) {
    Held h = held.get(target);
    if (h != null && h.ejections > 0 && !h.isEjected(now)) {
      h.isTried = true;
      h.trialAt = now;
    }
  }

  /** Tells whether a target is out at present, the bound on the share left aside. */
  public boolean isExcluded(String target, long now) {
    Held h = held.get(target);
    return h != null && h.isExcluded(now);
  }

  private long failedAt(String target) {
    Held h = held.get(target);
    return h == null ? Long.MIN_VALUE : h.failedAt;
  }

  /** What is held against one target. */
  private static final class Held {
    int failures;
    int ejections;
    long until;
    long failedAt;
    boolean isTried;
    long trialAt;

    void eject(long now) {
      long time = FIRST_EJECTION << Math.min(ejections, MOST_DOUBLINGS);
      until = now + Math.min(LONGEST_EJECTION, time);
      ejections++;
      failures = 0;
      isTried = false;
    }

    boolean isEjected(long now) {
      return ejections > 0 && now - until < 0;
    }

    boolean isExcluded(long now) {
      boolean trialUnderWay = isTried && now - trialAt < TRIAL_TIMEOUT;
      return isEjected(now) || trialUnderWay;
    }
  }
}
