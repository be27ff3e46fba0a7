package org.cowslipmoor.testing.leaving;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.LeavingTargets;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.FleetAggregator;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.fleet.LeavingReports;
import org.cowslipmoor.core.fleet.LinkBudget;
import org.cowslipmoor.testing.control.EventQueue;

/**
 * Simulates in virtual time how the hosts of a fleet learn that targets leave, and the requests
 * that still reach these. Targets state it in all their responses from one moment on and continue
 * to serve. An instance runs only once; the same seed gives the same run.
 */
public final class LeavingSimulation {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final String SERVICE = "stock";
  private static final long ONE_WAY_DELAY_NANOS = 2 * NANOS_PER_MILLI;
  private static final long REPORT_INTERVAL_NANOS = 250 * NANOS_PER_MILLI;
  private static final long HEARTBEAT_NANOS = NANOS_PER_SECOND;

  /** Time from a change of an entry until the hosts have it. */
  private static final long STORE_DELAY_NANOS = 100 * NANOS_PER_MILLI;

  /** Time after a host has seen a statement from which on it must not use the target. */
  private static final long MAX_USE_NANOS = 2 * NANOS_PER_SECOND;

  /** Length of one target's state in a frame, in bytes. */
  private static final int STATE_BYTES = 21;

  /** Latest time at which the targets begin to leave, so that states are sent at any phase. */
  private static final long MAX_LEAVE_AT_NANOS = 20 * NANOS_PER_SECOND;

  private final LeavingScenario scenario;
  private final ToIntFunction<HostReport> reportBytes;
  private final ToIntFunction<FleetState> stateBytes;
  private final SplittableRandom random;
  private final EventQueue events = new EventQueue();
  private final TargetDirectory directory;
  private final ImmutableSet<TargetIncarnation> leaving;
  private final Set<TargetIncarnation> announced = new HashSet<>();
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private final FleetAggregator aggregator = FleetAggregator.create(0);
  private final LinkBudget link;
  private final Traffic coordinatorTraffic = new Traffic();
  private final long leaveAt;

  /** Time at which the coordinator's link has sent what is queued. */
  private long linkFreeAt;

  private long reached;
  private long reachedAfterStatement;
  private long reachedTooLate;

  /**
   * Measurements of a run.
   *
   * @param reached requests that reached a target after it had begun to state that it leaves
   * @param reachedAfterStatement those of them that the host sent on after it had received such a
   *     response of this target itself
   * @param reachedTooLate those of them that arrived more than 2 s after that response
   * @param allKnowMillis time until each host has taken each leaving target out of use, in
   *     milliseconds; negative if some host has not by the end of the run
   * @param messages largest number of reports and states with leaving targets of any other host
   *     than the coordinator
   * @param bytesPerSecond largest number of bytes of leaving targets in one second in the reports
   *     and states of any other host than the coordinator
   * @param coordinatorBytesPerSecond the same of the coordinator, over all hosts
   */
  public record Result(
      long reached,
      long reachedAfterStatement,
      long reachedTooLate,
      double allKnowMillis,
      long messages,
      long bytesPerSecond,
      long coordinatorBytesPerSecond) {}

  /**
   * Creates a simulation that has not run.
   *
   * @param reportBytes length of an encoded report
   * @param stateBytes length of an encoded state
   */
  public LeavingSimulation(
      LeavingScenario scenario,
      ToIntFunction<HostReport> reportBytes,
      ToIntFunction<FleetState> stateBytes,
      long seed) {
    this.scenario = scenario;
    this.reportBytes = reportBytes;
    this.stateBytes = stateBytes;
    this.random = new SplittableRandom(seed);
    this.leaveAt = random.nextLong(MAX_LEAVE_AT_NANOS);
    this.link = LinkBudget.create(scenario.linkBytesPerSecond(), 0);
    ImmutableList.Builder<DiscoveredTarget> targets = ImmutableList.builder();
    ImmutableSet.Builder<TargetIncarnation> leavingTargets = ImmutableSet.builder();
    for (int t = 0; t < scenario.targets(); t++) {
      TargetIncarnation incarnation =
          new TargetIncarnation(String.format("i-%08x", t), 1_796_000_000_000L + t);
      targets.add(new DiscoveredTarget(incarnation, SERVICE, "t:" + (t + 1), "cairo", 4, false, 0));
      if (t < scenario.leaving()) {
        leavingTargets.add(incarnation);
      }
    }
    leaving = leavingTargets.build();
    directory = TargetDirectory.of(targets.build());
    aggregator.onTargets(directory.all().values());
    for (int h = 0; h < scenario.hosts(); h++) {
      hosts.add(new SimulatedHost("h" + h));
    }
  }

  /** Runs the simulation for a virtual time after the targets begin to leave. */
  public Result run(int seconds) {
    for (SimulatedHost host : hosts) {
      host.receiveNext();
      events.after(random.nextLong(REPORT_INTERVAL_NANOS), host::report);
    }
    events.after(REPORT_INTERVAL_NANOS, this::broadcast);
    if (scenario.isStoreAvailable()) {
      for (TargetIncarnation target : leaving) {
        events.after(
            leaveAt + random.nextLong(HEARTBEAT_NANOS) + STORE_DELAY_NANOS,
            () -> {
              announced.add(target);
              hosts.forEach(SimulatedHost::update);
            });
      }
    }
    events.runUntil(leaveAt + seconds * NANOS_PER_SECOND, () -> {});
    List<SimulatedHost> others = hosts.subList(Math.min(1, hosts.size() - 1), hosts.size());
    boolean allKnow = hosts.stream().allMatch(h -> h.unaware.isEmpty());
    long lastKnownAt = hosts.stream().mapToLong(h -> h.updatedAt).max().orElseThrow();
    return new Result(
        reached,
        reachedAfterStatement,
        reachedTooLate,
        allKnow ? (double) (lastKnownAt - leaveAt) / NANOS_PER_MILLI : -1,
        others.stream().mapToLong(h -> h.traffic.messages).max().orElseThrow(),
        others.stream().mapToLong(h -> h.traffic.maxBytesPerSecond()).max().orElseThrow(),
        coordinatorTraffic.maxBytesPerSecond());
  }

  private SimulatedHost coordinator() {
    return hosts.get(0);
  }

  /** Sends the fleet's state to all hosts, as often as the link allows, as the daemon does. */
  private void broadcast() {
    long now = events.now();
    long unsentBytes =
        (long) (Math.max(0, linkFreeAt - now) * scenario.linkBytesPerSecond() / NANOS_PER_SECOND);
    FleetState state = aggregator.state(now, 0, ImmutableList.of(), ImmutableSet.of(), true);
    if (link.mayBroadcast(unsentBytes, now)) {
      int loadBytes = STATE_BYTES * (scenario.targets() + scenario.otherTargets());
      link.onBroadcast(send(state, loadBytes), now);
    } else if (aggregator.hasUnlistedLeaving() && link.hasCapacity(unsentBytes)) {
      send(state, 0);
    }
    events.after(REPORT_INTERVAL_NANOS, this::broadcast);
  }

  /** Sends a state to all hosts behind what the link has not sent yet; returns its total bytes. */
  private long send(FleetState state, int loadBytes) {
    int leavingBytes = stateBytes.applyAsInt(state) - stateBytes.applyAsInt(state.withoutLeaving());
    long frameBytes = (long) loadBytes + stateBytes.applyAsInt(state);
    double frameNanos = frameBytes / scenario.linkBytesPerSecond() * NANOS_PER_SECOND;
    linkFreeAt = Math.max(linkFreeAt, events.now());
    coordinator().onState(state);
    for (SimulatedHost host : hosts) {
      if (host != coordinator()) {
        linkFreeAt += (long) frameNanos;
        events.after(
            linkFreeAt - events.now() + ONE_WAY_DELAY_NANOS,
            () -> {
              host.onState(state);
              host.traffic.add(leavingBytes, events.now());
              coordinatorTraffic.add(leavingBytes, events.now());
            });
      }
    }
    aggregator.onSent(state);
    return frameBytes * hosts.size();
  }

  /** Counts the messages that list leaving targets, and the bytes that these take. */
  private static final class Traffic {
    private final Map<Long, Long> bytesBySecond = new HashMap<>();
    private long messages;

    void add(int bytes, long now) {
      if (bytes > 0) {
        messages++;
        bytesBySecond.merge(now / NANOS_PER_SECOND, (long) bytes, Long::sum);
      }
    }

    long maxBytesPerSecond() {
      return bytesBySecond.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }
  }

  /** A host with its own knowledge of the targets. */
  private final class SimulatedHost {
    private final String id;
    private final LeavingTargets known = LeavingTargets.create();
    private final LeavingReports reports = LeavingReports.create();
    private final Map<TargetIncarnation, Long> statementSeenAt = new HashMap<>();
    private final Traffic traffic = new Traffic();
    private ImmutableList<DiscoveredTarget> usable = directory.usable(SERVICE);
    private Set<TargetIncarnation> unaware = leaving;

    /** Time at which this host last took a target out of use. */
    private long updatedAt = leaveAt;

    SimulatedHost(String id) {
      this.id = id;
    }

    void receiveNext() {
      double intervalSeconds = -Math.log(1 - random.nextDouble()) / scenario.requestsPerSecond();
      events.after(
          (long) (intervalSeconds * NANOS_PER_SECOND),
          () -> {
            DiscoveredTarget target = usable.get(random.nextInt(usable.size()));
            events.after(ONE_WAY_DELAY_NANOS, () -> reach(target.incarnation()));
            receiveNext();
          });
    }

    private void reach(TargetIncarnation target) {
      long now = events.now();
      if (now >= leaveAt && leaving.contains(target)) {
        Long seenAt = statementSeenAt.get(target);
        reached++;
        reachedAfterStatement += seenAt == null ? 0 : 1;
        reachedTooLate += seenAt == null || now - seenAt <= MAX_USE_NANOS ? 0 : 1;
      }
      double workNanos = -Math.log(1 - random.nextDouble()) * scenario.serviceNanos();
      events.after((long) workNanos + ONE_WAY_DELAY_NANOS, () -> onResponse(target));
    }

    private void onResponse(TargetIncarnation target) {
      long now = events.now();
      if (now - ONE_WAY_DELAY_NANOS >= leaveAt && leaving.contains(target)) {
        statementSeenAt.putIfAbsent(target, now);
        if (scenario.use() != LeavingScenario.Use.IGNORED && known.onLeaving(target, now)) {
          update();
        }
      }
    }

    void report() {
      events.after(REPORT_INTERVAL_NANOS, this::report);
      if (scenario.use() != LeavingScenario.Use.RELAYED) {
        return;
      }
      HostReport empty =
          new HostReport(
              ImmutableMap.of(),
              ImmutableMap.of(),
              HostReport.StoreKnowledge.NONE,
              ImmutableSet.of(),
              ImmutableSet.of(),
              events.now());
      HostReport report = empty.withLeaving(reports.pending(known.targets(), directory));
      int bytes = reportBytes.applyAsInt(report) - reportBytes.applyAsInt(empty);
      if (this != coordinator()) {
        traffic.add(bytes, events.now());
      }
      events.after(
          ONE_WAY_DELAY_NANOS,
          () -> {
            if (this != coordinator()) {
              coordinatorTraffic.add(bytes, events.now());
            }
            coordinator().onLeaving(aggregator.onReport(id, report, events.now()));
          });
    }

    void onState(FleetState state) {
      reports.onState(state);
      onLeaving(state.leaving());
    }

    void onLeaving(Set<TargetIncarnation> targets) {
      boolean isNew = false;
      for (TargetIncarnation target : targets) {
        isNew |= known.onLeaving(target, events.now());
      }
      if (isNew) {
        update();
      }
    }

    /** Takes the targets out of use that leave, as far as this host knows. */
    void update() {
      Set<TargetIncarnation> unusable = new HashSet<>(known.targets());
      unusable.addAll(announced);
      usable = directory.withDraining(unusable).usable(SERVICE);
      Set<TargetIncarnation> remaining = new HashSet<>(leaving);
      remaining.removeAll(unusable);
      if (remaining.size() < unaware.size()) {
        unaware = remaining;
        updatedAt = events.now();
      }
    }
  }
}
