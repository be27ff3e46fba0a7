package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.emptyString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionException;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterProperty;
import org.cowslipmoor.core.range.RangeTable;

/**
 * Checks what callers are told of requests, some of which they repeat under their ids, while the
 * target writes copies of its rejections anywhere between the responses of a connection.
 */
final class CopiedRejectionProperties extends LoopbackGateway {
  private static final int SENDS = 12;
  private static final int IDS = 3;
  private static final int MAX_COPIES = 3;
  private static final int MAX_PIECES = 4;

  /** Sends after which a host without the check must have been found wrong. */
  private static final int MAX_WRONG_TRIES = 50;

  private static final List<String> REJECTIONS =
      List.of("408 Late", "421 Misdirected", "429 Many", "503 Full");

  private final CopyingScript script = new CopyingScript();
  private int tries;

  @AfterProperty
  void closeHost() throws Exception {
    close();
  }

  /** Rejects or runs requests at random, and writes copies of the connection's rejections. */
  private static final class CopyingScript implements ScriptedTarget.ConnectionScript {
    private final Map<Integer, List<String>> rejectedByConnection = new HashMap<>();
    private SplittableRandom random = new SplittableRandom(0);
    private int runs;

    synchronized void seed(long seed) {
      random = new SplittableRandom(seed);
    }

    synchronized int runs() {
      return runs;
    }

    @Override
    public synchronized String beforeBody(
        String requestId, int connection, List<String> earlierIds) {
      return random.nextInt(4) == 0 ? split(copies(requestId, connection)) : "";
    }

    @Override
    public synchronized String respond(String requestId, int connection, List<String> earlierIds) {
      String before = random.nextBoolean() ? copies(requestId, connection) : "";
      String response;
      if (random.nextInt(3) == 0) {
        response = rejection("request-id: " + requestId + "\r\n");
        rejectedByConnection
            .computeIfAbsent(connection, unused -> new ArrayList<>())
            .add(requestId);
      } else {
        runs++;
        response = ScriptedTarget.response("200 OK", requestId, "run " + runs);
      }
      String after = random.nextInt(4) == 0 ? copies(requestId, connection) : "";
      return split(before + response + after);
    }

    private String copies(String requestId, int connection) {
      List<String> rejected = rejectedByConnection.getOrDefault(connection, List.of());
      StringBuilder copies = new StringBuilder();
      for (int i = random.nextInt(MAX_COPIES + 1); i > 0 && !rejected.isEmpty(); i--) {
        String id =
            rejected.contains(requestId) && random.nextBoolean()
                ? requestId
                : rejected.get(random.nextInt(rejected.size()));
        copies.append(rejection(random.nextInt(4) == 0 ? "" : "request-id: " + id + "\r\n"));
      }
      return copies.toString();
    }

    private String rejection(String header) {
      return "HTTP/1.1 %s\r\ncontent-length: 0\r\nnot-run: 1\r\n%s\r\n"
          .formatted(REJECTIONS.get(random.nextInt(REJECTIONS.size())), header);
    }

    private String split(String bytes) {
      StringBuilder pieces = new StringBuilder(bytes);
      for (int i = random.nextInt(MAX_PIECES); i > 0; i--) {
        pieces.insert(random.nextInt(pieces.length() + 1), ScriptedTarget.PIECE_MARKER);
      }
      return pieces.toString();
    }
  }

  /** Gives each request of a caller another id within the host, so that no repeat shows. */
  private static final class ForgetfulCodec implements HeaderCodec {
    private static final String SEPARATOR = "#";
    private final HeaderCodec plain = new PlainHeaderCodec();
    private int count;

    @Override
    public synchronized RequestHead readRequest(RequestHeaders headers) {
      count++;
      return plain.readRequest(
          headers.toBuilder()
              .set("request-id", headers.get("request-id") + SEPARATOR + count)
              .build());
    }

    @Override
    public void writeRequest(
        HttpHeaders headers, String requestId, long deadlineMillis, String targetId) {
      String id = requestId.substring(0, requestId.indexOf(SEPARATOR));
      plain.writeRequest(headers, id, deadlineMillis, targetId);
    }

    @Override
    public synchronized ResponseHead readResponse(HttpResponse head) {
      String id = head.headers().get("request-id");
      if (id != null) {
        head.headers().set("request-id", id + SEPARATOR + count);
      }
      return plain.readResponse(head);
    }

    @Override
    public OptionalLong readHealth(HttpResponse head) {
      return plain.readHealth(head);
    }
  }

  /** Sends requests of one caller; returns what it was wrongly told, or an empty string. */
  private String findWrongResponse(WebClient client, long seed) {
    tries++;
    script.seed(seed);
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < SENDS; i++) {
      String id = "r-" + tries + "-" + random.nextInt(IDS);
      int runsBefore = script.runs();
      AggregatedHttpResponse response;
      try {
        response = send(client, HttpMethod.POST, "/once/a", "body", "request-id", id);
      } catch (CompletionException e) {
        continue;
      }
      int runs = script.runs();
      int status = response.status().code();
      if (Set.of(408, 421, 429, 503).contains(status) && runs > runsBefore) {
        return "told " + status + " of a request that ran";
      }
      if (status == 200 && !response.contentUtf8().equals("run " + (runsBefore + 1))) {
        return "got '" + response.contentUtf8() + "' for run " + (runsBefore + 1);
      }
    }
    return "";
  }

  @Property(tries = 60, seed = "20261206")
  void callersAreToldWhatBecameOfTheirOwnRequests(@ForAll long seed) throws Exception {
    WebClient client = startOnce();
    int runsBefore = script.runs();

    assertThat(findWrongResponse(client, seed), is(emptyString()));
    assertThat(script.runs(), greaterThan(runsBefore));
  }

  @Example
  void hostThatForgetsRejectedIdsIsFound() throws Exception {
    headerCodec = new ForgetfulCodec();
    WebClient client = startOnce();

    String found = "";
    for (int seed = 0; seed < MAX_WRONG_TRIES && found.isEmpty(); seed++) {
      found = findWrongResponse(client, seed);
    }

    assertThat(found.isEmpty(), is(false));
  }

  private WebClient startOnce() throws Exception {
    if (host == null) {
      target("t", script);
      start(view("sheets", RangeTable.empty()));
    }
    return client(ports[0]);
  }
}
