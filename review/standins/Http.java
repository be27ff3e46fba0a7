import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Reads the heads of HTTP/1.1 messages. */
final class Http {
  private Http() {}

  /** Reads a head, without the blank line that ends it. */
  static String head(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    for (String l = line(in); !l.isEmpty(); l = line(in)) {
      head.append(l).append('\n');
    }
    return head.toString();
  }

  /** Reads a line, without its end. */
  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new IOException("the connection has ended");
      }
      if (c != '\r') {
        line.write(c);
      }
    }
    return line.toString(StandardCharsets.UTF_8);
  }

  /** Returns the value of a header, named in lower case; empty if there is none. */
  static String field(String head, String name) {
    for (String l : head.split("\n")) {
      if (l.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
        return l.substring(name.length() + 1).trim();
      }
    }
    return "";
  }
}
