package org.cowslipmoor.testing.placement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.cowslipmoor.core.admission.Placement;
import org.cowslipmoor.core.admission.ReportedLoad;
import org.cowslipmoor.core.admission.RequestRequirements;
import org.cowslipmoor.core.admission.TargetLoadBalancer;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.FleetAggregator;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.fleet.LinkBudget;
import org.cowslipmoor.testing.control.EventQueue;

/**
 * Simulates the placement of one service's requests in virtual time. A target that is full resets
 * the connection. The hosts report to a coordinator, which returns the state of the fleet over a
 * link of limited capacity. An instance runs only once; the same seed gives the same run.
 */
public final class PlacementSimulation {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final String SERVICE = "orders";
  private static final long ONE_WAY_DELAY_NANOS = 2 * NANOS_PER_MILLI;

  /** Further delay of a request or response between two data centres. */
  private static final long CROSS_DELAY_NANOS = 1_500_000L;

  private static final long REPORT_INTERVAL_NANOS = 250 * NANOS_PER_MILLI;

  /** Length of one target's state in a frame, in bytes. */
  private static final int STATE_BYTES = 21;

  /** Time until service times and loads are known, which is not measured. */
  private static final long WARM_UP_NANOS = 4 * NANOS_PER_SECOND;

  private static final double[] SPEEDS = {0.6, 1.0, 1.4};
  private static final double SERVICE_TIME_SIGMA = 0.5;
  private static final double MIN_HOST_WEIGHT = 0.5;

  /** Length of the periods by which the share that leaves is recorded. */
  private static final long PERIOD_NANOS = NANOS_PER_SECOND / 2;

  private final PlacementScenario scenario;
  private final PlacementPolicy policy;
  private final SplittableRandom random;
  private final EventQueue events = new EventQueue();
  private final ImmutableList<DiscoveredTarget> directory;
  private final List<SimulatedTarget> targets = new ArrayList<>();
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private final FleetAggregator aggregator = FleetAggregator.create(0);
  private final LinkBudget link;
  private final Histogram responseMicros = new Histogram(3_600_000_000L, 3);
  private long endNanos;
  private long requests;
  private long lost;
  private long rejected;
  private long unplaced;
  private long late;
  private long failed;
  private long inTime;
  private long left;

  /** By data centre and period, the requests and how many of them left. */
  private final int[][] periodRequests;

  private final int[][] periodLeft;
  private ImmutableList<DiscoveredTarget> usable;

  /**
   * Measurements of a run, as shares of the requests unless stated otherwise.
   *
   * @param requests number of requests
   * @param unplaced requests that were lost or rejected although some target had a free slot
   * @param lost requests that a full target reset, which callers can't retry safely
   * @param rejected requests that a host rejected as not run
   * @param late requests with a response after their objective
   * @param failed requests that a failing target failed
   * @param inTime requests with a response within their objective
   * @param left requests that were sent to a target in another data centre
   * @param leftOfFirst by half second, the share of the first data centre's requests that left
   * @param p50Millis median response time in milliseconds
   * @param p99Millis 99th percentile of the response time in milliseconds
   */
  public record Result(
      long requests,
      double unplaced,
      double lost,
      double rejected,
      double late,
      double failed,
      double inTime,
      double left,
      ImmutableList<Double> leftOfFirst,
      double p50Millis,
      double p99Millis) {}

  /** Creates a simulation that has not run. */
  public PlacementSimulation(PlacementScenario scenario, PlacementPolicy policy, long seed) {
    this.scenario = scenario;
    this.policy = policy;
    this.random = new SplittableRandom(seed);
    this.link = LinkBudget.create(scenario.linkBytesPerSecond(), 0);
    ImmutableList.Builder<DiscoveredTarget> all = ImmutableList.builder();
    periodRequests = new int[scenario.demandWeights().size()][];
    periodLeft = new int[scenario.demandWeights().size()][];
    for (int t = 0; t < scenario.targets(); t++) {
      int dataCentre = dataCentreOf(t);
      all.add(
          new DiscoveredTarget(
              new TargetIncarnation("t" + t, 1),
              SERVICE,
              "t:" + (t + 1),
              "dc" + dataCentre,
              scenario.slots(),
              false,
              0));
      targets.add(new SimulatedTarget(SPEEDS[t % SPEEDS.length]));
    }
    directory = all.build();
    aggregator.onTargets(directory);
    usable = directory;
    for (int h = 0; h < scenario.hosts(); h++) {
      hosts.add(new SimulatedHost(h));
    }
  }

  /** Returns the data centre of a target; each one has targets of all speeds. */
  private int dataCentreOf(int target) {
    return target / SPEEDS.length % scenario.demandWeights().size();
  }

  /** Runs the simulation for a virtual time after the warm-up. */
  public Result run(int seconds) {
    endNanos = WARM_UP_NANOS + seconds * NANOS_PER_SECOND;
    for (int d = 0; d < periodRequests.length; d++) {
      periodRequests[d] = new int[(int) (endNanos / PERIOD_NANOS)];
      periodLeft[d] = new int[(int) (endNanos / PERIOD_NANOS)];
    }
    hosts.forEach(h -> events.after(random.nextLong(REPORT_INTERVAL_NANOS), h::report));
    events.after(REPORT_INTERVAL_NANOS, this::broadcast);
    for (int d = 0; d < scenario.demandWeights().size(); d++) {
      int dataCentre = d;
      ImmutableList<SimulatedHost> own =
          hosts.stream()
              .filter(h -> h.dataCentre == dataCentre)
              .collect(ImmutableList.toImmutableList());
      if (!own.isEmpty()) {
        events.after(0, () -> arrive(dataCentre, own));
      }
    }
    if (scenario.disturbance() instanceof PlacementScenario.Disturbance.Loss loss) {
      events.after(WARM_UP_NANOS + loss.atNanos(), () -> loseTargets(loss.share()));
    }
    events.runUntil(endNanos + 10 * scenario.serviceNanos(), () -> {});
    double total = Math.max(1, requests);
    return new Result(
        requests,
        unplaced / total,
        lost / total,
        rejected / total,
        late / total,
        failed / total,
        inTime / total,
        left / total,
        leftOfFirst(),
        responseMicros.getValueAtPercentile(50) / 1e3,
        responseMicros.getValueAtPercentile(99) / 1e3);
  }

  private boolean isMeasured(long startedAt) {
    return startedAt >= WARM_UP_NANOS && startedAt < endNanos;
  }

  private ImmutableList<Double> leftOfFirst() {
    ImmutableList.Builder<Double> shares = ImmutableList.builder();
    for (int p = (int) (WARM_UP_NANOS / PERIOD_NANOS); p < periodRequests[0].length; p++) {
      shares.add((double) periodLeft[0][p] / Math.max(1, periodRequests[0][p]));
    }
    return shares.build();
  }

  private void loseTargets(double share) {
    int lostTargets = 0;
    int seen = 0;
    ImmutableList.Builder<DiscoveredTarget> remaining = ImmutableList.builder();
    for (int t = 0; t < directory.size(); t++) {
      seen += dataCentreOf(t) == 0 ? 1 : 0;
      if (dataCentreOf(t) == 0 && lostTargets < share * seen) {
        lostTargets++;
      } else {
        remaining.add(directory.get(t));
      }
    }
    usable = remaining.build();
  }

  private void arrive(int dataCentre, ImmutableList<SimulatedHost> own) {
    if (events.now() >= endNanos) {
      return;
    }
    SimulatedHost host = own.get(random.nextInt(own.size()));
    if (random.nextDouble() < host.weight) {
      host.receive();
    }
    // Hosts take a share of the arrivals that follows from their weights.
    double arrivalsPerSecond = demandPerSecond(dataCentre) / ((1 + MIN_HOST_WEIGHT) / 2);
    events.after(
        (long) (-Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / arrivalsPerSecond),
        () -> arrive(dataCentre, own));
  }

  /** Returns the requests per second that the hosts of a data centre receive now. */
  private double demandPerSecond(int dataCentre) {
    double capacityPerSecond = 0;
    double weighted = 0;
    double ownWeighted = 0;
    for (int t = 0; t < targets.size(); t++) {
      double c = scenario.slots() * targets.get(t).speed * 1e9 / scenario.serviceNanos();
      double w = c * scenario.demandWeights().get(dataCentreOf(t));
      capacityPerSecond += c;
      weighted += w;
      ownWeighted += dataCentreOf(t) == dataCentre ? w : 0;
    }
    boolean isRush = events.now() / NANOS_PER_SECOND % 2 == 1;
    double load = isRush ? scenario.rushUtilization() : scenario.utilization();
    double factor = 1;
    if (dataCentre == 0
        && scenario.disturbance() instanceof PlacementScenario.Disturbance.Burst burst) {
      long time = events.now() - WARM_UP_NANOS;
      factor = time >= burst.fromNanos() && time < burst.untilNanos() ? burst.factor() : 1;
    }
    return capacityPerSecond * load * factor * ownWeighted / weighted;
  }

  /** Sends the fleet's state to all hosts, as often as the link allows. */
  private void broadcast() {
    long now = events.now();
    if (link.mayBroadcast(0, now)) {
      FleetState state = aggregator.state(now, 0, ImmutableList.of(), ImmutableSet.of(), true);
      long frameBytes = (long) STATE_BYTES * (scenario.targets() + scenario.otherTargets());
      double frameNanos = frameBytes / scenario.linkBytesPerSecond() * NANOS_PER_SECOND;
      for (int h = 0; h < hosts.size(); h++) {
        SimulatedHost host = hosts.get(h);
        events.after(
            ONE_WAY_DELAY_NANOS + (long) ((h + 1) * frameNanos), () -> host.onState(state));
      }
      link.onBroadcast(frameBytes * hosts.size(), now);
    }
    if (now < endNanos) {
      events.after(REPORT_INTERVAL_NANOS, this::broadcast);
    }
  }

  /** A target that processes requests in its slots and queues a few more. */
  private final class SimulatedTarget {
    private final double speed;
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    private int running;

    SimulatedTarget(double speed) {
      this.speed = speed;
    }

    boolean accept(Runnable whenDone) {
      if (running >= scenario.slots() && queue.size() >= scenario.queueLength()) {
        return false;
      }
      queue.add(whenDone);
      startNext();
      return true;
    }

    double responseNanos() {
      double ahead = Math.max(0, running + queue.size() + 1 - scenario.slots());
      return scenario.serviceNanos() / speed * (1 + ahead / scenario.slots());
    }

    ReportedLoad load() {
      return new ReportedLoad(running, queue.size(), scenario.slots());
    }

    private void startNext() {
      if (running >= scenario.slots() || queue.isEmpty()) {
        return;
      }
      running++;
      Runnable whenDone = queue.remove();
      double spread =
          Math.exp(
              SERVICE_TIME_SIGMA * random.nextGaussian()
                  - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2);
      events.after(
          (long) (scenario.serviceNanos() / speed * spread),
          () -> {
            running--;
            startNext();
            whenDone.run();
          });
    }
  }

  /** A host with its own view of the targets. */
  private final class SimulatedHost {
    private final String id;
    private final int dataCentre;
    private final double weight = MIN_HOST_WEIGHT + random.nextDouble() * (1 - MIN_HOST_WEIGHT);
    private final TargetLoadBalancer balancer;
    private final int[] own = new int[scenario.targets()];
    private final int[] ownWhenReported = new int[scenario.targets()];
    private final int[] others = new int[scenario.targets()];

    SimulatedHost(int number) {
      this.id = "h" + number;
      this.dataCentre = number % scenario.demandWeights().size();
      this.balancer =
          policy instanceof PlacementPolicy.FixedPathCost
              ? TargetLoadBalancer.createWithFixedPathCost("dc" + dataCentre, random.split())
              : TargetLoadBalancer.create("dc" + dataCentre, id, random.split());
    }

    void receive() {
      long startedAt = events.now();
      requests += isMeasured(startedAt) ? 1 : 0;
      int period = (int) (startedAt / PERIOD_NANOS);
      periodRequests[dataCentre][period]++;
      int chosen = choose(startedAt);
      if (chosen < 0) {
        if (isMeasured(startedAt)) {
          rejected++;
          countUnplaced();
        }
        return;
      }
      balancer.onSend(directory.get(chosen), startedAt);
      own[chosen]++;
      if (dataCentreOf(chosen) != dataCentre) {
        left += isMeasured(startedAt) ? 1 : 0;
        periodLeft[dataCentre][period]++;
      }
      events.after(pathNanos(chosen), () -> deliver(chosen, startedAt));
    }

    void report() {
      HostReport report =
          new HostReport(
              ImmutableMap.of(),
              balancer.drainSamples(),
              HostReport.StoreKnowledge.NONE,
              ImmutableSet.of(),
              ImmutableSet.of(),
              events.now(),
              "dc" + dataCentre);
      events.after(ONE_WAY_DELAY_NANOS, () -> aggregator.onReport(id, report, events.now()));
      if (events.now() < endNanos) {
        events.after(REPORT_INTERVAL_NANOS, this::report);
      }
    }

    void onState(FleetState state) {
      balancer.onFleetState(state, events.now());
      for (int t = 0; t < targets.size(); t++) {
        FleetState.TargetState s = state.targets().get(directory.get(t).id());
        if (s != null) {
          onLoad(t, s.inFlight());
        }
      }
    }

    private long pathNanos(int t) {
      return ONE_WAY_DELAY_NANOS + (dataCentreOf(t) == dataCentre ? 0 : CROSS_DELAY_NANOS);
    }

    private void onLoad(int t, int load) {
      others[t] = Math.max(0, load - own[t]);
      ownWhenReported[t] = own[t];
    }

    private void deliver(int t, long startedAt) {
      SimulatedTarget target = targets.get(t);
      // Failures begin with the measurement, when no host knows of them.
      if (t < scenario.failingTargets() && events.now() >= WARM_UP_NANOS) {
        failed += isMeasured(startedAt) ? 1 : 0;
        fail(t);
        return;
      }
      if (target.accept(() -> respond(t, startedAt))) {
        return;
      }
      if (isMeasured(startedAt)) {
        lost++;
        countUnplaced();
      }
      fail(t);
    }

    private void fail(int t) {
      events.after(
          pathNanos(t),
          () -> {
            own[t]--;
            balancer.onFailure(directory.get(t), events.now());
          });
    }

    private void respond(int t, long startedAt) {
      ReportedLoad load = targets.get(t).load();
      events.after(
          pathNanos(t),
          () -> {
            long elapsed = events.now() - startedAt;
            own[t]--;
            onLoad(t, load.running() + load.waiting());
            balancer.onResponse(directory.get(t), events.now(), elapsed, 1_500, load);
            if (isMeasured(startedAt)) {
              responseMicros.recordValue(elapsed / 1_000);
              late += elapsed > scenario.objectiveNanos() ? 1 : 0;
              inTime += elapsed > scenario.objectiveNanos() ? 0 : 1;
            }
          });
    }

    private void countUnplaced() {
      boolean hasFreeSlot = targets.stream().anyMatch(t -> t.running < scenario.slots());
      unplaced += hasFreeSlot ? 1 : 0;
    }

    /** Returns the index of the chosen target, or -1 if the request is rejected. */
    private int choose(long now) {
      return switch (policy) {
        case PlacementPolicy.Product p -> assign(now);
        case PlacementPolicy.FixedPathCost p -> assign(now);
        case PlacementPolicy.Random p -> random.nextInt(targets.size());
        case PlacementPolicy.LeastInFlight p -> cheapest(t -> own[t]);
        case PlacementPolicy.PowerOfTwo p -> {
          int a = random.nextInt(targets.size());
          int b = random.nextInt(targets.size());
          yield own[a] + others[a] <= own[b] + others[b] ? a : b;
        }
        case PlacementPolicy.ShortestReported p -> cheapest(this::reportedResponseNanos);
        case PlacementPolicy.FullKnowledge p -> cheapest(t -> targets.get(t).responseNanos());
      };
    }

    private double reportedResponseNanos(int t) {
      double unreported = (hosts.size() - 1.0) * Math.max(0, own[t] - ownWhenReported[t]);
      double ahead = Math.max(0, own[t] + others[t] + unreported + 1 - scenario.slots());
      return scenario.serviceNanos() / targets.get(t).speed * (1 + ahead / scenario.slots());
    }

    private int cheapest(IntToDoubleFunction cost) {
      int best = 0;
      double bestCost = Double.MAX_VALUE;
      int ties = 0;
      for (int t = 0; t < targets.size(); t++) {
        double c = cost.applyAsDouble(t);
        if (c < bestCost) {
          best = t;
          bestCost = c;
          ties = 1;
        } else if (c == bestCost) {
          ties++;
          best = random.nextInt(ties) == 0 ? t : best;
        }
      }
      return best;
    }

    private int assign(long now) {
      RequestRequirements requirements =
          new RequestRequirements(scenario.objectiveNanos(), 2 * scenario.objectiveNanos(), 1);
      Placement placement = balancer.assign(usable, Set.of(), requirements, now);
      return placement instanceof Placement.Send send ? directory.indexOf(send.target()) : -1;
    }
  }
}
