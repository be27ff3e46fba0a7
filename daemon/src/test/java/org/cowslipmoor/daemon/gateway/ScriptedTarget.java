package org.cowslipmoor.daemon.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;

/** A target over loopback that writes given bytes for each request that it reads. */
final class ScriptedTarget implements AutoCloseable {
  final List<String> requests = new CopyOnWriteArrayList<>();
  final AtomicInteger connections = new AtomicInteger();

  /** The bytes of the first answer without end that were written until the host closed. */
  final CompletableFuture<Long> endlessBytes = new CompletableFuture<>();

  /** Stands in an answer before bytes that are repeated until the host closes the connection. */
  static final String REPEATED = "\uffff";

  /** Stands at the end of an answer after which the connection is closed. */
  static final String CLOSED = "\u0004";

  private static final int BLOCK_BYTES = 8_192;
  private final String id;
  private final ServerSocket server;
  private final Script script;
  private final ExecutorService threads = Executors.newCachedThreadPool();

  /** Decides what is written for a request. */
  interface Script {
    /** Returns the bytes; null closes the connection without an answer. */
    String answer(String requestId);

    /** Returns the bytes for a request on a connection that may have carried others before. */
    default String answer(String requestId, boolean isKept) {
      return answer(requestId);
    }
  }

  ScriptedTarget(String id, Script script) throws IOException {
    this.id = id;
    this.script = script;
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  /** Returns a script of an ordinary answer. */
  static Script ok(String body) {
    return requestId -> answer("200 OK", requestId, body);
  }

  static String answer(String status, String requestId, String body) {
    return "HTTP/1.1 %s\r\ncontent-length: %d\r\nrequest-id: %s\r\nstamp: s\r\n\r\n%s"
        .formatted(status, body.length(), requestId, body);
  }

  DiscoveredTarget announced(String service) {
    String address = "127.0.0.1:" + server.getLocalPort();
    return new DiscoveredTarget(
        new TargetIncarnation(id, 1), service, address, "cairo", 4, false, 0);
  }

  @Override
  public void close() throws IOException {
    server.close();
    threads.shutdownNow();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        connections.incrementAndGet();
        threads.execute(() -> serve(socket));
      }
    } catch (IOException e) {
      // The socket was closed: the test is over.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      for (boolean isKept = false; true; isKept = true) {
        StringBuilder request = new StringBuilder();
        String requestId = "";
        int length = 0;
        for (String line = in.readLine(); !"".equals(line); line = in.readLine()) {
          if (line == null) {
            return;
          }
          request.append(line).append('\n');
          if (line.startsWith("request-id: ")) {
            requestId = line.substring("request-id: ".length());
          }
          if (line.startsWith("content-length: ")) {
            length = Integer.parseInt(line.substring("content-length: ".length()));
          }
        }
        for (int i = 0; i < length; i++) {
          request.append((char) in.read());
        }
        requests.add(request.toString());
        String answer = script.answer(requestId, isKept);
        if (answer == null) {
          return;
        }
        if (answer.endsWith(CLOSED)) {
          String whole = answer.substring(0, answer.length() - CLOSED.length());
          socket.getOutputStream().write(whole.getBytes(StandardCharsets.US_ASCII));
          return;
        }
        int repeat = answer.indexOf(REPEATED);
        String begin = repeat < 0 ? answer : answer.substring(0, repeat);
        socket.getOutputStream().write(begin.getBytes(StandardCharsets.US_ASCII));
        if (repeat >= 0) {
          repeat(socket.getOutputStream(), answer.substring(repeat + 1));
          return;
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void repeat(OutputStream out, String piece) {
    byte[] block = piece.repeat(BLOCK_BYTES / piece.length()).getBytes(StandardCharsets.US_ASCII);
    long written = 0;
    try {
      while (true) {
        out.write(block);
        written += block.length;
      }
    } catch (IOException e) {
      endlessBytes.complete(written);
    }
  }
}
