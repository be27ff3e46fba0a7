package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipmoor.core.range.KeyRange;
import org.cowslipmoor.core.range.RangeTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A target that writes an earlier refusal once more on a kept connection. */
final class RepeatedRefusalTest extends LoopbackGateway {
  private static final String REFUSAL =
      "HTTP/1.1 503 Full\r\ncontent-length: 0\r\nnot-run: 1\r\n%s\r\n";

  /** A target that refuses its first request, and runs the others, which it counts. */
  private static final class Repeating implements ScriptedTarget.Script {
    final AtomicInteger runs = new AtomicInteger();
    private final String firstAnswer;
    private final String before;
    private final String after;
    private boolean refused;

    Repeating(String firstAnswer, String before, String after) {
      this.firstAnswer = firstAnswer;
      this.before = before;
      this.after = after;
    }

    @Override
    public String answer(String requestId) {
      throw new UnsupportedOperationException("depends on the connection");
    }

    @Override
    public String answer(String requestId, boolean isKept) {
      if (!refused) {
        refused = true;
        return firstAnswer;
      }
      runs.incrementAndGet();
      String answer = ScriptedTarget.answer("200 OK", requestId, "ran");
      return isKept ? before + answer + after : answer;
    }
  }

  private static String refusal(String header) {
    return REFUSAL.formatted(header);
  }

  private AggregatedHttpResponse order(WebClient client, String id) {
    return send(client, HttpMethod.POST, "/once/a", "body", "request-id", id);
  }

  @ParameterizedTest
  @ValueSource(strings = {"request-id: r-1\r\n", ""})
  void refusalBeforeTheAnswerIsNotTakenForIt(String id) throws Exception {
    Repeating script = new Repeating(refusal("request-id: r-1\r\n"), refusal(id), "");
    target("t", script);
    WebClient client = start(view("sheets", RangeTable.empty()));
    assertThat(order(client, "r-1").status().code(), is(503));

    assertThat(order(client, "r-2").contentUtf8(), is("ran"));
    assertThat(script.runs.get(), is(1));
  }

  @ParameterizedTest
  @ValueSource(strings = {"request-id: r-1\r\n", "request-id: r-2\r\n", ""})
  void refusalAfterTheAnswerIsTakenForNone(String id) throws Exception {
    Repeating script = new Repeating(refusal("request-id: r-1\r\n"), "", refusal(id));
    target("t", script);
    WebClient client = start(view("sheets", RangeTable.empty()));
    assertThat(order(client, "r-1").status().code(), is(503));

    for (int i = 2; i <= 6; i++) {
      assertThat(order(client, "r-" + i).contentUtf8(), is("ran"));
      assertThat(script.runs.get(), is(i - 1));
    }
  }

  @Test
  void refusalAmidAnAnswerBreaksItOff() throws Exception {
    String begin =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nrequest-id: %s\r\n\r\n2\r\nra\r\n";
    target("t", id -> begin.formatted(id) + refusal("request-id: r-1\r\n") + "1\r\nn\r\n0\r\n\r\n");
    WebClient client = start(view("sheets", RangeTable.empty()));

    assertThrows(CompletionException.class, () -> order(client, "r-2"));
  }

  /** The refusal bears the id of the request, which was sent to this target before. */
  @Test
  void requestSentAgainIsNotAnsweredByItsEarlierRefusal() throws Exception {
    String refusal =
        "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\nnot-run: 1\r\nrequest-id: r-1\r\n\r\n";
    Repeating script = new Repeating(refusal, refusal, "");
    ScriptedTarget t = target("t", script);
    WebClient client =
        start(view("stock", RangeTable.of(1, 1, List.of(entry(t, 0, KeyRange.LAST_KEY, 1)))));

    AggregatedHttpResponse response =
        send(client, HttpMethod.POST, "/keyed-once/a", "body", "key", "7");

    assertThat(response.contentUtf8(), is("ran"));
    assertThat(script.runs.get(), is(1));
  }
}
