package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import org.cowslipmoor.core.range.RangeTable;
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
                "HTTP/1.1 %s\r\ncontent-length: 0\r\nrequest-id: %s\r\n\r\n".formatted(status, id));
    WebClient client = start(view("sheets", RangeTable.empty()));

    AggregatedHttpResponse response = send(client, HttpMethod.POST, "/once/a", "body");

    assertThat(t.requests.size(), is(1));
    int code = response.status().code();
    assertThat(code, is(not(Integer.parseInt(status.substring(0, 3)))));
  }
}
