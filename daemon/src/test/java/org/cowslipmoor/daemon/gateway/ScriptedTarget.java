package org.cowslipmoor.daemon.gateway;

import com.google.common.base.Splitter;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.jspecify.annotations.Nullable;

/** A target over loopback that responds to each request with the bytes that a script returns. */
final class ScriptedTarget implements AutoCloseable {
  final List<String> requests = new CopyOnWriteArrayList<>();
  final AtomicInteger connections = new AtomicInteger();

  /** Ids of the requests that were read, in that order. */
  final BlockingQueue<String> received = new LinkedBlockingQueue<>();

  /** Id of the last request on each connection that has ended, in the order of their ends. */
  final BlockingQueue<String> disconnected = new LinkedBlockingQueue<>();

  /**
   * The number of bytes of the first unbounded response that were written until the host closed the
   * connection.
   */
  final CompletableFuture<Long> unboundedBytes = new CompletableFuture<>();

  /** Marks that the rest of a response is repeated until the host closes the connection. */
  static final String REPEAT_MARKER = "\uffff";

  /** Marks the end of a response after which the connection is closed. */
  static final String CLOSE_MARKER = "\u0004";

  /** Separates pieces of a response that are written one after the other. */
  static final String PIECE_MARKER = "\u0003";

  private static final int BLOCK_BYTES = 8_192;
  private final String id;
  private final ServerSocket server;
  private final Script script;
  private final ExecutorService threads = Executors.newCachedThreadPool();

  /** Generates the responses. */
  interface Script {
    /** Returns the response to a request; null closes the connection without one. */
    String respond(String requestId);

    /**
     * Returns the response to a request.
     *
     * @param isReused whether the connection has carried other requests before
     */
    default String respond(String requestId, boolean isReused) {
      return respond(requestId);
    }

    /**
     * Returns the response to a request.
     *
     * @param connection the number of the connection, from 1
     * @param earlierIds ids of the requests that the connection has carried before
     */
    default @Nullable String respond(String requestId, int connection, List<String> earlierIds) {
      return respond(requestId, !earlierIds.isEmpty());
    }

    /** Returns bytes that the target writes before it reads the body of the request. */
    default String beforeBody(String requestId, int connection, List<String> earlierIds) {
      return "";
    }

    /** Returns whether the target responds before it reads the body of the request. */
    default boolean isEarly() {
      return false;
    }
  }

  /** Generates the responses by what their connection has carried. */
  interface ConnectionScript extends Script {
    @Override
    default String respond(String requestId) {
      throw new UnsupportedOperationException("the response depends on the connection");
    }

    @Override
    @Nullable String respond(String requestId, int connection, List<String> earlierIds);
  }

  ScriptedTarget(String id, Script script) throws IOException {
    this.id = id;
    this.script = script;
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  /** Returns a script that responds with 200 and the given body. */
  static Script ok(String body) {
    return requestId -> response("200 OK", requestId, body);
  }

  static String response(String status, String requestId, String body) {
    return "HTTP/1.1 %s\r\ncontent-length: %d\r\nrequest-id: %s\r\nstamp: s\r\n\r\n%s"
        .formatted(status, body.length(), requestId, body);
  }

  DiscoveredTarget discovered(String service) {
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
        int connection = connections.incrementAndGet();
        threads.execute(() -> serve(socket, connection));
      }
    } catch (IOException e) {
      // The socket was closed at the end of the test.
    }
  }

  private void serve(Socket socket, int connection) {
    List<String> earlierIds = new ArrayList<>();
    String lastId = "";
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      while (true) {
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
        String response =
            script.isEarly() ? script.respond(requestId, connection, earlierIds) : null;
        write(
            socket,
            response != null ? response : script.beforeBody(requestId, connection, earlierIds));
        for (int i = 0; i < length; i++) {
          int next = in.read();
          if (next < 0) {
            return;
          }
          request.append((char) next);
        }
        requests.add(request.toString());
        lastId = requestId;
        received.add(requestId);
        if (response != null) {
          earlierIds.add(requestId);
          continue;
        }
        response = script.respond(requestId, connection, earlierIds);
        earlierIds.add(requestId);
        if (response == null) {
          return;
        }
        if (response.endsWith(CLOSE_MARKER)) {
          String content = response.substring(0, response.length() - CLOSE_MARKER.length());
          write(socket, content);
          return;
        }
        int repeatAt = response.indexOf(REPEAT_MARKER);
        String prefix = repeatAt < 0 ? response : response.substring(0, repeatAt);
        write(socket, prefix);
        if (repeatAt >= 0) {
          writeRepeatedly(socket.getOutputStream(), response.substring(repeatAt + 1));
          return;
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } finally {
      disconnected.add(lastId);
    }
  }

  private static void write(Socket socket, String response) throws IOException {
    for (String piece : Splitter.on(PIECE_MARKER).omitEmptyStrings().split(response)) {
      socket.getOutputStream().write(piece.getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  private void writeRepeatedly(OutputStream out, String piece) {
    byte[] block = piece.repeat(BLOCK_BYTES / piece.length()).getBytes(StandardCharsets.US_ASCII);
    long written = 0;
    try {
      while (true) {
        out.write(block);
        written += block.length;
      }
    } catch (IOException e) {
      unboundedBytes.complete(written);
    }
  }
}
