package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.range.KeyLoadMeter;
import org.cowslipmoor.core.range.ServiceLoad;

/**
 * Adds up the hosts' reports at the coordinator. Not thread-safe; times are nanoseconds.
 *
 * <p>Hosts that know only their own requests each fill a target's slots; with the sums of all they
 * share them. One host sees too few requests to tell a hot range from chance.
 */
public final class FleetAggregator {
  /** Time after which a host's report no longer counts. */
  private static final long REPORT_LIFETIME = 1_500_000_000L;

  /** Time in which a target's answers lose half of their weight. */
  private static final long HALF_LIFE = 3_000_000_000L;

  /** Answers of the service's mean that a target's own are mixed with. */
  private static final double PRIOR_ANSWERS = 3;

  private static final double SLOWEST = 0.1;
  private static final double FASTEST = 4;

  private final KeyLoadMeter keyLoad;
  private final Map<String, Reported> reports = new HashMap<>();
  private final Map<String, Work> works = new HashMap<>();

  private record Reported(HostReport report, long at) {}

  private FleetAggregator(long now) {
    this.keyLoad = KeyLoadMeter.create(now);
  }

  /** Creates an aggregator without reports. */
  public static FleetAggregator create(long now) {
    return new FleetAggregator(now);
  }

  /** Takes a host's report. */
  public void onReport(String host, HostReport report, long now) {
    reports.put(host, new Reported(report, now));
    report
        .keyLoads()
        .forEach(
            (service, keys) ->
                keys.forEach((key, requests) -> keyLoad.count(service, key, requests, now)));
    report
        .targets()
        .forEach(
            (target, s) ->
                works
                    .computeIfAbsent(target, unused -> new Work(now))
                    .add(s.responses(), s.serviceNanos(), now));
  }

  /** Forgets what is not of the given targets. */
  public void retain(ImmutableSet<String> targets) {
    works.keySet().retainAll(targets);
  }

  /** Returns the hosts whose reports count, with the newest store revision that each knows. */
  public ImmutableMap<String, Long> hosts(long now) {
    expire(now);
    ImmutableMap.Builder<String, Long> hosts = ImmutableMap.builder();
    reports.forEach((host, r) -> hosts.put(host, r.report().storeRevision()));
    return hosts.buildOrThrow();
  }

  /** Returns the sums. */
  public FleetState state(
      long now,
      long tableVersion,
      ImmutableList<FleetState.MovingRange> moving,
      ImmutableSet<String> candidates,
      boolean relaysStore) {
    expire(now);
    Map<String, Integer> inFlight = new HashMap<>();
    for (Reported r : reports.values()) {
      r.report().targets().forEach((t, s) -> inFlight.merge(t, s.inFlight(), Integer::sum));
    }
    ImmutableMap.Builder<String, FleetState.TargetState> targets = ImmutableMap.builder();
    works.forEach(
        (target, work) ->
            targets.put(
                target,
                new FleetState.TargetState(
                    inFlight.getOrDefault(target, 0), (long) work.mean(0, 0))));
    return new FleetState(
        Math.max(1, reports.size()),
        targets.buildOrThrow(),
        tableVersion,
        moving,
        candidates,
        relaysStore);
  }

  /** Returns the load of a keyed service and the speeds of its targets. */
  public ServiceLoad load(String service, List<DiscoveredTarget> targets, long now) {
    double nanos = 0;
    double answers = 0;
    for (DiscoveredTarget t : targets) {
      Work w = works.get(t.id());
      if (w != null) {
        nanos += w.nanos;
        answers += w.answers;
      }
    }
    ImmutableMap.Builder<String, Double> speeds = ImmutableMap.builder();
    if (answers > 0) {
      double mean = nanos / answers;
      for (DiscoveredTarget t : targets) {
        Work w = works.get(t.id());
        if (w != null) {
          double speed = mean / w.mean(PRIOR_ANSWERS, mean);
          speeds.put(t.id(), Math.max(SLOWEST, Math.min(FASTEST, speed)));
        }
      }
    }
    return ServiceLoad.of(keyLoad.weights(service, now), speeds.buildOrThrow());
  }

  private void expire(long now) {
    reports.values().removeIf(r -> now - r.at() > REPORT_LIFETIME);
  }

  /** Answers of one target and the time it worked on them, both decayed. */
  private static final class Work {
    double answers;
    double nanos;
    long at;

    Work(long now) {
      at = now;
    }

    void add(int moreAnswers, long moreNanos, long now) {
      double kept = Math.pow(0.5, (double) (now - at) / HALF_LIFE);
      at = now;
      answers = answers * kept + moreAnswers;
      nanos = nanos * kept + moreNanos;
    }

    double mean(double priorAnswers, double priorMean) {
      double weight = answers + priorAnswers;
      return weight < 0.5 ? 0 : (nanos + priorAnswers * priorMean) / weight;
    }
  }
}
