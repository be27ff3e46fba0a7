package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.range.KeyLoadMeter;
import org.cowslipmoor.core.range.ServiceLoad;

/**
 * Aggregates the hosts' load reports at the coordinator. Not thread-safe; times are nanoseconds.
 *
 * <p>Hosts that count only their own requests would each fill all slots of a target; the totals let
 * them share the slots. A single host also sees too few requests to distinguish a hot key range
 * from random variation.
 */
public final class FleetAggregator {
  /** Age at which a host's report expires. */
  private static final long REPORT_TIMEOUT_NANOS = 1_500_000_000L;

  /**
   * Time since the latest report of a leaving target for which the fleet's state lists it. Hosts
   * report it until a state has listed it, so that the state also lists it for hosts that join or
   * reconnect meanwhile.
   */
  static final long LEAVING_ANNOUNCEMENT_NANOS = 5_000_000_000L;

  /** Half-life of the weight of a target's past responses. */
  private static final long HALF_LIFE_NANOS = 3_000_000_000L;

  /** Weight of the service's mean, in responses, when a target's own mean is estimated. */
  private static final double PRIOR_RESPONSES = 3;

  private static final double MIN_SPEED = 0.1;
  private static final double MAX_SPEED = 4;

  private final KeyLoadMeter keyLoad;
  private final FailingTargets failingTargets = new FailingTargets();
  private final Map<String, ReceivedReport> reports = new HashMap<>();
  private final Map<String, ServiceTime> serviceTimes = new HashMap<>();

  /** Time of the latest report of each leaving target. */
  private final Map<TargetIncarnation, Long> leavingReportedAt = new HashMap<>();

  /** Leaving targets that no state has listed since they became known. */
  private final Set<TargetIncarnation> unlisted = new HashSet<>();

  private ImmutableSet<TargetIncarnation> registered = ImmutableSet.of();

  private record ReceivedReport(HostReport report, long receivedAt) {}

  private FleetAggregator(long now) {
    this.keyLoad = KeyLoadMeter.create(now);
  }

  /** Creates an aggregator without reports. */
  public static FleetAggregator create(long now) {
    return new FleetAggregator(now);
  }

  /**
   * Records a host's report. It replaces the previous one, except that targets reported as leaving
   * remain so. Returns those of them that no host has recently reported.
   */
  public ImmutableSet<TargetIncarnation> onReport(String host, HostReport report, long now) {
    reports.put(host, new ReceivedReport(report, now));
    report
        .keyLoads()
        .forEach(
            (service, keys) ->
                keys.forEach((key, requests) -> keyLoad.count(service, key, requests, now)));
    report
        .targets()
        .forEach(
            (target, s) ->
                serviceTimes
                    .computeIfAbsent(target, unused -> new ServiceTime(now))
                    .add(s.responses(), s.serviceNanos(), now));
    failingTargets.onReport(host, report.dataCentre(), report.targets(), now);
    ImmutableSet<TargetIncarnation> newTargets =
        report.leaving().stream()
            .filter(
                target -> {
                  Long before = leavingReportedAt.put(target, now);
                  return before == null || now - before >= LEAVING_ANNOUNCEMENT_NANOS;
                })
            .collect(ImmutableSet.toImmutableSet());
    unlisted.addAll(newTargets);
    return newTargets;
  }

  /** Records that a state was sent to all hosts. */
  public void onSent(FleetState state) {
    unlisted.removeAll(state.leaving());
  }

  /** Returns whether a registered leaving target was listed in no state since it became known. */
  public boolean hasUnlistedLeaving() {
    return unlisted.stream().anyMatch(registered::contains);
  }

  /** Records the registered targets, and drops the measurements of all others. */
  public void onTargets(Collection<DiscoveredTarget> targets) {
    registered =
        targets.stream().map(DiscoveredTarget::incarnation).collect(ImmutableSet.toImmutableSet());
    failingTargets.onTargets(targets);
    serviceTimes
        .keySet()
        .retainAll(targets.stream().map(DiscoveredTarget::id).collect(Collectors.toSet()));
  }

  /** Returns the hosts whose reports have not expired, with the place in the store of each. */
  public ImmutableMap<String, StorePlace> hosts(long now) {
    expire(now);
    ImmutableMap.Builder<String, StorePlace> hosts = ImmutableMap.builder();
    reports.forEach((host, r) -> hosts.put(host, r.report().store().place()));
    return hosts.buildOrThrow();
  }

  /** Returns the fleet's state, with the totals of the reports that have not expired. */
  public FleetState state(
      long now,
      long tableVersion,
      ImmutableList<FleetState.MovingRange> moving,
      ImmutableSet<String> candidates,
      boolean relaysStore) {
    expire(now);
    Map<String, Integer> inFlight = new HashMap<>();
    for (ReceivedReport r : reports.values()) {
      r.report().targets().forEach((t, s) -> inFlight.merge(t, s.inFlight(), Integer::sum));
    }
    ImmutableMap.Builder<String, FleetState.TargetState> targets = ImmutableMap.builder();
    serviceTimes.forEach(
        (target, serviceTime) ->
            targets.put(
                target,
                new FleetState.TargetState(
                    inFlight.getOrDefault(target, 0), (long) serviceTime.mean(0, 0))));
    return new FleetState(
        Math.max(1, reports.size()),
        targets.buildOrThrow(),
        tableVersion,
        moving,
        candidates,
        relaysStore,
        leavingReportedAt.keySet().stream()
            .filter(registered::contains)
            .collect(ImmutableSet.toImmutableSet()),
        failingTargets.update(Maps.transformValues(reports, r -> r.report().dataCentre()), now));
  }

  /**
   * Returns the load of a keyed service and the speeds of its targets. A speed is the service's
   * mean service time divided by the target's own, which is smoothed towards that mean.
   */
  public ServiceLoad load(String service, List<DiscoveredTarget> targets, long now) {
    double nanos = 0;
    double responses = 0;
    for (DiscoveredTarget t : targets) {
      ServiceTime time = serviceTimes.get(t.id());
      if (time != null) {
        nanos += time.nanos;
        responses += time.responses;
      }
    }
    ImmutableMap.Builder<String, Double> speeds = ImmutableMap.builder();
    if (responses > 0) {
      double mean = nanos / responses;
      for (DiscoveredTarget t : targets) {
        ServiceTime time = serviceTimes.get(t.id());
        if (time != null) {
          double speed = mean / time.mean(PRIOR_RESPONSES, mean);
          speeds.put(t.id(), Math.max(MIN_SPEED, Math.min(MAX_SPEED, speed)));
        }
      }
    }
    return ServiceLoad.of(keyLoad.weights(service, now), speeds.buildOrThrow());
  }

  private void expire(long now) {
    reports.values().removeIf(r -> now - r.receivedAt() > REPORT_TIMEOUT_NANOS);
    leavingReportedAt.values().removeIf(at -> now - at >= LEAVING_ANNOUNCEMENT_NANOS);
    unlisted.retainAll(leavingReportedAt.keySet());
  }

  /** A target's number of responses and their total service time, both decaying exponentially. */
  private static final class ServiceTime {
    double responses;
    double nanos;
    long updatedAt;

    ServiceTime(long now) {
      updatedAt = now;
    }

    void add(int newResponses, long newNanos, long now) {
      double decay = Math.pow(0.5, (double) (now - updatedAt) / HALF_LIFE_NANOS);
      updatedAt = now;
      responses = responses * decay + newResponses;
      nanos = nanos * decay + newNanos;
    }

    /** Returns the mean service time, weighted with a prior mean; 0 without enough responses. */
    double mean(double priorResponses, double priorMean) {
      double weight = responses + priorResponses;
      return weight < 0.5 ? 0 : (nanos + priorResponses * priorMean) / weight;
    }
  }
}
