import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A client's connection over HTTP/1.1. */
final class Connection implements Closeable {
  final Socket socket = new Socket();
  private final InputStream in;
  private Map<String, String> headers = Map.of();

  Connection(InetSocketAddress to) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(to, 1_000);
    in = new BufferedInputStream(socket.getInputStream());
  }

  void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Reads a whole answer and returns its status; 0 if it isn't complete. */
  int readStatus(int timeoutMillis) {
    try {
      socket.setSoTimeout(Math.max(1, timeoutMillis));
      String line = Http.line(in);
      int status = Integer.parseInt(line.split(" ")[1]);
      headers = new HashMap<>();
      for (String h = Http.line(in); !h.isEmpty(); h = Http.line(in)) {
        int colon = h.indexOf(':');
        headers.put(
            h.substring(0, colon).toLowerCase(Locale.ROOT), h.substring(colon + 1).trim());
      }
      if ("chunked".equals(headers.get("transfer-encoding"))) {
        for (int n = Integer.parseInt(Http.line(in), 16); ; n = Integer.parseInt(Http.line(in), 16)) {
          skip(n);
          Http.line(in);
          if (n == 0) {
            break;
          }
        }
      } else {
        skip(Integer.parseInt(headers.getOrDefault("content-length", "0")));
      }
      return status;
    } catch (IOException | RuntimeException e) {
      return 0;
    }
  }

  String header(String name) {
    return headers.get(name);
  }

  boolean mayBeReused() {
    return !"close".equalsIgnoreCase(headers.getOrDefault("connection", ""));
  }

  private void skip(int bytes) throws IOException {
    if (in.readNBytes(bytes).length < bytes) {
      throw new IOException("the connection has ended");
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to do.
    }
  }
}
