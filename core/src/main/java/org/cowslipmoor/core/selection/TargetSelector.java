package org.cowslipmoor.core.selection;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.admission.Placement;
import org.cowslipmoor.core.admission.RequestRequirements;
import org.cowslipmoor.core.admission.TargetLoadBalancer;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.DrainDeadlines;
import org.cowslipmoor.core.discovery.Evacuations;
import org.cowslipmoor.core.discovery.LeavingTargets;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.discovery.TargetLimits;

/**
 * Decides for one host which target may get a request, now, and at what cost: the one place that
 * combines the store's entries, announcements of leaving, deadlines and load. Every request passes
 * it twice, when its target is chosen and right before it is written. Not thread-safe; times are
 * nanoseconds of the host's clock.
 */
public final class TargetSelector {
  private final TargetLoadBalancer loadBalancer;
  private final LeavingTargets leaving = LeavingTargets.create();
  private final DrainDeadlines drainDeadlines;
  private final Evacuations evacuations = Evacuations.create();

  /** The targets as the store lists them. */
  private TargetDirectory registered = TargetDirectory.empty();

  /** Those targets, of which the leaving ones are draining. */
  private TargetDirectory unevacuated = TargetDirectory.empty();

  /** The targets of {@link #unevacuated} that get new requests only as a last resort. */
  private ImmutableSet<TargetIncarnation> restricted = ImmutableSet.of();

  /** Whether {@link #restricted} may change with time alone. */
  private boolean isReturning;

  /** Those targets, of which the leaving and the restricted ones are draining. */
  private TargetDirectory directory = TargetDirectory.empty();

  private TargetSelector(TargetLoadBalancer loadBalancer, long drainLimitNanos) {
    this.loadBalancer = loadBalancer;
    this.drainDeadlines = DrainDeadlines.create(leaving, drainLimitNanos);
  }

  /**
   * Creates the selector of a host that knows no target.
   *
   * @param loadBalancer estimates the load of targets and their connections
   * @param drainLimitNanos maximum time from a target's announcement that it is leaving until the
   *     last request to it
   */
  public static TargetSelector create(TargetLoadBalancer loadBalancer, long drainLimitNanos) {
    return new TargetSelector(loadBalancer, drainLimitNanos);
  }

  /** Applies a new limit on the use of targets that are leaving. */
  public void onDrainLimit(long limitNanos) {
    drainDeadlines.onLimit(limitNanos);
  }

  /** Applies new limits on the use of targets. */
  public void onTargetLimits(TargetLimits limits, long now) {
    evacuations.onLimit(TimeUnit.MILLISECONDS.toNanos(limits.evacuationMillis()));
    updateDirectory(now);
  }

  /**
   * Applies the data centres that the operator evacuates.
   *
   * @param isComplete whether the store has been read, so that all others are not evacuated
   */
  public void onEvacuated(Set<String> dataCentres, boolean isComplete, long now) {
    evacuations.onEvacuated(dataCentres, isComplete, now);
    updateDirectory(now);
  }

  /**
   * Applies what changes with time alone; must be called every few tens of milliseconds.
   *
   * @return whether the directory has changed
   */
  public boolean tick(long now) {
    return isReturning && updateDirectory(now);
  }

  /** Applies the targets as the store lists them. */
  public void onTargets(TargetDirectory newRegistered, long now) {
    registered = newRegistered;
    leaving.onTargets(newRegistered.all().values(), now);
    drainDeadlines.onTargets(newRegistered.all().values(), now);
    loadBalancer.retain(newRegistered.all().keySet());
    updateDirectory(now);
  }

  /** Records the time at which the state of the store was last known to be current. */
  public void onConfirmed(long at) {
    drainDeadlines.onConfirmed(at);
    evacuations.onConfirmed(at);
  }

  /** Records that a target has stated that it is leaving; returns whether this is new. */
  public boolean onLeaving(TargetIncarnation target, long now) {
    boolean isNew = leaving.onLeaving(target, now);
    if (isNew) {
      updateDirectory(now);
    }
    return isNew;
  }

  /** Returns the targets that have stated that they are leaving. */
  public ImmutableSet<TargetIncarnation> leavingTargets() {
    return leaving.targets();
  }

  /** Returns the time at which this host learnt that a target is leaving, if it has. */
  public OptionalLong leavingSince(TargetIncarnation target) {
    return leaving.learntAt(target);
  }

  /** Returns the data centres that are evacuated, and their times. */
  public Evacuations evacuations() {
    return evacuations;
  }

  /**
   * Returns the registered targets, of which those that leave, are evacuated or have not returned
   * yet are draining.
   */
  public TargetDirectory directory() {
    return directory;
  }

  /**
   * Assigns a request without an owner to a target of its service.
   *
   * @param excluded ids of targets that must not be used
   */
  public Placement assign(
      String service, Set<String> excluded, RequestRequirements requirements, long now) {
    ImmutableList<DiscoveredTarget> candidates = candidates(service, now);
    return loadBalancer.assign(candidates, excluded, requirements, now);
  }

  private ImmutableList<DiscoveredTarget> candidates(String service, long now) {
    if (restricted.isEmpty() || !directory.usable(service).isEmpty()) {
      return drainDeadlines.candidates(directory, service, now);
    }
    return unevacuated.registered(service).stream()
        .filter(t -> isUsable(t, now))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Assigns a request to the owner of its key.
   *
   * @return {@link Placement.NoTarget} if the owner is not registered, or must not receive requests
   */
  public Placement assignToOwner(
      TargetIncarnation owner, RequestRequirements requirements, long now) {
    Optional<DiscoveredTarget> usable = unevacuated.find(owner).filter(t -> isUsable(t, now));
    return usable.isEmpty()
        ? new Placement.NoTarget()
        : loadBalancer.admit(usable.get(), requirements, now);
  }

  /**
   * Returns whether an owner has left, drained for too long or is in an evacuated data centre, so
   * that waiting for it is vain.
   */
  public boolean hasOwnerLeft(TargetIncarnation owner, long now) {
    return drainDeadlines.hasPassed(owner, now) || isOwnerEvacuated(owner, now);
  }

  /** Returns whether an owner must not receive requests since its data centre is evacuated. */
  public boolean isOwnerEvacuated(TargetIncarnation owner, long now) {
    return registered
        .find(owner)
        .filter(t -> evacuations.hasPassed(t.dataCentre(), now))
        .isPresent();
  }

  /**
   * Returns whether evacuations are a reason why no target of a service may receive a request: some
   * of its targets would, if their data centres were not evacuated.
   */
  public boolean isServiceEvacuated(String service, long now) {
    return directory.usable(service).isEmpty()
        && unevacuated.usable(service).stream()
            .anyMatch(t -> evacuations.hasPassed(t.dataCentre(), now));
  }

  /**
   * Returns whether a request may still be written to the target that was chosen for it; called
   * right before it is written.
   */
  public boolean mayReceive(DiscoveredTarget target, long now) {
    return !drainDeadlines.hasPassed(target.incarnation(), now)
        && !evacuations.hasPassed(target.dataCentre(), now);
  }

  /**
   * Returns the addresses at which no target can get a request any more.
   *
   * @param keyedServices names of the services whose keys have owners
   */
  public ImmutableSet<String> unusedAddresses(Set<String> keyedServices, long now) {
    Set<String> unused = new HashSet<>();
    Set<String> used = new HashSet<>();
    for (DiscoveredTarget t : directory.all().values()) {
      (isSelectable(t, keyedServices, now) ? used : unused).add(t.address());
    }
    unused.removeAll(used);
    return ImmutableSet.copyOf(unused);
  }

  private boolean isSelectable(DiscoveredTarget target, Set<String> keyedServices, long now) {
    boolean isLastResort =
        keyedServices.contains(target.service()) || directory.usable(target.service()).isEmpty();
    return !target.draining()
        || (isLastResort
            && unevacuated.find(target.incarnation()).filter(t -> isUsable(t, now)).isPresent());
  }

  /** Returns whether a target of {@link #unevacuated} may receive requests as a last resort. */
  private boolean isUsable(DiscoveredTarget target, long now) {
    return drainDeadlines.isUsable(target, now) && !evacuations.hasPassed(target.dataCentre(), now);
  }

  /** Combines what is known of the targets; returns whether the restricted ones have changed. */
  private boolean updateDirectory(long now) {
    final ImmutableSet<TargetIncarnation> before = restricted;
    unevacuated = registered.withDraining(leaving.targets());
    restricted = evacuations.restricted(unevacuated, now);
    isReturning = evacuations.isAnyReturning(now);
    directory = unevacuated.withDraining(restricted);
    return !restricted.equals(before);
  }
}
