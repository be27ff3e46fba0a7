package org.cowslipmoor.testing.program;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import java.io.PrintStream;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.cowslipmoor.schema.target.RanRequest;

/**
 * Result of checking the requests that targets ran against the responses that a load's callers
 * received.
 *
 * @param load the load's report
 * @param runs number of requests that ran at targets
 * @param duplicates number of requests that must not be repeated and ran more than once
 * @param repeated number of other requests that ran more than once
 * @param respondedWithoutRun number of requests with a response that no target ran
 * @param ranThoughRejected number of requests that ran although a rejection reported that they did
 *     not
 * @param twoOwners pairs of runs of one key that overlap at two targets, one pair for each key
 */
record VerificationResult(
    JsonNode load,
    long runs,
    long duplicates,
    long repeated,
    long respondedWithoutRun,
    long ranThoughRejected,
    ImmutableList<Overlap> twoOwners) {

  /**
   * The run of a request at a target.
   *
   * @param target address of the target
   * @param ran what the target recorded
   */
  record Run(String target, RanRequest ran) {
    boolean overlaps(Run other) {
      return !target.equals(other.target)
          && ran.getStartedMs() < other.ran.getEndedMs()
          && other.ran.getStartedMs() < ran.getEndedMs();
    }
  }

  /**
   * Overlapping runs of one key at two targets.
   *
   * @param key the key, prefixed with its service
   * @param first a run at one target
   * @param other a run at another target
   */
  record Overlap(String key, Run first, Run other) {}

  /** Checks the runs at all targets against a load's report. */
  static VerificationResult of(JsonNode load, List<Run> runs) {
    Multiset<String> counts = HashMultiset.create();
    runs.forEach(r -> counts.add(r.ran().getRequest()));
    ImmutableSet.Builder<String> once = ImmutableSet.builder();
    load.get("runOnce").forEach(id -> once.add(id.asText()));
    ImmutableSet<String> runOnce = once.build();
    return new VerificationResult(
        load,
        runs.size(),
        counts.elementSet().stream()
            .filter(id -> counts.count(id) > 1 && runOnce.contains(id))
            .count(),
        counts.elementSet().stream()
            .filter(id -> counts.count(id) > 1 && !runOnce.contains(id))
            .count(),
        outcomes(load, "answered").stream().filter(id -> !counts.contains(id)).count(),
        outcomes(load, "not run").stream().filter(counts::contains).count(),
        overlaps(runs));
  }

  /**
   * Returns whether all checks passed.
   *
   * @param maxUnavailableMs maximum time for which a key may go unserved, in milliseconds
   * @param allAnswered whether every request must have got a complete response
   */
  boolean passed(long maxUnavailableMs, boolean allAnswered) {
    long responses = load.get("answers").asLong();
    boolean enoughResponses =
        allAnswered ? responses == load.get("requests").asLong() : responses > 0;
    return enoughResponses
        && duplicates == 0
        && respondedWithoutRun == 0
        && ranThoughRejected == 0
        && twoOwners.isEmpty()
        && load.get("brokenAnswers").asLong() == 0
        && load.get("longestUnavailableMs").asLong() <= maxUnavailableMs;
  }

  void print(PrintStream out) {
    row(out, "requests", load.get("requests"));
    row(out, "responses", load.get("answers"));
    row(out, "rejections by code", load.get("refusalsByCode"));
    row(out, "runs at targets", runs);
    row(out, "duplicate runs", duplicates);
    row(out, "repeated where allowed", repeated);
    row(out, "answered, but not run", respondedWithoutRun);
    row(out, "rejected, but run", ranThoughRejected);
    row(out, "invalid responses", load.get("brokenAnswers"));
    row(out, "keys with two owners", twoOwners.size());
    row(out, "longest unavailable time", load.get("longestUnavailableMs") + " ms");
    row(out, "median time", load.get("medianMicros") + " us");
    row(out, "99th percentile of time", load.get("p99Micros") + " us");
    twoOwners.forEach(o -> out.println("two owners: " + o));
  }

  private static void row(PrintStream out, String name, Object value) {
    out.printf("%-25s%s%n", name, value);
  }

  private static List<String> outcomes(JsonNode load, String outcome) {
    return load.get("outcomes").properties().stream()
        .filter(o -> o.getValue().asText().equals(outcome))
        .map(Map.Entry::getKey)
        .toList();
  }

  private static ImmutableList<Overlap> overlaps(List<Run> runs) {
    ImmutableListMultimap<String, Run> byKey =
        runs.stream()
            .filter(r -> !r.ran().getKey().isEmpty())
            .collect(ImmutableListMultimap.toImmutableListMultimap(r -> r.ran().getKey(), r -> r));
    ImmutableList.Builder<Overlap> result = ImmutableList.builder();
    byKey.asMap().forEach((key, all) -> findOverlap(key, all, result));
    return result.build();
  }

  private static void findOverlap(
      String key, Collection<Run> all, ImmutableList.Builder<Overlap> result) {
    for (Run first : all) {
      for (Run other : all) {
        if (first.overlaps(other)) {
          result.add(new Overlap(key, first, other));
          return;
        }
      }
    }
  }
}
