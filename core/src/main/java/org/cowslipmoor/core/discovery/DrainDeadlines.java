package org.cowslipmoor.core.discovery;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Decides which targets may still receive requests although they drain or are leaving, and until
 * when. A target announces it in the store, in its responses, or both; the earlier deadline counts.
 *
 * <p>The time of an announcement in the store counts from when the host last knew that the target
 * was not draining, since the target may have announced it right afterwards: the age of the host's
 * state and the time of use must not add up. A statement in a response is known at once, however
 * old the host's state of the store is. Not thread-safe; times are nanoseconds.
 */
public final class DrainDeadlines {
  /** Share of the limit that is used; the remainder covers the way to the target. */
  private static final double USED_SHARE = 0.8;

  private final LeavingTargets leaving;
  private final Map<TargetIncarnation, Registration> registrations = new HashMap<>();
  private long maxUseNanos;
  private OptionalLong confirmedAt = OptionalLong.empty();

  /** What the store says of a target that is or was registered. */
  private static final class Registration {
    boolean isDraining;
    boolean isRegistered;
    long lastRegisteredAt;

    /** When the host last knew that the target was not draining; empty if it never did. */
    OptionalLong readyAt = OptionalLong.empty();
  }

  private DrainDeadlines(LeavingTargets leaving) {
    this.leaving = leaving;
  }

  /**
   * Creates the deadlines of a host that knows no registered target; it uses no target that drains
   * already.
   *
   * @param leaving the targets that have stated that they are leaving
   * @param limitNanos maximum time from an announcement until the last request
   */
  public static DrainDeadlines create(LeavingTargets leaving, long limitNanos) {
    DrainDeadlines deadlines = new DrainDeadlines(leaving);
    deadlines.onLimit(limitNanos);
    return deadlines;
  }

  /** Applies a new maximum time from an announcement until the last request. */
  public void onLimit(long limitNanos) {
    maxUseNanos = (long) (USED_SHARE * limitNanos);
  }

  /** Records that the targets of the last call of {@link #onTargets} were current at a time. */
  public void onConfirmed(long at) {
    confirmedAt = OptionalLong.of(at);
  }

  /**
   * Records the targets as they are registered; must be called before that state is recorded as
   * confirmed. A target that is not registered keeps its deadline for a while, because entries may
   * be missing while the store is unavailable.
   */
  public void onTargets(Collection<DiscoveredTarget> registered, long now) {
    for (Registration r : registrations.values()) {
      if (r.isRegistered && !r.isDraining) {
        r.readyAt = confirmedAt;
      }
      r.isRegistered = false;
    }
    for (DiscoveredTarget t : registered) {
      Registration r = registrations.computeIfAbsent(t.incarnation(), unused -> new Registration());
      r.isDraining = t.draining();
      r.isRegistered = true;
      r.lastRegisteredAt = now;
    }
    registrations
        .values()
        .removeIf(r -> now - r.lastRegisteredAt >= LeavingTargets.RETENTION_NANOS);
  }

  /**
   * Returns the targets that a new request without an owner may be sent to: those that stay; if
   * there are none, those whose deadline has not passed.
   *
   * @param directory the registered targets, with those that are leaving as draining
   */
  public ImmutableList<DiscoveredTarget> candidates(
      TargetDirectory directory, String service, long now) {
    ImmutableList<DiscoveredTarget> staying = directory.usable(service);
    return staying.isEmpty()
        ? directory.registered(service).stream()
            .filter(t -> isUsable(t, now))
            .collect(ImmutableList.toImmutableList())
        : staying;
  }

  /** Returns whether a target may receive requests that no other target can serve. */
  public boolean isUsable(DiscoveredTarget target, long now) {
    return isAnnounced(target.incarnation()) || leaving.learntAt(target.incarnation()).isPresent()
        ? !hasPassed(target.incarnation(), now)
        : !target.draining();
  }

  /** Returns whether a target drains or is leaving and must not receive any request. */
  public boolean hasPassed(TargetIncarnation target, long now) {
    OptionalLong learntAt = leaving.learntAt(target);
    Registration r = registrations.get(target);
    return (r != null && r.isDraining && !isWithinLimit(r.readyAt, now))
        || (learntAt.isPresent() && !isWithinLimit(learntAt, now));
  }

  private boolean isAnnounced(TargetIncarnation target) {
    Registration r = registrations.get(target);
    return r != null && r.isDraining;
  }

  private boolean isWithinLimit(OptionalLong since, long now) {
    return since.isPresent() && now - since.getAsLong() < maxUseNanos;
  }
}
