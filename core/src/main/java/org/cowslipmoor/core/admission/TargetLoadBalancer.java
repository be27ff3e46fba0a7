package org.cowslipmoor.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipmoor.core.balance.Spillover;
import org.cowslipmoor.core.balance.TargetHealth;
import org.cowslipmoor.core.balance.WaterFilling;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.HostReport;
import org.jspecify.annotations.Nullable;

/**
 * Estimates the load and service time of each target from one host's point of view, and assigns
 * requests to targets by these estimates. Not thread-safe; times are nanoseconds.
 *
 * <p>Requests are distributed so that their expected response times become equal: targets differ in
 * speed, are slower while cold, and also serve requests of other hosts, which are visible only
 * through the loads that responses and the fleet's state report. Since all hosts see these reports,
 * and late, a target is chosen at random by its share of what all hosts are expected to send since
 * then; see {@link WaterFilling}. A request that no target is expected to serve in time is rejected
 * immediately, since queueing it beyond its objective would delay the requests behind it as well.
 *
 * <p>Requests stay in the host's data centre while its targets serve them in time; see {@link
 * Spillover}. Those that would be rejected or late there leave at once, and others by a share that
 * changes gradually, if that saves them more waiting than the path costs. They leave only to
 * targets that would serve them in time.
 */
public final class TargetLoadBalancer {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Weight of the newest sample in the exponentially weighted moving averages. */
  private static final double SMOOTHING_FACTOR = 0.15;

  /** Service time that is assumed before the first response. */
  private static final double INITIAL_SERVICE_NANOS = 50 * NANOS_PER_MILLI;

  /** Number of responses after which a target's own mean weighs as much as its service's mean. */
  private static final double PRIOR_RESPONSES = 4;

  /** Age beyond which a reported load of the other hosts is ignored. */
  private static final long MAX_OTHERS_AGE_NANOS = 1_500 * NANOS_PER_MILLI;

  /**
   * Mean age of the hosts' aggregated reports on arrival: hosts report four times a second, and the
   * coordinator passes the aggregate on as often.
   */
  private static final long FLEET_REPORT_AGE_NANOS = 250 * NANOS_PER_MILLI;

  /** Maximum number of requests queued at a target per slot. */
  private static final double MAX_QUEUED_PER_SLOT = 2;

  /** Share of a service's tightest objective that queueing and service time may use. */
  private static final double OBJECTIVE_SHARE = 0.9;

  /** Minimum queue limit, in service times; with a shorter queue, slots would be idle. */
  private static final double MIN_QUEUE_SERVICE_TIMES = 0.5;

  /** Factor on the queue limit for urgent requests. */
  private static final double URGENT_QUEUE_FACTOR = 1.3;

  /** Factor on the queue limit for requests that are not urgent. */
  private static final double DEFAULT_QUEUE_FACTOR = 0.8;

  /** Highest priority number that counts as urgent. */
  private static final int MAX_URGENT_PRIORITY = 1;

  /** Time for which an objective bounds the queues after its last request. */
  private static final long OBJECTIVE_RETENTION_NANOS = 3_000 * NANOS_PER_MILLI;

  /**
   * Share of a target's connections that the hosts use. The remainder covers connections that are
   * being closed or are unknown to the hosts.
   */
  private static final double CONNECTION_SHARE = 0.9;

  /** Maximum number of requests in progress of one host at one target. */
  private static final int MAX_IN_FLIGHT_PER_TARGET = 8;

  /** Bound on the memory for failures of a target; more than any target has room for. */
  private static final int MAX_COUNTED_FAILURES = 1_000;

  private static final long MIN_RETRY_AFTER_NANOS = 100 * NANOS_PER_MILLI;
  private static final double MAX_EJECTED_SHARE = 1.0 / 3;

  /** Restricts the room of targets. */
  @FunctionalInterface
  public interface RoomLimit {
    /** Returns the room of a target, at most the given one and at least 0. */
    double apply(DiscoveredTarget target, double room);
  }

  private final String dataCentre;
  private final String host;
  private final RandomGenerator random;
  private final boolean staysHome;
  private final TargetHealth health = TargetHealth.create(MAX_EJECTED_SHARE);
  private final Map<String, TargetStats> statsByTarget = new HashMap<>();
  private final Map<String, ServiceStats> statsByService = new HashMap<>();
  private ImmutableMap<String, Integer> connectionShares = ImmutableMap.of();

  /** Time of the last state that told the loads of targets, if there was one. */
  private OptionalLong loadsReceivedAt = OptionalLong.empty();

  private TargetLoadBalancer(
      String dataCentre, String host, RandomGenerator random, boolean staysHome) {
    this.dataCentre = dataCentre;
    this.host = host;
    this.random = random;
    this.staysHome = staysHome;
  }

  /**
   * Creates a load balancer without any samples.
   *
   * @param dataCentre the host's own data centre
   * @param random draws the targets of requests
   */
  public static TargetLoadBalancer create(String dataCentre, RandomGenerator random) {
    return create(dataCentre, "", random);
  }

  /**
   * Creates the load balancer of a host that may be named to try failing targets.
   *
   * @param host the host's id
   */
  public static TargetLoadBalancer create(String dataCentre, String host, RandomGenerator random) {
    return new TargetLoadBalancer(dataCentre, host, random, true);
  }

  /**
   * Creates a load balancer that chooses among the targets of all data centres, where the path to
   * another one counts as waiting. This is the former rule, kept for comparison in simulations.
   */
  public static TargetLoadBalancer createWithFixedPathCost(
      String dataCentre, RandomGenerator random) {
    return new TargetLoadBalancer(dataCentre, "", random, false);
  }

  /**
   * Sets the connection limits.
   *
   * @param limits by service, the number of connections that each target accepts from all hosts
   *     together
   * @param sharingHosts number of hosts that share the connections, at least 1
   * @throws IllegalArgumentException if there are no hosts
   */
  public void onConnectionLimits(ImmutableMap<String, Integer> limits, int sharingHosts) {
    checkArgument(sharingHosts >= 1, "sharingHosts must be at least 1, but is %s", sharingHosts);
    connectionShares =
        ImmutableMap.copyOf(
            Maps.transformValues(
                limits,
                limit -> {
                  int share = (int) (limit * CONNECTION_SHARE) / sharingHosts;
                  return Math.max(1, Math.min(MAX_IN_FLIGHT_PER_TARGET, share));
                }));
  }

  /**
   * Assigns a request to one of several targets.
   *
   * @param targets the candidates
   * @param excluded ids of targets that must not be used
   * @param requirements what the request requires of a target
   * @param now current time
   */
  public Placement assign(
      List<DiscoveredTarget> targets,
      Set<String> excluded,
      RequestRequirements requirements,
      long now) {
    return assign(targets, excluded, requirements, (target, room) -> room, now);
  }

  /**
   * Assigns a request to one of several targets, some of which get no more than a part of what
   * their loads allow.
   *
   * @param targets the candidates
   * @param excluded ids of targets that must not be used
   * @param requirements what the request requires of a target
   * @param roomLimit restricts how many of the requests that are distributed now a target may get
   * @param now current time
   */
  public Placement assign(
      List<DiscoveredTarget> targets,
      Set<String> excluded,
      RequestRequirements requirements,
      RoomLimit roomLimit,
      long now) {
    List<DiscoveredTarget> usable =
        health.usable(targets, DiscoveredTarget::id, now).stream()
            .filter(t -> !excluded.contains(t.id()))
            .toList();
    if (usable.isEmpty()) {
      return new Placement.NoTarget();
    }
    ServiceStats m = serviceStats(usable.getFirst().service());
    m.recordObjective(requirements.objectiveNanos(), now);
    List<DiscoveredTarget> home = new ArrayList<>(usable.size());
    List<DiscoveredTarget> away = new ArrayList<>(usable.size());
    for (DiscoveredTarget t : usable) {
      (t.dataCentre().equals(dataCentre) ? home : away).add(t);
    }
    if (away.isEmpty() || home.isEmpty() || !staysHome) {
      Placement placement = assignWithin(usable, requirements, roomLimit, now);
      m.recordPlacement(placement, dataCentre, SpilloverReason.NONE_USABLE);
      return placement;
    }
    updateSpillover(m, home, now);
    Placement placement = assignWithin(home, requirements, roomLimit, now);
    if (mayLeave(placement, m, requirements)) {
      Placement elsewhere = assignAway(away, placement, requirements, roomLimit, now);
      placement = elsewhere == null ? placement : elsewhere;
    }
    m.recordPlacement(placement, dataCentre, SpilloverReason.SATURATED);
    return placement;
  }

  /** Assigns a request to one of several targets, up to the limits of their queues. */
  private Placement assignWithin(
      List<DiscoveredTarget> targets,
      RequestRequirements requirements,
      RoomLimit roomLimit,
      long now) {
    WaterFilling filling = WaterFilling.create(targets.size());
    double requests = 1;
    for (DiscoveredTarget t : targets) {
      double remaining = remainingLoad(t, now);
      requests += reportedLoad(t) - remaining;
      remaining += stats(t).failuresInProgress(now);
      double room = hasConnection(t) ? Math.max(0, maxLoad(t) - remaining) : 0;
      double extraNanos =
          staysHome || t.dataCentre().equals(dataCentre)
              ? 0
              : Spillover.pathNanos(serviceStats(t.service()).responseBytes);
      filling.add(remaining, roomLimit.apply(t, room), t.slots(), serviceNanos(t), extraNanos);
    }
    filling.distribute(requests);
    int chosen = filling.choose(random);
    if (chosen < 0) {
      return new Placement.Reject(retryAfterNanos(targets, now));
    }
    // The request itself is one of those that were distributed.
    return admit(targets.get(chosen), Math.max(0, filling.load(chosen) - 1), requirements, now);
  }

  /** Adapts the share that leaves to the load of the own data centre's targets. */
  private void updateSpillover(ServiceStats m, List<DiscoveredTarget> home, long now) {
    double objectiveNanos = m.tightestObjectiveNanos(now);
    double excess = 0;
    double requestsPerNano = 0;
    for (DiscoveredTarget t : home) {
      excess += load(t, now) - inTimeLoad(t, objectiveNanos);
      requestsPerNano += t.slots() / serviceNanos(t);
    }
    boolean fresh =
        loadsReceivedAt.isPresent() && now - loadsReceivedAt.getAsLong() < MAX_OTHERS_AGE_NANOS;
    m.spillover(now).update(excess, requestsPerNano, fresh, now);
  }

  /** Returns whether a request leaves if it saves enough waiting, given its placement at home. */
  private boolean mayLeave(Placement home, ServiceStats m, RequestRequirements requirements) {
    if (!(home instanceof Placement.Send send)) {
      return true;
    }
    return isLate(send, requirements) || random.nextDouble() < m.spilloverShare();
  }

  private static boolean isLate(Placement.Send placement, RequestRequirements requirements) {
    return placement.expectedNanos() > requirements.objectiveNanos();
  }

  /**
   * Assigns a request to a target of another data centre that serves it in time.
   *
   * @param home its placement in the own data centre
   * @return null if there is none, or if the path costs more than the waiting that it saves
   */
  private @Nullable Placement assignAway(
      List<DiscoveredTarget> away,
      Placement home,
      RequestRequirements requirements,
      RoomLimit roomLimit,
      long now) {
    double objectiveNanos = requirements.objectiveNanos() - Spillover.ROUND_TRIP_NANOS;
    WaterFilling filling = WaterFilling.create(away.size());
    double requests = 1;
    double reported = 0;
    double accepted = 0;
    for (DiscoveredTarget t : away) {
      double remaining = remainingLoad(t, now);
      requests += reportedLoad(t) - remaining;
      reported += reportedLoad(t);
      remaining += stats(t).failuresInProgress(now);
      double limit = acceptedLoad(t, objectiveNanos);
      accepted += limit;
      double room = hasConnection(t) ? Math.max(0, limit - remaining) : 0;
      filling.add(remaining, roomLimit.apply(t, room), t.slots(), serviceNanos(t), 0);
    }
    if (random.nextDouble() >= Spillover.acceptance(reported, accepted)) {
      return null;
    }
    filling.distribute(requests);
    int chosen = filling.choose(random);
    if (chosen < 0) {
      return null;
    }
    DiscoveredTarget target = away.get(chosen);
    double load = Math.max(0, filling.load(chosen) - 1);
    if (!(admit(target, load, requirements, now) instanceof Placement.Send send)
        || send.expectedNanos() > objectiveNanos) {
      return null;
    }
    if (home instanceof Placement.Send atHome && !isLate(atHome, requirements)) {
      double homeWaitNanos = atHome.expectedNanos() - serviceNanos(atHome.target());
      double savedNanos = homeWaitNanos - waitNanos(target, load);
      double costNanos = Spillover.pathNanos(serviceStats(target.service()).responseBytes);
      return savedNanos > costNanos ? send : null;
    }
    return send;
  }

  /** Returns the load up to which a target accepts requests from other data centres. */
  private double acceptedLoad(DiscoveredTarget target, double objectiveNanos) {
    return Math.min(
        maxLoad(target),
        Spillover.acceptedLoad(target.slots(), serviceNanos(target), objectiveNanos));
  }

  /** Returns the load up to which a target of the own data centre serves all requests in time. */
  private double inTimeLoad(DiscoveredTarget target, double objectiveNanos) {
    return Math.min(
        maxLoad(target),
        Spillover.inTimeLoad(target.slots(), serviceNanos(target), objectiveNanos));
  }

  /** Returns a random one of the targets with the given probability; otherwise none. */
  public Optional<DiscoveredTarget> sample(List<DiscoveredTarget> targets, double probability) {
    return targets.isEmpty() || random.nextDouble() >= probability
        ? Optional.empty()
        : Optional.of(targets.get(random.nextInt(targets.size())));
  }

  /** Decides whether a request can be served in time by the only target that may serve it. */
  public Placement admit(DiscoveredTarget target, RequestRequirements requirements, long now) {
    return admit(target, load(target, now), requirements, now);
  }

  private Placement admit(
      DiscoveredTarget target, double load, RequestRequirements requirements, long now) {
    double queueNanos = waitNanos(target, load);
    double serviceNanos = serviceNanos(target);
    ServiceStats m = serviceStats(target.service());
    m.recordObjective(requirements.objectiveNanos(), now);
    boolean exceedsQueueLimit =
        queueNanos > 0 && queueNanos > maxQueueNanos(m, serviceNanos, requirements, now);
    boolean missesDeadline =
        queueNanos > 0 && queueNanos + serviceNanos > requirements.deadlineNanos();
    if (!hasConnection(target) || load >= maxLoad(target) || exceedsQueueLimit || missesDeadline) {
      return new Placement.Reject(retryAfterNanos(List.of(target), now));
    }
    return new Placement.Send(target, (long) (queueNanos + serviceNanos));
  }

  /** Returns the maximum time in nanoseconds that a request may wait for a slot. */
  private static double maxQueueNanos(
      ServiceStats m, double serviceNanos, RequestRequirements requirements, long now) {
    double spareNanos = m.tightestObjectiveNanos(now) * OBJECTIVE_SHARE - serviceNanos;
    boolean urgent = requirements.priority() <= MAX_URGENT_PRIORITY;
    double limitNanos = Math.max(MIN_QUEUE_SERVICE_TIMES * serviceNanos, spareNanos);
    return limitNanos * (urgent ? URGENT_QUEUE_FACTOR : DEFAULT_QUEUE_FACTOR);
  }

  /** Records that a request is sent. */
  public void onSend(DiscoveredTarget target, long now) {
    health.onSend(target.id(), now);
    TargetStats s = stats(target);
    s.inFlight++;
    s.queueNanosAtSend = queueNanos(target, now);
  }

  /**
   * Records a complete response to a request that the target ran.
   *
   * @param elapsedNanos nanoseconds from sending the request to the response head
   * @param bytes length of the response body
   * @param load load that the response reports; null if it reports none
   */
  public void onResponse(
      DiscoveredTarget target,
      long now,
      long elapsedNanos,
      long bytes,
      @Nullable ReportedLoad load) {
    health.onResponse(target.id());
    TargetStats s = stats(target);
    s.inFlight--;
    double serviceNanos = Math.max(NANOS_PER_MILLI, elapsedNanos - s.queueNanosAtSend);
    s.recordServiceTime(serviceNanos);
    s.newResponses++;
    s.newServiceNanos += (long) serviceNanos;
    ServiceStats m = serviceStats(target.service());
    m.serviceNanos += SMOOTHING_FACTOR * (serviceNanos - m.serviceNanos);
    m.responseBytes += SMOOTHING_FACTOR * (bytes - m.responseBytes);
    if (m.placed > 0 && !target.dataCentre().equals(dataCentre)) {
      m.spilledBytes += bytes;
    }
    recordReportedLoad(target, now, load);
  }

  /** Records that the target rejected a request, with the load that it reported. */
  public void onRejected(DiscoveredTarget target, long now, @Nullable ReportedLoad load) {
    stats(target).inFlight--;
    recordReportedLoad(target, now, load);
  }

  /** Records a failure: target unreachable, connection lost, timeout, or an error response. */
  public void onFailure(DiscoveredTarget target, long now) {
    health.onFailure(target.id(), now);
    TargetStats s = stats(target);
    s.inFlight--;
    s.newFailures++;
    s.recordFailure(now + (long) serviceNanos(target));
  }

  /** Records that a request ended without information about the target. */
  public void onCancelled(DiscoveredTarget target) {
    stats(target).inFlight--;
  }

  /** Returns the estimates for a target as log fields. */
  public String describe(DiscoveredTarget target, long now) {
    TargetStats s = stats(target);
    return String.format(
        Locale.ROOT,
        "own=%d others=%d age_ms=%d load=%.0f service_ms=%.0f",
        s.inFlight,
        s.othersInFlight,
        (now - s.othersReportedAt) / NANOS_PER_MILLI,
        load(target, now),
        serviceNanos(target) / NANOS_PER_MILLI);
  }

  /** Returns the samples of each target since the last call, and resets them. */
  public ImmutableMap<String, HostReport.TargetSample> drainSamples() {
    ImmutableMap.Builder<String, HostReport.TargetSample> samples = ImmutableMap.builder();
    statsByTarget.forEach(
        (id, s) -> {
          s.reportedInFlight = s.inFlight;
          if (s.inFlight > 0 || s.newResponses > 0 || s.newFailures > 0) {
            samples.put(
                id,
                new HostReport.TargetSample(
                    s.inFlight, s.newResponses, s.newServiceNanos, s.newFailures));
          }
          s.newResponses = 0;
          s.newFailures = 0;
          s.newServiceNanos = 0;
        });
    return samples.buildOrThrow();
  }

  /** Returns what left the data centre since the start, by service without keys. */
  public ImmutableMap<String, SpilloverCounts> spilloverCounts() {
    ImmutableMap.Builder<String, SpilloverCounts> counts = ImmutableMap.builder();
    statsByService.forEach(
        (service, m) -> {
          if (m.placed > 0) {
            counts.put(service, m.counts());
          }
        });
    return counts.buildOrThrow();
  }

  /** Applies the state that is aggregated from the reports of all hosts. */
  public void onFleetState(FleetState fleet, long now) {
    if (!fleet.targets().isEmpty()) {
      loadsReceivedAt = OptionalLong.of(now);
    }
    Map<String, Boolean> failing = new HashMap<>();
    for (FleetState.FailingTarget f : fleet.failing()) {
      if (f.dataCentre().isEmpty() || f.dataCentre().equals(dataCentre)) {
        boolean mayTry = !host.isEmpty() && f.trialHost().equals(host);
        failing.merge(f.target(), mayTry, Boolean::logicalAnd);
      }
    }
    health.onPublished(failing, now);
    fleet
        .targets()
        .forEach(
            (id, t) -> {
              TargetStats s = statsByTarget.computeIfAbsent(id, unused -> new TargetStats());
              s.fleetServiceNanos = t.serviceNanos();
              // A load that the target reported recently is newer than the aggregated reports.
              if (s.othersReportedAt == 0 || now - s.othersReportedAt >= FLEET_REPORT_AGE_NANOS) {
                s.recordOthers(t.inFlight() - s.reportedInFlight, FLEET_REPORT_AGE_NANOS, now);
              }
            });
  }

  /** Removes the targets that are not listed, unless they still have requests in progress. */
  public void retain(Set<String> ids) {
    statsByTarget.entrySet().removeIf(e -> !ids.contains(e.getKey()) && e.getValue().inFlight == 0);
  }

  /** Returns the expected service time of one request at a target, in nanoseconds. */
  double serviceNanos(DiscoveredTarget target) {
    ServiceStats m = serviceStats(target.service());
    TargetStats s = stats(target);
    if (s.fleetServiceNanos > 0) {
      return s.fleetServiceNanos;
    }
    double ownWeight = s.responses / (s.responses + PRIOR_RESPONSES);
    return ownWeight * s.serviceNanos + (1 - ownWeight) * m.serviceNanos;
  }

  /** Returns the expected time in nanoseconds that a request waits for a slot at a target. */
  double queueNanos(DiscoveredTarget target, long now) {
    return waitNanos(target, load(target, now));
  }

  private double waitNanos(DiscoveredTarget target, double load) {
    double ahead = load + 1 - target.slots();
    return ahead <= 0 ? 0 : ahead * serviceNanos(target) / target.slots();
  }

  private void recordReportedLoad(DiscoveredTarget target, long now, @Nullable ReportedLoad load) {
    if (load == null) {
      return;
    }
    TargetStats s = stats(target);
    s.recordOthers(load.running() + load.waiting() - s.inFlight, 0, now);
  }

  /** Returns the requests in progress at a target; those of other hosts as last reported. */
  private double load(DiscoveredTarget target, long now) {
    TargetStats s = stats(target);
    boolean fresh = s.othersReportedAt != 0 && now - s.othersReportedAt < MAX_OTHERS_AGE_NANOS;
    return s.inFlight + (fresh ? s.othersInFlight : 0);
  }

  /** Returns the requests in progress at a target, with those of other hosts at any age. */
  private double reportedLoad(DiscoveredTarget target) {
    TargetStats s = stats(target);
    return s.inFlight + s.othersInFlight;
  }

  /**
   * Returns the requests that are still in progress at a target of those that were reported: the
   * other hosts' requests have ended at the rate at which the target serves them.
   */
  private double remainingLoad(DiscoveredTarget target, long now) {
    TargetStats s = stats(target);
    double responseNanos = serviceNanos(target) + waitNanos(target, reportedLoad(target) - 1);
    long ageNanos = now - s.othersReportedAt + s.othersAgeNanos;
    return s.inFlight + s.othersInFlight * Math.exp(-ageNanos / responseNanos);
  }

  /** Returns whether this host may open another connection to a target. */
  private boolean hasConnection(DiscoveredTarget target) {
    return stats(target).inFlight
        < connectionShares.getOrDefault(target.service(), MAX_IN_FLIGHT_PER_TARGET);
  }

  private static double maxLoad(DiscoveredTarget target) {
    return target.slots() * (1 + MAX_QUEUED_PER_SLOT);
  }

  private long retryAfterNanos(List<DiscoveredTarget> targets, long now) {
    double shortest =
        targets.stream().mapToDouble(t -> queueNanos(t, now)).min().orElse(MIN_RETRY_AFTER_NANOS);
    return Math.max(MIN_RETRY_AFTER_NANOS, (long) shortest);
  }

  private TargetStats stats(DiscoveredTarget target) {
    return statsByTarget.computeIfAbsent(target.id(), unused -> new TargetStats());
  }

  private ServiceStats serviceStats(String service) {
    return statsByService.computeIfAbsent(service, unused -> new ServiceStats());
  }

  /** Statistics of one target. */
  private static final class TargetStats {
    int inFlight;
    double serviceNanos;
    double responses;

    /** Requests in progress of other hosts, as last reported. */
    int othersInFlight;

    /** Age of that report on arrival. */
    long othersAgeNanos;

    long othersReportedAt;
    double queueNanosAtSend;
    int reportedInFlight;
    int newResponses;
    int newFailures;

    /** Times at which responses would have come in place of failures, in order. */
    private final ArrayDeque<Long> failuresUntil = new ArrayDeque<>();

    long newServiceNanos;
    long fleetServiceNanos;

    void recordFailure(long until) {
      if (failuresUntil.size() == MAX_COUNTED_FAILURES) {
        failuresUntil.removeFirst();
      }
      failuresUntil.add(until);
    }

    /**
     * Returns the failed requests that would still be in progress if they had been answered, so
     * that a target that fails fast does not look idle.
     */
    int failuresInProgress(long now) {
      while (!failuresUntil.isEmpty() && now - failuresUntil.getFirst() >= 0) {
        failuresUntil.removeFirst();
      }
      return failuresUntil.size();
    }

    void recordOthers(int requests, long ageNanos, long now) {
      othersInFlight = Math.max(0, requests);
      othersAgeNanos = ageNanos;
      othersReportedAt = now;
    }

    void recordServiceTime(double nanos) {
      responses++;
      double weight = Math.max(SMOOTHING_FACTOR, 1 / responses);
      serviceNanos += weight * (nanos - serviceNanos);
    }
  }

  /** Why a request leaves the data centre. */
  private enum SpilloverReason {
    /** The own targets would reject it, or serve it late, or are loaded beyond their limit. */
    SATURATED,
    /** The data centre has no usable target of the service. */
    NONE_USABLE
  }

  /** Statistics over all targets of one service. */
  private static final class ServiceStats {
    double serviceNanos = INITIAL_SERVICE_NANOS;
    double responseBytes;
    private final Map<Long, Long> lastSeenByObjective = new HashMap<>();
    @Nullable Spillover spillover;
    long placed;
    long leftSaturated;
    long leftNoneUsable;
    long spilledBytes;

    Spillover spillover(long now) {
      if (spillover == null) {
        spillover = Spillover.create(now);
      }
      return spillover;
    }

    double spilloverShare() {
      return spillover == null ? 0 : spillover.share();
    }

    /** Counts a request without a key, and for which reason it leaves the data centre, if so. */
    void recordPlacement(Placement placement, String dataCentre, SpilloverReason reason) {
      if (!(placement instanceof Placement.Send send)) {
        return;
      }
      placed++;
      if (!send.target().dataCentre().equals(dataCentre)) {
        leftSaturated += reason == SpilloverReason.SATURATED ? 1 : 0;
        leftNoneUsable += reason == SpilloverReason.NONE_USABLE ? 1 : 0;
      }
    }

    SpilloverCounts counts() {
      return new SpilloverCounts(
          placed, leftSaturated, leftNoneUsable, spilledBytes, spilloverShare());
    }

    void recordObjective(long nanos, long now) {
      lastSeenByObjective.put(nanos, now);
    }

    double tightestObjectiveNanos(long now) {
      lastSeenByObjective.values().removeIf(seenAt -> now - seenAt > OBJECTIVE_RETENTION_NANOS);
      return lastSeenByObjective.keySet().stream().mapToLong(o -> o).min().orElse(0);
    }
  }
}
