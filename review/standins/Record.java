import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What was sent, answered and run, with times in milliseconds since the start of the case. */
final class Record {
  private final long startedAt = System.nanoTime();
  private final PrintWriter out;
  private final List<Run> runs = new ArrayList<>();
  private final List<Answer> answers = new ArrayList<>();

  private final Map<String, String> hosts = new HashMap<>();

  record Run(long at, String request, String worker) {}

  record Answer(long sentAt, long at, String request, String host, int status) {}

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  long now() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  synchronized void event(String text) {
    out.println(now() + " " + text);
    System.out.println(now() + " " + text);
  }

  synchronized void onSent(String request, String host) {
    hosts.put(request, host);
    out.println(now() + " sent " + request + " to " + host);
  }

  synchronized void onRun(String request, String worker, String method) {
    runs.add(new Run(now(), request, worker));
    out.println(now() + " run " + method + " " + request + " at " + worker);
  }

  /** Records an answer; status 0 stands for a connection that ended without a complete answer. */
  synchronized void onAnswer(long sentAt, String request, String host, int status) {
    answers.add(new Answer(sentAt, now(), request, host, status));
    out.println(now() + " answered " + request + " by " + host + " with " + status);
  }

  /** Returns the host to which each request was sent. */
  synchronized Map<String, String> hosts() {
    return Map.copyOf(hosts);
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  synchronized List<Answer> answers() {
    return List.copyOf(answers);
  }
}
