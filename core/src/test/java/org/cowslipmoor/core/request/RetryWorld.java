package org.cowslipmoor.core.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Hosts that share the retries to one service, and the count of what they send, in virtual time.
 * Requests and retries are counted in steps of 50 ms, as the rules' sliding windows see them.
 */
final class RetryWorld {
  static final long MS = 1_000_000L;
  static final long SECOND = 1_000 * MS;
  private static final long STEP = 50 * MS;
  private static final int STEPS_PER_WINDOW = 200;

  private final SharedRetryBudget.Limits limits;
  private final SplittableRandom random;
  private final List<SharedRetryBudget> hosts = new ArrayList<>();
  private final List<Integer> requests = new ArrayList<>();
  private final List<Integer> retries = new ArrayList<>();
  private long now;
  private long wanted;

  /** What callers send from now on. */
  record Traffic(int requestsPerSecond, double failing, int retriesPerFailure, int hosts) {}

  RetryWorld(int size, double ratio, double slack, long seed) {
    limits = new SharedRetryBudget.Limits(ratio, slack, STEPS_PER_WINDOW * STEP);
    random = new SplittableRandom(seed);
    hosts.addAll(Collections.nCopies(size, null));
    restartSome(1);
  }

  /** Replaces a host by one that has just started. */
  void restart(int host) {
    hosts.set(host, SharedRetryBudget.create(limits, hosts.size(), random, now));
  }

  /** Restarts a part of the hosts, drawn at random. */
  void restartSome(double part) {
    IntStream.range(0, hosts.size()).filter(i -> random.nextDouble() < part).forEach(this::restart);
  }

  /** Runs traffic over the first hosts, or over the last ones if their number is below 0. */
  void run(long duration, Traffic traffic) {
    double perStep = traffic.requestsPerSecond() * (double) STEP / SECOND;
    for (long end = now + duration; now < end; now += STEP) {
      int sent = (int) perStep + (random.nextDouble() < perStep % 1 ? 1 : 0);
      int repeated = 0;
      for (int i = 0; i < sent; i++) {
        SharedRetryBudget host = anyOf(traffic.hosts());
        host.onRequest(now);
        if (random.nextDouble() < traffic.failing()) {
          for (int r = 0; r < traffic.retriesPerFailure(); r++) {
            wanted++;
            repeated += host.tryAcquire(now) ? 1 : 0;
          }
        }
      }
      requests.add(sent);
      retries.add(repeated);
    }
  }

  private SharedRetryBudget anyOf(int some) {
    int first = some < 0 ? hosts.size() + some : 0;
    return hosts.get(first + random.nextInt(Math.abs(some)));
  }

  /**
   * Returns by how many retries the worst window exceeds what is allowed; negative if none does.
   */
  double worstExcess() {
    double worst = Double.NEGATIVE_INFINITY;
    for (int from = 0; from < requests.size(); from++) {
      int counted =
          Math.max(
              requestsIn(from),
              Math.max(
                  requestsIn(from - STEPS_PER_WINDOW), requestsIn(from - STEPS_PER_WINDOW / 2)));
      worst = Math.max(worst, sum(retries, from) - limits.ratio() * counted - limits.slack());
    }
    return worst;
  }

  /** Returns the part of the wanted retries that were made. */
  double madePart() {
    return (double) retries.stream().mapToInt(r -> r).sum() / wanted;
  }

  /** Returns the retries that were made per request. */
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
