package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import org.cowslipmoor.core.range.RangeTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against the promise "not run" where the target has not stated it. */
final class UnstatedRejectionTest extends LoopbackGateway {
  @ParameterizedTest
  @ValueSource(strings = {"503 Failed", "429 Failed", "408 Failed"})
  void statusOfTargetThatDoesNotStateNotRunIsNoPromise(String status) throws Exception {
    ScriptedTarget t =
        target(
            "t",
            id ->
                "HTTP/1.1 %s\r\ncontent-length: 0\r\nrequest-id: %s\r\n\r\n"
                    .formatted(status, id));
    WebClient client = start(view("sheets", RangeTable.empty()));

    AggregatedHttpResponse response = send(client, HttpMethod.POST, "/once/a", "body");

    assertThat(t.requests.size(), is(1));
    int code = response.status().code();
    assertThat(code, is(not(Integer.parseInt(status.substring(0, 3)))));
  }

  /** Guards against 503 while a target that is leaving could still serve. */
  @Test
  void leavingTargetServesWhileTheOtherOneRejects() throws Exception {
    target(
        "t",
        id -> ScriptedTarget.response("200 OK", id, "ok").replace("stamp: s", "stamp: s\r\nleaving: 1"));
    target(
        "u",
        id ->
            "HTTP/1.1 503 Full\r\ncontent-length: 0\r\nnot-run: 1\r\nrequest-id: %s\r\n\r\n"
                .formatted(id));
    WebClient client = start(view("sheets", RangeTable.empty()));
    int served = 0;
    for (int i = 0; i < 40 && served == 0; i++) {
      served += send(client, HttpMethod.GET, "/safe/a", "").status().code() == 200 ? 1 : 0;
    }
    assertThat(served, is(1));

    int after = 0;
    for (int i = 0; i < 20; i++) {
      after += send(client, HttpMethod.GET, "/safe/a", "").status().code() == 200 ? 1 : 0;
    }
    assertThat(after, greaterThanOrEqualTo(1));
  }
}
