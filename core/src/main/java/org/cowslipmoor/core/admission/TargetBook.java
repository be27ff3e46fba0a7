package org.cowslipmoor.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipmoor.core.balance.TargetHealth;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.HostReport;
import org.jspecify.annotations.Nullable;

/**
 * Knows one host's view of each target's load and speed, and places requests by it. Not
 * thread-safe; times are nanoseconds.
 *
 * <p>A request goes where its answer is expected first: targets differ in speed, slow down when
 * they are cold, and get requests of other hosts that are seen only in the loads that answers tell.
 * When each target would answer too late, the request is refused at once: requests that queue
 * beyond their objective make those behind them late as well.
 */
public final class TargetBook {
  private static final long MS = 1_000_000L;

  /** Weight of the newest service time in the smoothed one. */
  private static final double NEW_SHARE = 0.15;

  /** Service time that is assumed before the first answer. */
  private static final double FIRST_SERVICE_NANOS = 50 * MS;

  /** Answers after which a target's own service time counts as much as its service's. */
  private static final double PRIOR_ANSWERS = 4;

  /** Time in which what a target told of its load loses most of its meaning. */
  private static final double REPORT_AGE_NANOS = 1_000 * MS;

  /** Time after which the sums of all hosts no longer count. */
  private static final long FLEET_LIFETIME = 1_500 * MS;

  /** Requests that may wait at a target for each of its slots. */
  private static final double QUEUE_PER_SLOT = 2;

  /** Extra cost of a byte that comes from another data centre, against a nanosecond of waiting. */
  private static final double REMOTE_NANOS_PER_BYTE = 400;

  /** Round trip between data centres. */
  private static final double REMOTE_NANOS = 3 * MS;

  /** Part of the objective that requests may use up, by rank from the most urgent. */
  private static final double URGENT_SHARE = 1.1;

  private static final double USUAL_SHARE = 0.9;
  private static final long LEAST_RETRY = 100 * MS;
  private static final double LARGEST_EJECTED_SHARE = 1.0 / 3;

  private final String dataCentre;
  private final RandomGenerator random;
  private final int connectionShare;
  private final TargetHealth health = TargetHealth.create(LARGEST_EJECTED_SHARE);
  private final Map<String, Seen> seen = new HashMap<>();
  private final Map<String, ServiceMeans> means = new HashMap<>();

  private TargetBook(String dataCentre, int connectionShare, RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.connectionShare = connectionShare;
    this.random = random;
  }

  /**
   * Creates a book without any knowledge.
   *
   * @param dataCentre the host's own data centre
   * @param connectionShare most requests of this host at one target at the same time, at least 1
   * @param random breaks ties
   */
  public static TargetBook create(String dataCentre, int connectionShare, RandomGenerator random) {
    checkArgument(connectionShare >= 1, "connectionShare must be at least 1");
    return new TargetBook(dataCentre, connectionShare, random);
  }

  /** Places a request on one of several targets. */
  public Placement place(
      List<DiscoveredTarget> targets, Set<String> excluded, RequestNeeds needs, long now) {
    List<DiscoveredTarget> usable =
        health.usable(targets, DiscoveredTarget::id, now).stream()
            .filter(t -> !excluded.contains(t.id()))
            .toList();
    DiscoveredTarget best = null;
    double bestCost = Double.MAX_VALUE;
    int equals = 0;
    for (DiscoveredTarget t : usable) {
      double cost = queueNanos(t, now) + serviceNanos(t) + remoteCost(t);
      if (!hasRoom(t, now)) {
        continue;
      }
      if (cost < bestCost) {
        best = t;
        bestCost = cost;
        equals = 1;
      } else if (cost == bestCost) {
        equals++;
        best = random.nextInt(equals) == 0 ? t : best;
      }
    }
    if (best == null) {
      return usable.isEmpty() ? new Placement.NoTarget() : new Placement.Refuse(retry(usable, now));
    }
    return admit(best, needs, now);
  }

  /** Decides whether a request can be served by the one target that may serve it. */
  public Placement admit(DiscoveredTarget target, RequestNeeds needs, long now) {
    double queue = queueNanos(target, now);
    double expected = queue + serviceNanos(target);
    double share = needs.priority() <= 1 ? URGENT_SHARE : USUAL_SHARE;
    boolean late = queue > 0 && expected > needs.objectiveNanos() * share;
    if (!hasRoom(target, now) || late) {
      return new Placement.Refuse(retry(List.of(target), now));
    }
    return new Placement.Send(target, (long) expected);
  }

  /** Notes that a request is sent. */
  public void onSend(DiscoveredTarget target, long now) {
    health.onSend(target.id(), now);
    Seen s = of(target);
    s.inFlight++;
    s.queueAtSend = queueNanos(target, now);
  }

  /**
   * Notes a whole answer that the target worked for.
   *
   * @param elapsed nanoseconds from sending to the answer's head
   * @param bytes length of the answer's body
   */
  public void onAnswer(
      DiscoveredTarget target, long now, long elapsed, long bytes, @Nullable ReportedLoad load) {
    health.onAnswer(target.id());
    Seen s = of(target);
    s.inFlight--;
    double service = Math.max(MS, elapsed - s.queueAtSend);
    s.learnService(service);
    s.newAnswers++;
    s.newServiceNanos += (long) service;
    ServiceMeans m = means(target.service());
    m.service += NEW_SHARE * (service - m.service);
    m.bytes += NEW_SHARE * (bytes - m.bytes);
    onLoad(target, now, load);
  }

  /** Notes that the target told its load while it turned a request away. */
  public void onTurnedAway(DiscoveredTarget target, long now, @Nullable ReportedLoad load) {
    of(target).inFlight--;
    onLoad(target, now, load);
  }

  /** Notes that the target failed: unreachable, broken off, out of time, or in error. */
  public void onFailure(DiscoveredTarget target, long now) {
    health.onFailure(target.id(), now);
    of(target).inFlight--;
  }

  /** Notes that a request ended without telling anything about the target. */
  public void onCancelled(DiscoveredTarget target) {
    of(target).inFlight--;
  }

  /** Returns the requests of this host at a target. */
  public int inFlight(String target) {
    Seen s = seen.get(target);
    return s == null ? 0 : s.inFlight;
  }

  /** Returns what was seen of each target since the last call. */
  public ImmutableMap<String, HostReport.TargetSample> drainSamples() {
    ImmutableMap.Builder<String, HostReport.TargetSample> samples = ImmutableMap.builder();
    seen.forEach(
        (id, s) -> {
          s.reportedInFlight = s.inFlight;
          if (s.inFlight > 0 || s.newAnswers > 0) {
            samples.put(
                id, new HostReport.TargetSample(s.inFlight, s.newAnswers, s.newServiceNanos));
          }
          s.newAnswers = 0;
          s.newServiceNanos = 0;
        });
    return samples.buildOrThrow();
  }

  /** Takes what all hosts together have seen. */
  public void onFleet(FleetState fleet, long now) {
    fleet
        .targets()
        .forEach(
            (id, t) -> {
              Seen s = seen.computeIfAbsent(id, unused -> new Seen());
              s.fleetOthers = Math.max(0, t.inFlight() - s.reportedInFlight);
              s.fleetServiceNanos = t.serviceNanos();
              s.fleetAt = now;
            });
  }

  /** Forgets the targets that are not listed, unless they still have requests. */
  public void retain(Set<String> ids) {
    seen.entrySet().removeIf(e -> !ids.contains(e.getKey()) && e.getValue().inFlight == 0);
  }

  /** Returns the nanoseconds that a target is expected to work on one request. */
  double serviceNanos(DiscoveredTarget target) {
    ServiceMeans m = means(target.service());
    Seen s = of(target);
    if (s.fleetServiceNanos > 0) {
      return s.fleetServiceNanos;
    }
    double own = s.answers / (s.answers + PRIOR_ANSWERS);
    return own * s.service + (1 - own) * m.service;
  }

  /** Returns the nanoseconds that a request would wait at a target for a slot. */
  double queueNanos(DiscoveredTarget target, long now) {
    double ahead = load(target, now) + 1 - target.slots();
    return ahead <= 0 ? 0 : ahead * serviceNanos(target) / target.slots();
  }

  private void onLoad(DiscoveredTarget target, long now, @Nullable ReportedLoad load) {
    if (load == null) {
      return;
    }
    Seen s = of(target);
    s.others = Math.max(0, load.running() + load.waiting() - s.inFlight);
    s.reportedAt = now;
    ServiceMeans m = means(target.service());
    m.others += NEW_SHARE * (s.others - m.others);
  }

  private double load(DiscoveredTarget target, long now) {
    Seen s = of(target);
    if (s.fleetAt != 0 && now - s.fleetAt < FLEET_LIFETIME) {
      return s.inFlight + s.fleetOthers;
    }
    double mean = means(target.service()).others;
    double trust = s.reportedAt == 0 ? 0 : Math.exp(-(now - s.reportedAt) / REPORT_AGE_NANOS);
    return s.inFlight + mean + trust * (s.others - mean);
  }

  private boolean hasRoom(DiscoveredTarget target, long now) {
    return of(target).inFlight < connectionShare
        && load(target, now) < target.slots() * (1 + QUEUE_PER_SLOT);
  }

  private double remoteCost(DiscoveredTarget target) {
    return target.dataCentre().equals(dataCentre)
        ? 0
        : REMOTE_NANOS + REMOTE_NANOS_PER_BYTE * means(target.service()).bytes;
  }

  private long retry(List<DiscoveredTarget> targets, long now) {
    double least = targets.stream().mapToDouble(t -> queueNanos(t, now)).min().orElse(LEAST_RETRY);
    return Math.max(LEAST_RETRY, (long) least);
  }

  private Seen of(DiscoveredTarget target) {
    return seen.computeIfAbsent(target.id(), unused -> new Seen());
  }

  private ServiceMeans means(String service) {
    return means.computeIfAbsent(service, unused -> new ServiceMeans());
  }

  /** What is known of one target. */
  private static final class Seen {
    int inFlight;
    double service;
    double answers;
    double others;
    long reportedAt;
    double queueAtSend;
    int reportedInFlight;
    int newAnswers;
    long newServiceNanos;
    int fleetOthers;
    long fleetServiceNanos;
    long fleetAt;

    void learnService(double nanos) {
      answers++;
      double share = Math.max(NEW_SHARE, 1 / answers);
      service += share * (nanos - service);
    }
  }

  /** What is known of the targets of one service together. */
  private static final class ServiceMeans {
    double service = FIRST_SERVICE_NANOS;
    double bytes;
    double others;
  }
}
