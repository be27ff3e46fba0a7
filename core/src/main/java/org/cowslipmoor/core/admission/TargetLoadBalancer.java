package org.cowslipmoor.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
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
public final class TargetLoadBalancer {
  private static final long MS = 1_000_000L;

  /** Weight of the newest service time in the smoothed one. */
  private static final double NEW_SHARE = 0.15;

  /** Service time that is assumed before the first answer. */
  private static final double FIRST_SERVICE_NANOS = 50 * MS;

  /** Answers after which a target's own service time counts as much as its service's. */
  private static final double PRIOR_ANSWERS = 4;

  /** Time after which what was told of the other hosts' requests no longer counts. */
  private static final long OTHERS_LIFETIME = 1_500 * MS;

  /** Age that the sum of the hosts' reports has when it arrives. */
  private static final long REPORT_DELAY = 150 * MS;

  /** Requests that may wait at a target for each of its slots. */
  private static final double QUEUE_PER_SLOT = 2;

  /** Extra cost of a byte that comes from another data centre, against a nanosecond of waiting. */
  private static final double REMOTE_NANOS_PER_BYTE = 1_000;

  /** Round trip between data centres. */
  private static final double REMOTE_NANOS = 3 * MS;

  /** Part of the tightest objective of a service that its queues and its work may use up. */
  private static final double OBJECTIVE_SHARE = 0.9;

  /** Shortest queue that is allowed, in service times; a shorter one would leave slots idle. */
  private static final double LEAST_QUEUE = 0.5;

  /** Queue that is allowed to urgent requests and to the others, relative to the usual one. */
  private static final double URGENT_FACTOR = 1.3;

  private static final double USUAL_FACTOR = 0.8;

  /** Lowest rank that counts as urgent. */
  private static final int URGENT_PRIORITY = 1;

  /** Time after which an objective that was not seen again no longer bounds the queues. */
  private static final long OBJECTIVE_MEMORY = 3_000 * MS;

  /** Part of a target's connections that the hosts use; some are being closed or not known of. */
  private static final double CONNECTION_PART = 0.9;

  /** Most requests of one host at one target. */
  private static final int LARGEST_SHARE = 8;

  private static final long LEAST_RETRY = 100 * MS;
  private static final double LARGEST_EJECTED_SHARE = 1.0 / 3;

  private final String dataCentre;
  private final RandomGenerator random;
  private final TargetHealth health = TargetHealth.create(LARGEST_EJECTED_SHARE);
  private final Map<String, Seen> seen = new HashMap<>();
  private final Map<String, ServiceMeans> means = new HashMap<>();
  private int hosts = 1;
  private ImmutableMap<String, Integer> connectionShares = ImmutableMap.of();

  private TargetLoadBalancer(String dataCentre, RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.random = random;
  }

  /**
   * Creates a book without any knowledge.
   *
   * @param dataCentre the host's own data centre
   * @param random breaks ties
   */
  public static TargetLoadBalancer create(String dataCentre, RandomGenerator random) {
    return new TargetLoadBalancer(dataCentre, random);
  }

  /**
   * Takes how many connections each target of a service accepts from all hosts together, and the
   * number of hosts that share them, at least 1.
   */
  public void onConnectionLimits(ImmutableMap<String, Integer> limits, int sharingHosts) {
    checkArgument(sharingHosts >= 1, "hosts must be at least 1, but are %s", sharingHosts);
    connectionShares =
        ImmutableMap.copyOf(
            Maps.transformValues(
                limits,
                limit -> {
                  int share = (int) (limit * CONNECTION_PART) / sharingHosts;
                  return Math.max(1, Math.min(LARGEST_SHARE, share));
                }));
  }

  /** Places a request on one of several targets. */
  public Placement assign(
      List<DiscoveredTarget> targets, Set<String> excluded, RequestRequirements needs, long now) {
    List<DiscoveredTarget> usable =
        health.usable(targets, DiscoveredTarget::id, now).stream()
            .filter(t -> !excluded.contains(t.id()))
            .toList();
    DiscoveredTarget best = null;
    double bestCost = Double.MAX_VALUE;
    int equals = 0;
    for (DiscoveredTarget t : usable) {
      if (!hasRoom(t, now)) {
        continue;
      }
      double cost = mirroredQueueNanos(t, now) + serviceNanos(t) + remoteCost(t);
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
      return usable.isEmpty() ? new Placement.NoTarget() : new Placement.Reject(retry(usable, now));
    }
    return admit(best, needs, now);
  }

  /** Decides whether a request can be served by the one target that may serve it. */
  public Placement admit(DiscoveredTarget target, RequestRequirements needs, long now) {
    double queue = queueNanos(target, now);
    double service = serviceNanos(target);
    ServiceMeans m = means(target.service());
    m.noteObjective(needs.objectiveNanos(), now);
    boolean tooLong = queue > 0 && queue > largestQueue(m, service, needs, now);
    boolean hopeless = queue > 0 && queue + service > needs.deadlineNanos();
    if (!hasRoom(target, now) || tooLong || hopeless) {
      return new Placement.Reject(retry(List.of(target), now));
    }
    return new Placement.Send(target, (long) (queue + service));
  }

  /** Returns the nanoseconds that a request may wait for a slot. */
  private static double largestQueue(
      ServiceMeans m, double service, RequestRequirements needs, long now) {
    double spare = m.tightestObjective(now) * OBJECTIVE_SHARE - service;
    boolean urgent = needs.priority() <= URGENT_PRIORITY;
    double usual = Math.max(LEAST_QUEUE * service, spare);
    return usual * (urgent ? URGENT_FACTOR : USUAL_FACTOR);
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
  public void onResponse(
      DiscoveredTarget target, long now, long elapsed, long bytes, @Nullable ReportedLoad load) {
    health.onResponse(target.id());
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
  public void onRejected(DiscoveredTarget target, long now, @Nullable ReportedLoad load) {
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

  /** Returns what is believed of a target, for logs. */
  public String describe(DiscoveredTarget target, long now) {
    Seen s = of(target);
    return String.format(
        Locale.ROOT,
        "own=%d others=%d age_ms=%d load=%.0f service_ms=%.0f",
        s.inFlight,
        s.others,
        (now - s.othersAt) / MS,
        load(target, now),
        serviceNanos(target) / MS);
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
  public void onFleetState(FleetState fleet, long now) {
    hosts = fleet.hosts();
    fleet
        .targets()
        .forEach(
            (id, t) -> {
              Seen s = seen.computeIfAbsent(id, unused -> new Seen());
              s.fleetServiceNanos = t.serviceNanos();
              // What the target itself told lately is newer than the sum of the hosts' reports.
              if (s.othersAt == 0 || now - s.othersAt >= REPORT_DELAY) {
                s.noteOthers(t.inFlight() - s.reportedInFlight, s.reportedInFlight, now);
              }
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
    return waitNanos(target, load(target, now));
  }

  /**
   * Returns the nanoseconds that a request would wait if the other hosts had sent to the target
   * what this one has since they last told. Without that, all hosts would choose the same target
   * until they hear of each other.
   */
  private double mirroredQueueNanos(DiscoveredTarget target, long now) {
    Seen s = of(target);
    double unseen = (hosts - 1) * (double) Math.max(0, s.inFlight - s.ownWhenTold);
    return waitNanos(target, load(target, now) + unseen);
  }

  private double waitNanos(DiscoveredTarget target, double load) {
    double ahead = load + 1 - target.slots();
    return ahead <= 0 ? 0 : ahead * serviceNanos(target) / target.slots();
  }

  private void onLoad(DiscoveredTarget target, long now, @Nullable ReportedLoad load) {
    if (load == null) {
      return;
    }
    Seen s = of(target);
    s.noteOthers(load.running() + load.waiting() - s.inFlight, s.inFlight, now);
  }

  /** Returns the requests at a target, those of the other hosts as they were last told. */
  private double load(DiscoveredTarget target, long now) {
    Seen s = of(target);
    boolean known = s.othersAt != 0 && now - s.othersAt < OTHERS_LIFETIME;
    return s.inFlight + (known ? s.others : 0);
  }

  private boolean hasRoom(DiscoveredTarget target, long now) {
    return of(target).inFlight < connectionShares.getOrDefault(target.service(), LARGEST_SHARE)
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

    /** Requests of other hosts, as they were last told. */
    int others;

    /** Requests of this host when that was told. */
    int ownWhenTold;

    long othersAt;
    double queueAtSend;
    int reportedInFlight;
    int newAnswers;
    long newServiceNanos;
    long fleetServiceNanos;

    void noteOthers(int requests, int own, long now) {
      others = Math.max(0, requests);
      ownWhenTold = own;
      othersAt = now;
    }

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
    private final Map<Long, Long> objectives = new HashMap<>();

    void noteObjective(long nanos, long now) {
      objectives.put(nanos, now);
    }

    double tightestObjective(long now) {
      objectives.values().removeIf(seenAt -> now - seenAt > OBJECTIVE_MEMORY);
      return objectives.keySet().stream().mapToLong(o -> o).min().orElse(0);
    }
  }
}
