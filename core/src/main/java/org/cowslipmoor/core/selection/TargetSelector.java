package org.cowslipmoor.core.selection;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.admission.Placement;
import org.cowslipmoor.core.admission.RequestRequirements;
import org.cowslipmoor.core.admission.TargetLoadBalancer;
import org.cowslipmoor.core.coldstart.Allowance;
import org.cowslipmoor.core.coldstart.AllowanceRequest;
import org.cowslipmoor.core.coldstart.AllowanceStock;
import org.cowslipmoor.core.coldstart.ColdLimit;
import org.cowslipmoor.core.coldstart.ColdTargets;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.DrainDeadlines;
import org.cowslipmoor.core.discovery.Evacuations;
import org.cowslipmoor.core.discovery.LeavingTargets;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.discovery.TargetLimits;
import org.cowslipmoor.core.routing.ServiceDescription;

/**
 * Decides for one host which target may get a request, now, and at what cost: the one place that
 * combines the store's entries, announcements of leaving, deadlines and load. Every request passes
 * it twice, when its target is chosen and right before it is written. Not thread-safe; times are
 * nanoseconds of the host's clock.
 */
public final class TargetSelector {
  /**
   * Share of requests that ask for an allowance for a cold target that the host has not asked for
   * yet. Without it, a target that joins a service with little load may get no work for seconds,
   * because targets that the host knows to be faster are preferred.
   */
  private static final double TRIAL_SHARE = 0.2;

  private final TargetLoadBalancer loadBalancer;
  private final LeavingTargets leaving = LeavingTargets.create();
  private final DrainDeadlines drainDeadlines;
  private final Evacuations evacuations = Evacuations.create();
  private final ColdTargets coldTargets = ColdTargets.create();
  private final AllowanceStock allowances = AllowanceStock.create();

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
    coldTargets.onLimits(limits);
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

  /** Applies the services of a new configuration. */
  public void onServices(ImmutableMap<String, ServiceDescription> services) {
    coldTargets.onServices(services);
  }

  /** Applies the targets as the store lists them. */
  public void onTargets(TargetDirectory newRegistered, long now) {
    registered = newRegistered;
    leaving.onTargets(newRegistered.all().values(), now);
    drainDeadlines.onTargets(newRegistered.all().values(), now);
    coldTargets.onTargets(newRegistered.all().values(), now);
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
    return coldTargets.limit(service).isEmpty()
        ? loadBalancer.assign(candidates, excluded, requirements, now)
        : assignWithAllowance(candidates, excluded, requirements, now);
  }

  /**
   * Assigns a request of a service whose cold targets have a limit. An allowance that the host
   * holds is used first. Otherwise the request asks for one with the probability of the cold
   * target's share, for the requests after it, and is served by a warm target.
   */
  private Placement assignWithAllowance(
      ImmutableList<DiscoveredTarget> candidates,
      Set<String> excluded,
      RequestRequirements requirements,
      long now) {
    for (DiscoveredTarget t : candidates) {
      if (!excluded.contains(t.id())
          && coldTargets.isCold(t, now)
          && allowances.holds(t.incarnation(), now)
          && loadBalancer.admit(t, requirements, now) instanceof Placement.Send allowed) {
        return allowed;
      }
    }
    ImmutableList<DiscoveredTarget> untried =
        candidates.stream()
            .filter(t -> coldTargets.isCold(t, now) && !allowances.isKnown(t.incarnation()))
            .collect(ImmutableList.toImmutableList());
    loadBalancer.sample(untried, TRIAL_SHARE).ifPresent(t -> demandAllowance(t, now));
    Placement drawn = loadBalancer.assign(candidates, excluded, requirements, room(now), now);
    if (!(drawn instanceof Placement.Send send) || !coldTargets.isCold(send.target(), now)) {
      return drawn;
    }
    demandAllowance(send.target(), now);
    ImmutableList<DiscoveredTarget> warm =
        candidates.stream()
            .filter(t -> !coldTargets.isCold(t, now))
            .collect(ImmutableList.toImmutableList());
    Placement placement = loadBalancer.assign(warm, excluded, requirements, room(now), now);
    return placement instanceof Placement.NoTarget ? new Placement.NoAllowance() : placement;
  }

  private TargetLoadBalancer.RoomLimit room(long now) {
    return (target, room) -> coldTargets.room(target, room, now);
  }

  private void demandAllowance(DiscoveredTarget target, long now) {
    Optional<ColdLimit> limit = coldTargets.limit(target.service());
    limit.ifPresent(l -> allowances.onDemand(target.incarnation(), l, now));
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
   * @return {@link Placement.NoTarget} if the owner is not registered, or must not receive
   *     requests; {@link Placement.NoAllowance} if it is cold and the host must wait for an
   *     allowance
   */
  public Placement assignToOwner(
      TargetIncarnation owner, RequestRequirements requirements, long now) {
    Optional<DiscoveredTarget> usable = unevacuated.find(owner).filter(t -> isUsable(t, now));
    if (usable.isEmpty()) {
      return new Placement.NoTarget();
    }
    DiscoveredTarget target = usable.get();
    if (coldTargets.isCold(target, now) && !allowances.holds(owner, now)) {
      demandAllowance(target, now);
      return new Placement.NoAllowance();
    }
    return loadBalancer.admit(target, requirements, now);
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
   * right before it is written, and only once for each write: it spends the allowance that a cold
   * target needs.
   */
  public boolean mayReceive(DiscoveredTarget target, long now) {
    return !drainDeadlines.hasPassed(target.incarnation(), now)
        && !evacuations.hasPassed(target.dataCentre(), now)
        && (coldTargets.limit(target.service()).isEmpty() || mayReceiveWhileCold(target, now));
  }

  /**
   * Returns whether the limit on cold targets allows a request. The target may have restarted since
   * it was chosen, and the present incarnation, at the same address, would get the request; one
   * that is not registered any more may be restarting.
   */
  private boolean mayReceiveWhileCold(DiscoveredTarget target, long now) {
    DiscoveredTarget present = registered.all().get(target.id());
    return present != null
        && (!coldTargets.isCold(present, now) || allowances.spend(present.incarnation(), now));
  }

  /**
   * Returns the request for allowances that is to be sent to the coordinator now, if one is due.
   */
  public Optional<AllowanceRequest> nextAllowanceRequest(long now) {
    return allowances.nextRequest(now);
  }

  /**
   * Applies the coordinator's answer to a request for allowances, or its notice that targets may
   * have restarted.
   */
  public void onAllowance(Allowance allowance, long now) {
    if (allowance.isNotice()) {
      allowance.requests().keySet().forEach(t -> coldTargets.onSuspicion(t, now));
    } else {
      allowances.onAllowance(allowance, now);
    }
  }

  /**
   * Records a sign that a target has restarted, which the next request for allowances reports;
   * returns whether it was not suspected before.
   */
  public boolean onSuspicion(DiscoveredTarget target, long now) {
    if (coldTargets.limit(target.service()).isEmpty()) {
      return false;
    }
    allowances.onSuspicion(target.incarnation(), now);
    return coldTargets.onSuspicion(target.incarnation(), now);
  }

  /** Decides as the coordinator whether to check the health of a target now; see ColdTargets. */
  public boolean startCheck(TargetIncarnation target, boolean isReported, long now) {
    return coldTargets.startCheck(target, isReported, now);
  }

  /** Records the result of a health check; see ColdTargets. */
  public boolean onChecked(TargetIncarnation target, OptionalLong coldMillis, long now) {
    return coldTargets.onChecked(target, coldMillis, now);
  }

  /** Returns whether a recent health check, and the entry, say that a target is warm. */
  public boolean isCheckedWarm(TargetIncarnation target, long now) {
    return coldTargets.isCheckedWarm(target, now);
  }

  /** Drops all allowances, since the host's clock may have stopped for a time. */
  public void onSuspended() {
    allowances.clear();
  }

  /** Returns the registered targets that are cold and have a limit. */
  public ImmutableSet<TargetIncarnation> coldTargets(long now) {
    return coldTargets.coldAmong(registered.all().values(), now);
  }

  /** Returns the limit on requests to the target of an id; empty if it has none. */
  public Optional<ColdLimit> coldLimit(String targetId) {
    return Optional.ofNullable(registered.all().get(targetId))
        .flatMap(t -> coldTargets.limit(t.service()));
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
