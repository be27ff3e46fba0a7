package org.cowslipmoor.testing.program;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.cowslipmoor.schema.target.RanRequest;
import org.junit.jupiter.api.Test;

/** Tests the checks of the runs at targets against a load's report. */
final class VerificationResultTest {
  private static final long MAX_UNAVAILABLE_MS = 4_000;

  private final LoadReport report = new LoadReport();
  private final List<VerificationResult.Run> runs = new ArrayList<>();

  private void recordResponse(String id, boolean once) {
    report.recordSent(id, once);
    report.recordResponse(id, 1_000);
  }

  private void recordRun(String target, String id, String key, long from, long to) {
    RanRequest ran =
        RanRequest.newBuilder()
            .setRequest(id)
            .setKey(key)
            .setStartedMs(from)
            .setEndedMs(to)
            .build();
    runs.add(new VerificationResult.Run(target, ran));
  }

  private VerificationResult result() {
    return VerificationResult.of(report.toJson(), runs);
  }

  private boolean passed() {
    return result().passed(MAX_UNAVAILABLE_MS, false);
  }

  @Test
  void passesWhenEveryRequestRanOnceAndNoKeyHadTwoOwners() {
    recordResponse("r1", true);
    recordRun("a", "r1", "stock/k", 0, 10);
    recordRun("b", "other", "registry/k", 5, 15);
    recordRun("b", "later", "stock/k", 10, 20);
    assertThat(result().passed(MAX_UNAVAILABLE_MS, true), is(true));
  }

  @Test
  void detectsDuplicateRunsButAllowsRepeatableOnes() {
    recordResponse("r1", false);
    recordRun("a", "r1", "", 0, 10);
    recordRun("a", "r1", "", 20, 30);
    assertThat(result().repeated(), is(1L));
    assertThat(passed(), is(true));
    recordResponse("r2", true);
    recordRun("a", "r2", "", 0, 10);
    recordRun("a", "r2", "", 20, 30);
    assertThat(result().duplicates(), is(1L));
    assertThat(passed(), is(false));
  }

  @Test
  void detectsTwoOwnersOfOneKey() {
    recordResponse("r1", true);
    recordRun("a", "r1", "stock/k", 0, 10);
    recordRun("b", "r3", "stock/k", 9, 20);
    assertThat(result().twoOwners(), hasSize(1));
    assertThat(passed(), is(false));
  }

  @Test
  void detectsRequestsThatRanThoughRejectedAsNotRun() {
    recordResponse("r1", true);
    recordRun("a", "r1", "", 0, 10);
    report.recordSent("r2", true);
    report.recordRejection("r2", "1009", "not run");
    assertThat(passed(), is(true));
    assertThat(result().passed(MAX_UNAVAILABLE_MS, true), is(false));
    recordRun("a", "r2", "", 0, 10);
    assertThat(result().ranThoughRejected(), is(1L));
    assertThat(passed(), is(false));
  }

  @Test
  void detectsResponsesToRequestsThatNoTargetRan() {
    recordResponse("r1", true);
    assertThat(result().respondedWithoutRun(), is(1L));
    assertThat(passed(), is(false));
  }

  @Test
  void detectsInvalidResponsesAndLongWaits() {
    recordResponse("r1", true);
    recordRun("a", "r1", "", 0, 10);
    report.recordWait(MAX_UNAVAILABLE_MS);
    assertThat(passed(), is(true));
    report.recordWait(MAX_UNAVAILABLE_MS + 1);
    assertThat(passed(), is(false));
    assertThat(result().passed(MAX_UNAVAILABLE_MS + 1, false), is(true));
    report.recordSent("r2", false);
    report.recordInvalidResponse("r2");
    assertThat(result().passed(MAX_UNAVAILABLE_MS + 1, false), is(false));
  }
}
