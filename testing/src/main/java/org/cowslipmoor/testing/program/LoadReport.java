package org.cowslipmoor.testing.program;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.HdrHistogram.Histogram;

/** Collects a load's responses and errors for its report. Thread-safe. */
final class LoadReport {
  private static final long MAX_MICROS = 120_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Histogram latencyMicros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Map<String, Integer> rejections = new TreeMap<>();
  private final Map<String, String> outcomes = new TreeMap<>();
  private final Set<String> runOnceIds = new TreeSet<>();
  private long requests;
  private long responses;
  private long invalidResponses;
  private long longestUnavailableMs;

  /** Records that a request was sent, and whether it must run at most once. */
  synchronized void recordSent(String id, boolean mustRunOnce) {
    requests++;
    if (mustRunOnce) {
      runOnceIds.add(id);
    }
  }

  /** Records a complete and correct response. */
  synchronized void recordResponse(String id, long micros) {
    responses++;
    latencyMicros.recordValue(Math.min(MAX_MICROS, micros));
    outcomes.put(id, "answered");
  }

  /** Records a response that was truncated or belongs to another request. */
  synchronized void recordInvalidResponse(String id) {
    invalidResponses++;
    outcomes.put(id, "broken");
  }

  /**
   * Records a rejection, or an error of the connection to the host.
   *
   * @param id the request's id
   * @param code the result code, or a description of the connection error
   * @param effect whether the request may have run, as the host reports it
   */
  synchronized void recordRejection(String id, String code, String effect) {
    rejections.merge(code, 1, Integer::sum);
    outcomes.put(id, effect);
  }

  /**
   * Records the time in milliseconds from the sending of a request to its response or rejection.
   */
  synchronized void recordWait(long millis) {
    longestUnavailableMs = Math.max(longestUnavailableMs, millis);
  }

  synchronized ObjectNode toJson() {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("requests", requests);
    json.put("answers", responses);
    json.put("brokenAnswers", invalidResponses);
    json.put("longestUnavailableMs", longestUnavailableMs);
    json.put("medianMicros", latencyMicros.getValueAtPercentile(50));
    json.put("p99Micros", latencyMicros.getValueAtPercentile(99));
    ObjectNode rejectionsByCode = json.putObject("refusalsByCode");
    rejections.forEach(rejectionsByCode::put);
    ObjectNode outcomesById = json.putObject("outcomes");
    outcomes.forEach(outcomesById::put);
    ArrayNode runOnce = json.putArray("runOnce");
    runOnceIds.forEach(runOnce::add);
    return json;
  }
}
