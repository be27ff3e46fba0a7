package org.cowslipmoor.core.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Simulates hosts that share the retries to one service, in virtual time, and counts their requests
 * and retries. The counts have a resolution of 50 ms, the step of the sliding windows in which the
 * bound is checked.
 */
final class RetrySimulation {
  static final long NANOS_PER_MILLI = 1_000_000L;
  static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  private static final long STEP_NANOS = 50 * NANOS_PER_MILLI;
  private static final int STEPS_PER_WINDOW = 200;

  private SharedRetryBudget.Limits limits;
  private final SplittableRandom random;
  private final List<SharedRetryBudget> hosts = new ArrayList<>();
  private final List<Integer> requests = new ArrayList<>();
  private final List<Integer> retries = new ArrayList<>();
  private long now;
  private long requestedRetries;

  /** The requests that callers send. */
  record Traffic(int requestsPerSecond, double failureRatio, int retriesPerFailure, int hosts) {}

  RetrySimulation(int size, double ratio, double slack, long seed) {
    limits = new SharedRetryBudget.Limits(ratio, slack, STEPS_PER_WINDOW * STEP_NANOS);
    random = new SplittableRandom(seed);
    hosts.addAll(Collections.nCopies(size, null));
    restartShare(1);
  }

  /** Changes the limits of the first hosts; the bound is the larger of the old and the new one. */
  void changeLimits(double share, double ratio, double slack) {
    SharedRetryBudget.Limits changed =
        new SharedRetryBudget.Limits(ratio, slack, limits.windowNanos());
    hosts.subList(0, (int) (share * hosts.size())).forEach(host -> host.onLimits(changed));
    limits =
        new SharedRetryBudget.Limits(
            Math.max(ratio, limits.ratio()), Math.max(slack, limits.slack()), limits.windowNanos());
  }

  /** Replaces a host by a newly started one. */
  void restart(int host) {
    hosts.set(host, SharedRetryBudget.create(limits, hosts.size(), random, now));
  }

  /** Restarts each host with the given probability. */
  void restartShare(double share) {
    IntStream.range(0, hosts.size())
        .filter(i -> random.nextDouble() < share)
        .forEach(this::restart);
  }

  /**
   * Runs traffic over the first hosts, or over the last ones if the number of hosts is negative.
   */
  void run(long durationNanos, Traffic traffic) {
    double requestsPerStep = traffic.requestsPerSecond() * (double) STEP_NANOS / NANOS_PER_SECOND;
    for (long end = now + durationNanos; now < end; now += STEP_NANOS) {
      int sent = (int) requestsPerStep + (random.nextDouble() < requestsPerStep % 1 ? 1 : 0);
      int granted = 0;
      for (int i = 0; i < sent; i++) {
        SharedRetryBudget host = randomHost(traffic.hosts());
        host.onRequest(now);
        if (random.nextDouble() < traffic.failureRatio()) {
          for (int r = 0; r < traffic.retriesPerFailure(); r++) {
            requestedRetries++;
            granted += host.tryAcquire(now) ? 1 : 0;
          }
        }
      }
      requests.add(sent);
      retries.add(granted);
    }
  }

  private SharedRetryBudget randomHost(int count) {
    int first = count < 0 ? hosts.size() + count : 0;
    return hosts.get(first + random.nextInt(Math.abs(count)));
  }

  /**
   * Returns the maximum over all windows of the retries beyond the bound; negative if no window
   * exceeds it.
   */
  double maxExcess() {
    double max = Double.NEGATIVE_INFINITY;
    for (int from = 0; from < requests.size(); from++) {
      int counted =
          Math.max(
              requestsIn(from),
              Math.max(
                  requestsIn(from - STEPS_PER_WINDOW), requestsIn(from - STEPS_PER_WINDOW / 2)));
      max = Math.max(max, sum(retries, from) - limits.ratio() * counted - limits.slack());
    }
    return max;
  }

  /** Returns the share of the requested retries that the budgets granted. */
  double grantedShare() {
    return (double) retries.stream().mapToInt(r -> r).sum() / requestedRetries;
  }

  /** Returns the granted retries per request. */
  double retriesPerRequest() {
    return (double) retries.stream().mapToInt(r -> r).sum()
        / requests.stream().mapToInt(r -> r).sum();
  }

  private int requestsIn(int from) {
    return sum(requests, from);
  }

  private static int sum(List<Integer> counts, int from) {
    int end = Math.min(counts.size(), from + STEPS_PER_WINDOW);
    int sum = 0;
    for (int i = Math.max(0, from); i < end; i++) {
      sum += counts.get(i);
    }
    return sum;
  }
}
