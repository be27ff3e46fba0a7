package org.cowslipmoor.core.coldstart;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.discovery.TargetLimits;
import org.cowslipmoor.core.routing.ServiceDescription;

/**
 * Knows as one host which targets are cold, of the services whose cold targets have a limit. A
 * target is cold for the time that its entry in the store states, counted from when the host first
 * read that statement: later than the truth, thus on the safe side. An entry of any age is used,
 * since a newer one may only be missing while the store is unavailable. Not thread-safe; times are
 * nanoseconds of the host's clock.
 */
public final class ColdTargets {
  /** Time after the end of a cold period in which a target's room rises to its full value. */
  private static final long RAMP_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Time over which requests are distributed by the same reports of load; see room. */
  private static final long DISTRIBUTION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /**
   * Time for which a target is treated as cold after a sign that it has restarted: targets write
   * their entries every 870 ms, and these take up to a second to arrive.
   */
  private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Shortest time between two health checks of a target. */
  private static final long MIN_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Time for which a target counts as warm after a health check; until the next one has ended. */
  private static final long MAX_CHECK_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Time for which a target that is not registered is remembered. */
  private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final Map<TargetIncarnation, Status> statuses = new HashMap<>();
  private ImmutableMap<String, ServiceDescription> services = ImmutableMap.of();
  private ImmutableMap<String, ColdLimit> limitsByService = ImmutableMap.of();
  private TargetLimits limits = TargetLimits.NONE;

  /** What the host knows of one incarnation of a target. */
  private static final class Status {
    long statedMillis;
    long seenAt;
    boolean wasCold;

    /** End of the cold period, or of the last one. */
    long coldUntil;

    boolean wasSuspected;
    long suspectedUntil;
    boolean wasChecked;
    long checkStartedAt;
    boolean wasWarm;
    long warmAt;
  }

  private ColdTargets() {}

  /** Creates an instance that knows no target and no limit. */
  public static ColdTargets create() {
    return new ColdTargets();
  }

  /** Applies new limits of the deployment. */
  public void onLimits(TargetLimits newLimits) {
    limits = newLimits;
    updateLimits();
  }

  /** Applies the services of a new configuration. */
  public void onServices(ImmutableMap<String, ServiceDescription> newServices) {
    services = newServices;
    updateLimits();
  }

  private void updateLimits() {
    ImmutableMap.Builder<String, ColdLimit> newLimits = ImmutableMap.builder();
    services.forEach(
        (name, service) ->
            ColdLimit.of(limits, service).ifPresent(limit -> newLimits.put(name, limit)));
    limitsByService = newLimits.buildOrThrow();
  }

  /** Returns the limit on requests to cold targets of a service; empty if there is none. */
  public Optional<ColdLimit> limit(String service) {
    return Optional.ofNullable(limitsByService.get(service));
  }

  /** Records the targets as they are registered. */
  public void onTargets(Collection<DiscoveredTarget> registered, long now) {
    for (DiscoveredTarget t : registered) {
      Status s = statuses.computeIfAbsent(t.incarnation(), unused -> new Status());
      s.seenAt = now;
      // The same entry is read many times; only a changed one states something new.
      if (s.statedMillis != t.warmUpMillis()) {
        s.statedMillis = t.warmUpMillis();
        if (t.warmUpMillis() > 0) {
          s.wasCold = true;
          s.coldUntil = now + TimeUnit.MILLISECONDS.toNanos(t.warmUpMillis());
        } else if (s.wasCold && now - s.coldUntil < 0) {
          s.coldUntil = now;
        }
      }
    }
    statuses.values().removeIf(s -> now - s.seenAt >= RETENTION_NANOS);
  }

  /**
   * Returns whether a request to a target needs an allowance. A target that is not known is treated
   * as cold.
   */
  public boolean isCold(DiscoveredTarget target, long now) {
    if (!limitsByService.containsKey(target.service())) {
      return false;
    }
    Status s = statuses.get(target.incarnation());
    return s == null || isStatedCold(s, now) || (s.wasSuspected && now - s.suspectedUntil < 0);
  }

  private static boolean isStatedCold(Status s, long now) {
    return s.wasCold && now - s.coldUntil < 0;
  }

  /**
   * Records a sign that a target has restarted, such as a refused connection; returns whether it
   * was not suspected before.
   */
  public boolean onSuspicion(TargetIncarnation target, long now) {
    Status s = statuses.get(target);
    if (s == null) {
      return false;
    }
    boolean isNew = !s.wasSuspected || now - s.suspectedUntil >= 0;
    s.wasSuspected = true;
    s.suspectedUntil = now + SUSPICION_NANOS;
    return isNew;
  }

  /**
   * Decides as the coordinator whether to check the health of a target for which a host asks: the
   * host reports that it may have restarted, or its entry says that it is warm, and the last check
   * began some time ago. The check counts as begun.
   */
  public boolean startCheck(TargetIncarnation target, boolean isReported, long now) {
    Status s = statuses.get(target);
    if (s == null) {
      return false;
    }
    // An earlier check may have met the former process.
    s.wasWarm &= !isReported;
    if ((!isReported && isStatedCold(s, now))
        || (s.wasChecked && now - s.checkStartedAt < MIN_CHECK_INTERVAL_NANOS)) {
      return false;
    }
    s.wasChecked = true;
    s.checkStartedAt = now;
    return true;
  }

  /**
   * Records the result of a health check; returns whether it shows that the target has restarted,
   * or may have: it is cold for longer than its entry says, or does not answer.
   *
   * @param coldMillis the remaining cold period that the target stated, 0 if it is warm; empty if
   *     it did not answer
   */
  public boolean onChecked(TargetIncarnation target, OptionalLong coldMillis, long now) {
    Status s = statuses.get(target);
    if (s == null) {
      return false;
    }
    s.wasWarm = coldMillis.isPresent() && coldMillis.getAsLong() == 0;
    s.warmAt = now;
    if (s.wasWarm) {
      return false;
    }
    if (coldMillis.isEmpty()) {
      return true;
    }
    long coldUntil = now + TimeUnit.MILLISECONDS.toNanos(coldMillis.getAsLong());
    // An entry is learnt late, so that a cold period seems to end later than it does.
    boolean endsLater = !isStatedCold(s, now) || coldUntil - s.coldUntil > 0;
    s.wasCold = true;
    s.coldUntil = endsLater ? coldUntil : s.coldUntil;
    return endsLater;
  }

  /** Returns whether a recent health check, and the entry, say that a target is warm. */
  public boolean isCheckedWarm(TargetIncarnation target, long now) {
    Status s = statuses.get(target);
    return s != null && !isStatedCold(s, now) && s.wasWarm && now - s.warmAt < MAX_CHECK_AGE_NANOS;
  }

  /** Returns the targets of those given that are cold. */
  public ImmutableSet<TargetIncarnation> coldAmong(Collection<DiscoveredTarget> targets, long now) {
    return limitsByService.isEmpty()
        ? ImmutableSet.of()
        : targets.stream()
            .filter(t -> isCold(t, now))
            .map(DiscoveredTarget::incarnation)
            .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Returns how many of the requests that are distributed now a target may get. A cold target looks
   * idle; its room is what its limit lets it serve until the next reports of load, so that hosts
   * ask for about as many allowances as there are. After the cold period its room rises gradually.
   *
   * @param room the room that its load leaves
   */
  public double room(DiscoveredTarget target, double room, long now) {
    ColdLimit limit = limitsByService.get(target.service());
    if (limit == null) {
      return room;
    }
    if (isCold(target, now)) {
      return Math.min(room, limit.requestsIn(DISTRIBUTION_NANOS));
    }
    Status s = statuses.get(target.incarnation());
    if (s == null || !s.wasCold || now - s.coldUntil >= RAMP_NANOS) {
      return room;
    }
    double share = (double) (now - s.coldUntil) / RAMP_NANOS;
    return Math.min(room, Math.max(limit.requestsIn(DISTRIBUTION_NANOS), share * room));
  }
}
