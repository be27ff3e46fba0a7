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
 * Runs the decisions on choice and limits over fake targets in virtual time: targets with slots and
 * a bounded queue, hosts with their own counts and old reports. Used once.
 */
final class LoadModel {
  private static final long SECOND = 1_000_000_000L;
  private static final int TARGET_QUEUE = 64;
  private static final int HOST_QUEUE = 200;
  private static final int SLOW_FACTOR = 4;
  private static final long FAULT_TIME = 5 * SECOND;
  private static final double WARM_UP_SHARE = 0.1;
  private static final double RETRY_SHARE = 0.1;
  private static final double RETRY_RESERVE = 50;
  private static final double LARGEST_EJECTED_SHARE = 1.0 / 3;

  /** Time after which a request to a target that fails is known to have failed. */
  private static final long FAILURE_DELAY = 1_000_000L;

  private final LoadScenario scenario;
  private final SplittableRandom random;
  private final EventQueue events = new EventQueue();
  private final FakeWorker[] workers;
  private final FakeEntry[] entries;
  private final Histogram latency = new Histogram(3_600_000_000L, 3);
  private final Histogram urgentLatency = new Histogram(3_600_000_000L, 3);
  private final Histogram imbalance = new Histogram(1_000_000L, 3);
  private final long end;
  private long offered;
  private long answered;
  private long refused;
  private long late;
  private long failed;
  private long retried;

  /**
   * What a run measured.
   *
   * @param offered requests offered
   * @param goodput answers within the deadline, as a share of the capacity
   * @param refusedShare requests refused as not run, as a share of the offered ones
   * @param lateShare requests answered after their deadline or not at all, as a share
   * @param failedShare requests that ended with a target's failure after all retries, as a share
   * @param retriesPerRequest retries over requests offered
   * @param p50Millis median time of the answers within the deadline
   * @param p99Millis 99th percentile of it
   * @param urgentP99Millis 99th percentile of urgent requests' answers
   * @param imbalance99 99th percentile over one-second windows of the largest over the mean
   *     requests in progress
   */
  record Result(
      long offered,
      double goodput,
      double refusedShare,
      double lateShare,
      double failedShare,
      double retriesPerRequest,
      double p50Millis,
      double p99Millis,
      double urgentP99Millis,
      double imbalance99) {}

  private record Request(long start, long deadline, Priority priority, int attempts) {
    Request next() {
      return new Request(start, deadline, priority, attempts + 1);
    }
  }

  private final class FakeWorker {
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    private final int factor;
    private int busy;
    private long frozenUntil;
    private @Nullable AttemptOutcome failure;
    private long progressInWindow;

    FakeWorker(int factor) {
      this.factor = factor;
    }

    int load() {
      return busy + queue.size();
    }

    boolean accept(Request r, Runnable done) {
      if (scenario.rules().limits() && queue.size() >= TARGET_QUEUE) {
        return false;
      }
      queue.add(() -> work(r, done));
      drain();
      return true;
    }

    private void drain() {
      while (busy < scenario.fleet().slots() && !queue.isEmpty() && events.now() >= frozenUntil) {
        busy++;
        queue.remove().run();
      }
    }

    private void work(Request r, Runnable done) {
      // A target is given deadlines; work that can't count any more is not begun.
      boolean cancelled = scenario.rules().limits() && r.deadline() <= events.now();
      double mean = scenario.fleet().meanWorkMicros() * 1_000.0 * factor;
      long time = cancelled ? 0 : (long) (-Math.log(1 - random.nextDouble()) * mean);
      events.after(time, () -> finish(done));
    }

    private void finish(Runnable done) {
      if (events.now() < frozenUntil) {
        events.after(frozenUntil - events.now(), () -> finish(done));
        return;
      }
      busy--;
      progressInWindow++;
      done.run();
      drain();
    }
  }

  private final class FakeEntry {
    private final int[] own = new int[scenario.fleet().targets()];
    private final int[] reported = new int[scenario.fleet().targets()];
    private final AdaptiveLimit[] limits = new AdaptiveLimit[scenario.fleet().targets()];
    private final AdmissionQueue<Request> waiting = AdmissionQueue.create(HOST_QUEUE);
    private final RetryBudget retries = RetryBudget.of(RETRY_SHARE, RETRY_RESERVE);
    private final TargetHealth health = TargetHealth.create(LARGEST_EJECTED_SHARE);
    private final TargetChooser chooser =
        TargetChooser.of(scenario.rules().policy(), random.split());

    FakeEntry() {
      for (int t = 0; t < limits.length; t++) {
        limits[t] = AdaptiveLimit.of(2, 4.0 * scenario.fleet().slots());
      }
    }

    void refreshReports() {
      if (scenario.rules().reportMillis() == 0) {
        return;
      }
      for (int t = 0; t < scenario.fleet().targets(); t++) {
        reported[t] = t < scenario.faults().lying() ? 0 : workers[t].load();
      }
      long jitter = random.nextLong(1 + scenario.rules().reportMillis() * 1_000_000L / 10);
      events.after(scenario.rules().reportMillis() * 1_000_000L + jitter, this::refreshReports);
    }

    void arrive(Request r) {
      retries.onRequest();
      request(r);
    }

    private void request(Request r) {
      if (!scenario.rules().limits()) {
        send(choose(usable()), r);
        return;
      }
      List<Integer> free = free();
      if (!free.isEmpty() && waiting.size() == 0) {
        send(choose(free), r);
        return;
      }
      AdmissionQueue.Offer<Request> offer =
          waiting.offer(new AdmissionQueue.Entry<>(r, r.priority(), r.deadline()), events.now());
      refused += offer.accepted() ? 0 : 1;
      refused += offer.displaced().isPresent() ? 1 : 0;
    }

    private List<Integer> all() {
      List<Integer> all = new ArrayList<>();
      for (int t = 0; t < scenario.fleet().targets(); t++) {
        all.add(t);
      }
      return all;
    }

    private List<Integer> usable() {
      return scenario.rules().ejects()
          ? health.usable(all(), LoadModel::name, events.now())
          : all();
    }

    private List<Integer> free() {
      return usable().stream().filter(t -> limits[t].hasCapacity()).toList();
    }

    private int reported(int t) {
      return scenario.rules().reportMillis() == 0 ? workers[t].load() : reported[t];
    }

    private int choose(List<Integer> candidates) {
      List<TargetLoadView> views = new ArrayList<>();
      for (int t : candidates) {
        views.add(new TargetLoadView(name(t), own[t], reported(t), scenario.fleet().slots()));
      }
      return candidates.get(chooser.choose(views));
    }

    private void send(int t, Request r) {
      if (scenario.rules().limits() && !limits[t].tryAcquire()) {
        refused++;
        return;
      }
      own[t]++;
      health.onSend(name(t), events.now());
      AttemptOutcome failure = workers[t].failure;
      if (failure != null) {
        events.after(FAILURE_DELAY, () -> fail(t, r, failure));
        return;
      }
      boolean accepted = workers[t].accept(r, () -> answer(t, r));
      if (!accepted) {
        own[t]--;
        refused++;
        limits[t].onOverload(events.now());
      }
    }

    private void fail(int t, Request r, AttemptOutcome outcome) {
      own[t]--;
      if (scenario.rules().limits()) {
        limits[t].onRelease();
      }
      health.onFailure(name(t), events.now());
      OptionalLong delay =
          RetryPolicy.nextDelayNanos(
              outcome, true, r.attempts(), r.deadline() - events.now(), retries, random);
      if (delay.isEmpty()) {
        failed += isMeasured(r.start()) ? 1 : 0;
      } else {
        retried += isMeasured(r.start()) ? 1 : 0;
        events.after(delay.getAsLong(), () -> request(r.next()));
      }
      next();
    }

    private void answer(int t, Request r) {
      own[t]--;
      boolean inTime = events.now() <= r.deadline();
      if (inTime) {
        health.onResponse(name(t));
      } else {
        health.onFailure(name(t), events.now());
      }
      if (scenario.rules().limits()) {
        if (inTime) {
          limits[t].onResponse();
        } else {
          limits[t].onOverload(events.now());
        }
      }
      measure(r, inTime);
      next();
    }

    private void next() {
      refused += waiting.expire(events.now()).size();
      List<Integer> free = free();
      while (!free.isEmpty()) {
        Optional<AdmissionQueue.Entry<Request>> w = waiting.poll(events.now());
        if (w.isEmpty()) {
          return;
        }
        send(choose(free), w.get().request());
        free = free();
      }
    }
  }

  LoadModel(LoadScenario scenario, long seed) {
    this.scenario = scenario;
    this.random = new SplittableRandom(seed);
    this.workers = new FakeWorker[scenario.fleet().targets()];
    for (int t = 0; t < workers.length; t++) {
      workers[t] =
          new FakeWorker(
              t >= scenario.fleet().targets() - scenario.faults().slow() ? SLOW_FACTOR : 1);
    }
    this.entries = new FakeEntry[scenario.fleet().hosts()];
    for (int h = 0; h < entries.length; h++) {
      entries[h] = new FakeEntry();
    }
    this.end = scenario.seconds() * SECOND;
  }

  /** Runs a scenario with each of the seeds from 1 to the given number. */
  static List<Result> runAll(LoadScenario scenario, int seeds) {
    List<Result> results = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      results.add(new LoadModel(scenario, seed).run());
    }
    return results;
  }

  /** Runs the scenario and returns what it measured. */
  Result run() {
    Arrays.stream(entries).forEach(FakeEntry::refreshReports);
    events.after(0, this::arrive);
    events.after(SECOND, this::closeWindow);
    events.after(end / 2, this::beginFaults);
    events.runUntil(end + scenario.fleet().deadlineMillis() * 1_000_000L, () -> {});
    long stillWorking = offered - answered - refused - late - failed;
    double measured = scenario.seconds() * (1 - WARM_UP_SHARE);
    return new Result(
        offered,
        answered / (capacityPerSecond() * measured),
        refused / (double) offered,
        (late + Math.max(0, stillWorking)) / (double) offered,
        failed / (double) offered,
        retried / (double) offered,
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
    if (events.now() >= end) {
      return;
    }
    Priority priority =
        random.nextDouble() < scenario.fleet().urgentShare() ? Priority.URGENT : Priority.NORMAL;
    long deadline = events.now() + scenario.fleet().deadlineMillis() * 1_000_000L;
    offered += isMeasured(events.now()) ? 1 : 0;
    long refusedBefore = refused;
    entries[random.nextInt(entries.length)].arrive(
        new Request(events.now(), deadline, priority, 1));
    refused = isMeasured(events.now()) ? refused : refusedBefore;
    double rate = capacityPerSecond() * scenario.utilization();
    events.after((long) (-Math.log(1 - random.nextDouble()) * SECOND / rate), this::arrive);
  }

  private boolean isMeasured(long start) {
    return start >= end * WARM_UP_SHARE;
  }

  private void measure(Request r, boolean inTime) {
    if (!isMeasured(r.start())) {
      return;
    }
    if (!inTime) {
      late++;
      return;
    }
    answered++;
    long micros = (events.now() - r.start()) / 1_000;
    latency.recordValue(micros);
    if (r.priority() == Priority.URGENT) {
      urgentLatency.recordValue(micros);
    }
  }

  /** Notes the largest over the mean work that the targets did in the last second. */
  private void closeWindow() {
    long most = 0;
    long sum = 0;
    for (FakeWorker w : workers) {
      most = Math.max(most, w.progressInWindow);
      sum += w.progressInWindow;
      w.progressInWindow = 0;
    }
    if (sum > 0 && isMeasured(events.now())) {
      imbalance.recordValue(Math.round(1_000.0 * most * workers.length / sum));
    }
    if (events.now() < end) {
      events.after(SECOND, this::closeWindow);
    }
  }

  private void beginFaults() {
    LoadScenario.Faults faults = scenario.faults();
    for (int t = 0; t < faults.frozen(); t++) {
      FakeWorker w = workers[t];
      w.frozenUntil = events.now() + FAULT_TIME;
      events.after(FAULT_TIME, w::drain);
    }
    for (int t = 0; t < faults.lost(); t++) {
      failForWhile(workers[t], new AttemptOutcome.NotRun(AttemptOutcome.Reason.UNREACHABLE));
    }
    for (int t = 0; t < faults.breaking(); t++) {
      failForWhile(workers[t], new AttemptOutcome.Unknown(AttemptOutcome.Reason.BROKEN));
    }
  }

  private void failForWhile(FakeWorker w, AttemptOutcome outcome) {
    w.failure = outcome;
    events.after(FAULT_TIME, () -> w.failure = null);
  }

  private static String name(int target) {
    return "t" + target;
  }
}
