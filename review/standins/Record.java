import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, with times in milliseconds since the start of the case. */
final class Record {
  private final long startedAt = System.nanoTime();
  private final PrintWriter out;
  private final List<Answer> answers = new ArrayList<>();

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
    out.println(now() + " sent " + request + " to " + host);
  }

  synchronized void onRun(String request, String worker, String method) {
    out.println(now() + " run " + method + " " + request + " at " + worker);
  }

  /** Records an answer; status 0 stands for a connection that ended without a complete answer. */
  synchronized void onAnswer(long sentAt, String request, String host, int status) {
    answers.add(new Answer(sentAt, now(), request, host, status));
    out.println(now() + " answered " + request + " by " + host + " with " + status);
  }

  synchronized List<Answer> answers() {
    return List.copyOf(answers);
  }
}
