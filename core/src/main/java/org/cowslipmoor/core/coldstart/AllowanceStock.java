package org.cowslipmoor.core.coldstart;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.discovery.TargetIncarnation;

/**
 * The allowances of one host: decides when it asks for one, and whether a request may be sent. An
 * allowance is valid for a time from when the host asked for it, so one that a link holds back
 * expires. A host that doesn't reach the coordinator, or has just started, has none. Not
 * thread-safe; times are nanoseconds of the host's clock.
 */
public final class AllowanceStock {
  /** Shortest time between two requests for allowances for one target. */
  static final long MIN_ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * Longest time between two requests for allowances for one target while they are denied. Each
   * denial makes the interval four times as long, so that the requests of many hosts for one target
   * don't occupy the coordinator's link.
   */
  private static final long MAX_ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Time without a demand after which a target is forgotten. */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final Map<TargetIncarnation, State> states = new HashMap<>();

  private static final class State {
    final List<Batch> batches = new ArrayList<>();

    /** Requests that wanted an allowance since the last request for one. */
    int wanted;

    /** Whether the coordinator is to be told that the target may have restarted. */
    boolean isReportDue;

    long wantedAt;
    long askedAt;
    long intervalNanos = MIN_ASK_INTERVAL_NANOS;
    int maxPerRequest = 1;
  }

  private static final class Batch {
    final long expiresAt;
    int left;

    Batch(long expiresAt, int left) {
      this.expiresAt = expiresAt;
      this.left = left;
    }
  }

  private AllowanceStock() {}

  /** Creates the stock of a host that has just started. */
  public static AllowanceStock create() {
    return new AllowanceStock();
  }

  /** Records that a request could be sent to a target if there were an allowance for it. */
  public void onDemand(TargetIncarnation target, ColdLimit limit, long now) {
    State s = state(target, now);
    s.wanted++;
    s.wantedAt = now;
    // A host that asks as often as it may can thus use the whole limit of a target.
    s.maxPerRequest = Math.max(1, (int) Math.ceil(limit.requestsIn(MIN_ASK_INTERVAL_NANOS)));
  }

  private State state(TargetIncarnation target, long now) {
    return states.computeIfAbsent(
        target,
        unused -> {
          State created = new State();
          created.askedAt = now - MIN_ASK_INTERVAL_NANOS;
          return created;
        });
  }

  /** Returns the request to the coordinator that is due now, if one is. */
  public Optional<AllowanceRequest> nextRequest(long now) {
    states.values().removeIf(s -> now - s.wantedAt >= RETENTION_NANOS && held(s, now) == 0);
    ImmutableMap.Builder<TargetIncarnation, Integer> requests = ImmutableMap.builder();
    states.forEach(
        (target, s) -> {
          if (s.isReportDue && now - s.askedAt >= MIN_ASK_INTERVAL_NANOS) {
            requests.put(target, 0);
            s.isReportDue = false;
            s.askedAt = now;
          } else if (s.wanted > 0 && now - s.askedAt >= s.intervalNanos) {
            requests.put(target, Math.min(s.wanted, s.maxPerRequest));
            s.wanted = 0;
            s.askedAt = now;
          }
        });
    ImmutableMap<TargetIncarnation, Integer> due = requests.buildOrThrow();
    return due.isEmpty() ? Optional.empty() : Optional.of(new AllowanceRequest(due, now));
  }

  /** Applies the coordinator's answer. */
  public void onAllowance(Allowance allowance, long now) {
    long expiresAt = allowance.askedAt() + Math.min(allowance.validNanos(), ColdLimit.VALID_NANOS);
    allowance
        .requests()
        .forEach(
            (target, requests) -> {
              State s = states.get(target);
              if (s == null) {
                return;
              }
              if (requests > 0) {
                s.batches.add(new Batch(expiresAt, requests));
                s.intervalNanos = MIN_ASK_INTERVAL_NANOS;
              } else {
                s.intervalNanos = Math.min(4 * s.intervalNanos, MAX_ASK_INTERVAL_NANOS);
              }
            });
    // What arrives after its time must not count as held.
    states.values().forEach(s -> held(s, now));
  }

  /** Returns whether this host has wanted to use a target recently. */
  public boolean isKnown(TargetIncarnation target) {
    return states.containsKey(target);
  }

  /** Returns whether an allowance for a target is left. */
  public boolean holds(TargetIncarnation target, long now) {
    State s = states.get(target);
    return s != null && held(s, now) > 0;
  }

  /**
   * Takes an allowance for one request, right before it is written; returns whether one is left.
   */
  public boolean spend(TargetIncarnation target, long now) {
    State s = states.get(target);
    if (s == null || held(s, now) == 0) {
      return false;
    }
    s.batches.get(0).left--;
    return true;
  }

  /**
   * Records a sign that a target has restarted: drops the allowances for it, which may have been
   * handed out because the former process was warm, thus without limit, and reports it to the
   * coordinator with the next request, as a target for which no request is wanted.
   */
  public void onSuspicion(TargetIncarnation target, long now) {
    State s = state(target, now);
    s.batches.clear();
    s.intervalNanos = MIN_ASK_INTERVAL_NANOS;
    s.isReportDue = true;
    s.wantedAt = now;
  }

  /** Drops all allowances, since this host's clock may have stopped for a time. */
  public void clear() {
    states.clear();
  }

  private static int held(State s, long now) {
    s.batches.removeIf(b -> b.left == 0 || now - b.expiresAt >= 0);
    return s.batches.stream().mapToInt(b -> b.left).sum();
  }
}
