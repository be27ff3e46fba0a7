package org.cowslipmoor.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.cowslipmoor.core.balance.TargetChooser;
import org.cowslipmoor.core.balance.TargetHealth;
import org.cowslipmoor.core.balance.TargetLoadView;
import org.cowslipmoor.core.configuration.Priority;
import org.cowslipmoor.core.limit.AdaptiveLimit;
import org.cowslipmoor.core.limit.AdmissionQueue;
import org.cowslipmoor.core.request.AttemptOutcome;
import org.cowslipmoor.core.request.RetryBudget;
import org.cowslipmoor.core.request.RetryPolicy;
import org.cowslipmoor.testing.control.EventQueue;
import org.jspecify.annotations.Nullable;

/**
 * Simulates load balancing and admission control in virtual time. Targets have slots and a bounded
 * queue; hosts combine the number of their own requests in progress with the last load report of
 * the target. An instance runs only once.
 */
final class LoadSimulation {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int MAX_TARGET_QUEUE = 64;
  private static final int MAX_HOST_QUEUE = 200;
  private static final int SLOW_FACTOR = 4;
  private static final long FAULT_DURATION_NANOS = 5 * NANOS_PER_SECOND;
  private static final double WARM_UP_SHARE = 0.1;
  private static final double RETRY_BUDGET_RATIO = 0.1;
  private static final double MAX_RETRY_TOKENS = 50;
  private static final double MAX_EJECTED_SHARE = 1.0 / 3;

  /** Time from sending a request to a failing target until the host detects the failure. */
  private static final long FAILURE_DELAY_NANOS = 1_000_000L;

  private final LoadScenario scenario;
  private final SplittableRandom random;
  private final EventQueue events = new EventQueue();
  private final SimulatedTarget[] targets;
  private final SimulatedHost[] hosts;
  private final Histogram latency = new Histogram(3_600_000_000L, 3);
  private final Histogram urgentLatency = new Histogram(3_600_000_000L, 3);
  private final Histogram imbalance = new Histogram(1_000_000L, 3);
  private final long endNanos;
  private long offered;
  private long completed;
  private long rejected;
  private long late;
  private long failed;
  private long retryCount;

  /**
   * Measurements of a run. Shares are fractions of the offered requests unless stated otherwise.
   *
   * @param offered number of requests offered
   * @param goodput responses within the deadline, as a fraction of the capacity
   * @param rejectedShare share of requests rejected without having been run
   * @param lateShare share of requests with a response after their deadline or none at all
   * @param failedShare share of requests that failed at a target and were not retried any further
   * @param retriesPerRequest number of retries divided by the requests offered
   * @param p50Millis median latency of the responses within the deadline
   * @param p99Millis 99th percentile of the same latency
   * @param urgentP99Millis 99th percentile of this latency over urgent requests only
   * @param imbalance99 99th percentile over one-second windows of the ratio of the largest to the
   *     mean number of requests that a target finished
   */
  record Result(
      long offered,
      double goodput,
      double rejectedShare,
      double lateShare,
      double failedShare,
      double retriesPerRequest,
      double p50Millis,
      double p99Millis,
      double urgentP99Millis,
      double imbalance99) {}

  private record Request(long startNanos, long deadlineNanos, Priority priority, int attempts) {
    Request nextAttempt() {
      return new Request(startNanos, deadlineNanos, priority, attempts + 1);
    }
  }

  private final class SimulatedTarget {
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    private final int slowdown;
    private int busySlots;
    private long frozenUntilNanos;
    private @Nullable AttemptOutcome failure;
    private long finishedInWindow;

    SimulatedTarget(int slowdown) {
      this.slowdown = slowdown;
    }

    int load() {
      return busySlots + queue.size();
    }

    boolean accept(Request r, Runnable done) {
      if (scenario.hostSettings().limitsRequests() && queue.size() >= MAX_TARGET_QUEUE) {
        return false;
      }
      queue.add(() -> process(r, done));
      drain();
      return true;
    }

    private void drain() {
      while (busySlots < scenario.fleet().slots()
          && !queue.isEmpty()
          && events.now() >= frozenUntilNanos) {
        busySlots++;
        queue.remove().run();
      }
    }

    private void process(Request r, Runnable done) {
      // Targets receive the deadline and do not process requests that have passed it.
      boolean cancelled =
          scenario.hostSettings().limitsRequests() && r.deadlineNanos() <= events.now();
      double meanNanos = scenario.fleet().meanWorkMicros() * 1_000.0 * slowdown;
      long workNanos = cancelled ? 0 : (long) (-Math.log(1 - random.nextDouble()) * meanNanos);
      events.after(workNanos, () -> finish(done));
    }

    private void finish(Runnable done) {
      if (events.now() < frozenUntilNanos) {
        events.after(frozenUntilNanos - events.now(), () -> finish(done));
        return;
      }
      busySlots--;
      finishedInWindow++;
      done.run();
      drain();
    }
  }

  private final class SimulatedHost {
    private final int[] inFlight = new int[scenario.fleet().targets()];
    private final int[] reportedLoads = new int[scenario.fleet().targets()];
    private final AdaptiveLimit[] limits = new AdaptiveLimit[scenario.fleet().targets()];
    private final AdmissionQueue<Request> queue = AdmissionQueue.create(MAX_HOST_QUEUE);
    private final RetryBudget retryBudget = RetryBudget.of(RETRY_BUDGET_RATIO, MAX_RETRY_TOKENS);
    private final TargetHealth health = TargetHealth.create(MAX_EJECTED_SHARE);
    private final TargetChooser chooser =
        TargetChooser.of(scenario.hostSettings().policy(), random.split());

    SimulatedHost() {
      for (int t = 0; t < limits.length; t++) {
        limits[t] = AdaptiveLimit.of(2, 4.0 * scenario.fleet().slots());
      }
    }

    void refreshReports() {
      if (scenario.hostSettings().reportIntervalMillis() == 0) {
        return;
      }
      for (int t = 0; t < scenario.fleet().targets(); t++) {
        reportedLoads[t] = t < scenario.faults().misreporting() ? 0 : targets[t].load();
      }
      long jitterNanos =
          random.nextLong(1 + scenario.hostSettings().reportIntervalMillis() * 1_000_000L / 10);
      events.after(
          scenario.hostSettings().reportIntervalMillis() * 1_000_000L + jitterNanos,
          this::refreshReports);
    }

    void receive(Request r) {
      retryBudget.onRequest();
      dispatch(r);
    }

    private void dispatch(Request r) {
      if (!scenario.hostSettings().limitsRequests()) {
        send(choose(usableTargets()), r);
        return;
      }
      List<Integer> available = targetsWithCapacity();
      if (!available.isEmpty() && queue.size() == 0) {
        send(choose(available), r);
        return;
      }
      AdmissionQueue.Offer<Request> offer =
          queue.offer(new AdmissionQueue.Entry<>(r, r.priority(), r.deadlineNanos()), events.now());
      rejected += offer.accepted() ? 0 : 1;
      rejected += offer.displaced().isPresent() ? 1 : 0;
    }

    private List<Integer> allTargets() {
      List<Integer> all = new ArrayList<>();
      for (int t = 0; t < scenario.fleet().targets(); t++) {
        all.add(t);
      }
      return all;
    }

    private List<Integer> usableTargets() {
      return scenario.hostSettings().ejectsFailingTargets()
          ? health.usable(allTargets(), LoadSimulation::name, events.now())
          : allTargets();
    }

    private List<Integer> targetsWithCapacity() {
      return usableTargets().stream().filter(t -> limits[t].hasCapacity()).toList();
    }

    private int reportedLoad(int t) {
      return scenario.hostSettings().reportIntervalMillis() == 0
          ? targets[t].load()
          : reportedLoads[t];
    }

    private int choose(List<Integer> candidates) {
      List<TargetLoadView> views = new ArrayList<>();
      for (int t : candidates) {
        views.add(
            new TargetLoadView(name(t), inFlight[t], reportedLoad(t), scenario.fleet().slots()));
      }
      return candidates.get(chooser.choose(views));
    }

    private void send(int t, Request r) {
      if (scenario.hostSettings().limitsRequests() && !limits[t].tryAcquire()) {
        rejected++;
        return;
      }
      inFlight[t]++;
      health.onSend(name(t), events.now());
      AttemptOutcome failure = targets[t].failure;
      if (failure != null) {
        events.after(FAILURE_DELAY_NANOS, () -> fail(t, r, failure));
        return;
      }
      boolean accepted = targets[t].accept(r, () -> complete(t, r));
      if (!accepted) {
        inFlight[t]--;
        rejected++;
        limits[t].onOverload(events.now());
      }
    }

    private void fail(int t, Request r, AttemptOutcome outcome) {
      inFlight[t]--;
      if (scenario.hostSettings().limitsRequests()) {
        limits[t].onRelease();
      }
      health.onFailure(name(t), events.now());
      OptionalLong delayNanos =
          RetryPolicy.nextDelayNanos(
              outcome, true, r.attempts(), r.deadlineNanos() - events.now(), retryBudget, random);
      if (delayNanos.isEmpty()) {
        failed += isMeasured(r.startNanos()) ? 1 : 0;
      } else {
        retryCount += isMeasured(r.startNanos()) ? 1 : 0;
        events.after(delayNanos.getAsLong(), () -> dispatch(r.nextAttempt()));
      }
      dispatchQueued();
    }

    private void complete(int t, Request r) {
      inFlight[t]--;
      boolean inTime = events.now() <= r.deadlineNanos();
      if (inTime) {
        health.onResponse(name(t));
      } else {
        health.onFailure(name(t), events.now());
      }
      if (scenario.hostSettings().limitsRequests()) {
        if (inTime) {
          limits[t].onResponse();
        } else {
          limits[t].onOverload(events.now());
        }
      }
      recordCompletion(r, inTime);
      dispatchQueued();
    }

    private void dispatchQueued() {
      rejected += queue.expire(events.now()).size();
      List<Integer> available = targetsWithCapacity();
      while (!available.isEmpty()) {
        Optional<AdmissionQueue.Entry<Request>> entry = queue.poll(events.now());
        if (entry.isEmpty()) {
          return;
        }
        send(choose(available), entry.get().request());
        available = targetsWithCapacity();
      }
    }
  }

  LoadSimulation(LoadScenario scenario, long seed) {
    this.scenario = scenario;
    this.random = new SplittableRandom(seed);
    this.targets = new SimulatedTarget[scenario.fleet().targets()];
    for (int t = 0; t < targets.length; t++) {
      targets[t] =
          new SimulatedTarget(
              t >= scenario.fleet().targets() - scenario.faults().slow() ? SLOW_FACTOR : 1);
    }
    this.hosts = new SimulatedHost[scenario.fleet().hosts()];
    for (int h = 0; h < hosts.length; h++) {
      hosts[h] = new SimulatedHost();
    }
    this.endNanos = scenario.seconds() * NANOS_PER_SECOND;
  }

  /** Runs a scenario once with each of the seeds from 1 to {@code seeds}. */
  static List<Result> runAll(LoadScenario scenario, int seeds) {
    List<Result> results = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      results.add(new LoadSimulation(scenario, seed).run());
    }
    return results;
  }

  /** Runs the scenario and returns its measurements. */
  Result run() {
    Arrays.stream(hosts).forEach(SimulatedHost::refreshReports);
    events.after(0, this::arrive);
    events.after(NANOS_PER_SECOND, this::closeWindow);
    events.after(endNanos / 2, this::beginFaults);
    events.runUntil(endNanos + scenario.fleet().deadlineMillis() * 1_000_000L, () -> {});
    long unfinished = offered - completed - rejected - late - failed;
    double measuredSeconds = scenario.seconds() * (1 - WARM_UP_SHARE);
    return new Result(
        offered,
        completed / (capacityPerSecond() * measuredSeconds),
        rejected / (double) offered,
        (late + Math.max(0, unfinished)) / (double) offered,
        failed / (double) offered,
        retryCount / (double) offered,
        latency.getValueAtPercentile(50) / 1e3,
        latency.getValueAtPercentile(99) / 1e3,
        urgentLatency.getValueAtPercentile(99) / 1e3,
        imbalance.getValueAtPercentile(99) / 1e3);
  }

  private double capacityPerSecond() {
    return scenario.fleet().targets()
        * scenario.fleet().slots()
        * 1e6
        / scenario.fleet().meanWorkMicros();
  }

  private void arrive() {
    if (events.now() >= endNanos) {
      return;
    }
    Priority priority =
        random.nextDouble() < scenario.fleet().urgentShare() ? Priority.URGENT : Priority.NORMAL;
    long deadlineNanos = events.now() + scenario.fleet().deadlineMillis() * 1_000_000L;
    offered += isMeasured(events.now()) ? 1 : 0;
    long rejectedBefore = rejected;
    hosts[random.nextInt(hosts.length)].receive(
        new Request(events.now(), deadlineNanos, priority, 1));
    rejected = isMeasured(events.now()) ? rejected : rejectedBefore;
    double rate = capacityPerSecond() * scenario.utilization();
    events.after(
        (long) (-Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / rate), this::arrive);
  }

  private boolean isMeasured(long startNanos) {
    return startNanos >= endNanos * WARM_UP_SHARE;
  }

  private void recordCompletion(Request r, boolean inTime) {
    if (!isMeasured(r.startNanos())) {
      return;
    }
    if (!inTime) {
      late++;
      return;
    }
    completed++;
    long micros = (events.now() - r.startNanos()) / 1_000;
    latency.recordValue(micros);
    if (r.priority() == Priority.URGENT) {
      urgentLatency.recordValue(micros);
    }
  }

  /**
   * Records the ratio of the largest to the mean number of requests finished per target in the last
   * second.
   */
  private void closeWindow() {
    long max = 0;
    long sum = 0;
    for (SimulatedTarget target : targets) {
      max = Math.max(max, target.finishedInWindow);
      sum += target.finishedInWindow;
      target.finishedInWindow = 0;
    }
    if (sum > 0 && isMeasured(events.now())) {
      imbalance.recordValue(Math.round(1_000.0 * max * targets.length / sum));
    }
    if (events.now() < endNanos) {
      events.after(NANOS_PER_SECOND, this::closeWindow);
    }
  }

  private void beginFaults() {
    LoadScenario.Faults faults = scenario.faults();
    for (int t = 0; t < faults.frozen(); t++) {
      SimulatedTarget target = targets[t];
      target.frozenUntilNanos = events.now() + FAULT_DURATION_NANOS;
      events.after(FAULT_DURATION_NANOS, target::drain);
    }
    for (int t = 0; t < faults.unreachable(); t++) {
      failTemporarily(targets[t], new AttemptOutcome.NotRun(AttemptOutcome.Reason.UNREACHABLE));
    }
    for (int t = 0; t < faults.disconnecting(); t++) {
      failTemporarily(targets[t], new AttemptOutcome.Unknown(AttemptOutcome.Reason.BROKEN));
    }
  }

  private void failTemporarily(SimulatedTarget target, AttemptOutcome outcome) {
    target.failure = outcome;
    events.after(FAULT_DURATION_NANOS, () -> target.failure = null);
  }

  private static String name(int target) {
    return "t" + target;
  }
}
