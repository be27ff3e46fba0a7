package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cowslipmoor.core.range.RangeTable;
import org.junit.jupiter.api.Test;

/** Tests the planned stop of a host whose callers go on sending requests. */
final class PlannedStopTest extends LoopbackGateway {
  private static final long GRACE_MILLIS = 5_000;
  private static final long SERVICE_MILLIS = 2_500;
  private static final int TARGETS = 20;
  private static final long REQUEST_INTERVAL_MILLIS = 100;

  /**
   * Guards against requests that are accepted late in the grace period and cut at its end. Callers
   * can't repeat them.
   */
  @Test
  void everyRequestHasItsResponseWhenTheHostEnds() throws Exception {
    graceMillis = GRACE_MILLIS;
    for (int i = 0; i < TARGETS; i++) {
      target(
          "t" + i,
          id -> {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SERVICE_MILLIS));
            return ScriptedTarget.response("200 OK", id, "stored");
          });
    }
    WebClient client = start(view("sheets", RangeTable.empty()));
    CompletableFuture<Void> stop = CompletableFuture.runAsync(host::stop);
    host = null;
    List<CompletableFuture<AggregatedHttpResponse>> responses = new ArrayList<>();
    while (!stop.isDone()) {
      responses.add(
          client
              .execute(
                  HttpRequest.of(
                      RequestHeaders.builder(HttpMethod.POST, "/once/a")
                          .authority("shop.example")
                          .add("request-id", "r-1")
                          .build()))
              .aggregate());
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(REQUEST_INTERVAL_MILLIS));
    }

    // The last ones were sent while the host ended.
    int sentBeforeTheEnd = responses.size() - 3;
    assertThat(sentBeforeTheEnd, greaterThan(10));
    int served = 0;
    for (CompletableFuture<AggregatedHttpResponse> r : responses.subList(0, sentBeforeTheEnd)) {
      assertThat(r.isDone(), is(true));
      int status = r.join().status().code();
      assertThat(status, both(greaterThanOrEqualTo(200)).and(lessThanOrEqualTo(503)));
      if (status == 200) {
        served++;
      } else {
        assertThat(r.join().headers().get("cowslipmoor-effect"), is("not run"));
      }
    }
    assertThat(served, greaterThan(3));
  }
}
