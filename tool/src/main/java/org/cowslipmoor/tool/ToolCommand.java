package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Option;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import com.linecorp.armeria.client.grpc.GrpcClients;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.UUID;
import org.cowslipmoor.schema.operator.ChangeAnswer;
import org.cowslipmoor.schema.operator.ChangeRequest;
import org.cowslipmoor.schema.operator.OperatorGrpc;
import org.jspecify.annotations.Nullable;

/** Base class of all commands: connects to the host and prints responses. */
abstract class ToolCommand {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

  @Option(
      name = "--host",
      description =
          "Operator port of any host, as ip:port (default $COWSLIPMOOR_HOST or 127.0.0.1:7200)")
  private @Nullable String host;

  @Option(name = "--output", description = "text or json (default text)")
  private String output = "text";

  /** Runs the command and returns the exit code. */
  abstract int run(PrintStream out) throws IOException;

  /** Returns a stub for the host given by the options or the environment. */
  final OperatorGrpc.OperatorBlockingStub stub() {
    String address = host;
    if (address == null) {
      address = System.getenv().getOrDefault("COWSLIPMOOR_HOST", "127.0.0.1:7200");
    }
    return GrpcClients.builder("gproto+h2c://" + address + "/")
        .responseTimeout(CALL_TIMEOUT)
        .maxResponseLength(0)
        .build(OperatorGrpc.OperatorBlockingStub.class);
  }

  /**
   * Returns whether the response is printed as JSON.
   *
   * @throws UsageException if the output format is unknown
   */
  final boolean isJsonOutput() {
    return switch (output) {
      case "json" -> true;
      case "text" -> false;
      default -> throw new UsageException("--output is '" + output + "'; accepted: text, json");
    };
  }

  /** Prints a message as JSON. */
  final void printJson(PrintStream out, Message message) throws IOException {
    out.println(JsonFormat.printer().includingDefaultValueFields().print(message));
  }

  /** Applies a change, prints its result and returns the exit code. */
  final int applyChange(PrintStream out, ChangeRequest.Builder request) throws IOException {
    boolean asJson = isJsonOutput();
    if (request.getOperationId().isEmpty()) {
      request.setOperationId(UUID.randomUUID().toString());
    }
    ChangeAnswer response = stub().applyChange(request.build());
    printChangeResult(out, response, asJson);
    return ExitCode.of(response.getCode());
  }

  /** Prints the result of a change. */
  final void printChangeResult(PrintStream out, ChangeAnswer response, boolean asJson)
      throws IOException {
    if (asJson) {
      printJson(out, response);
    } else if (response.getCode() == 0) {
      out.println("revision " + response.getRevision() + ": " + response.getMessage());
    } else {
      out.println(
          "rejected with code "
              + response.getCode()
              + ": "
              + response.getMessage()
              + (response.getRevision() > 0 ? " (revision " + response.getRevision() + ")" : ""));
    }
  }

  /**
   * Merges the message in a JSON file into the builder.
   *
   * @throws BadFileException if the file can't be read or is malformed
   */
  static void readJson(String file, Message.Builder builder) throws IOException {
    try {
      JsonFormat.parser().merge(Files.readString(Path.of(file)), builder);
    } catch (IOException e) {
      throw new BadFileException(file + ": " + e.getMessage(), e);
    }
  }

  /** Thrown when the command line is invalid. */
  static final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
      super(message);
    }
  }

  /** Thrown when a file can't be read or is malformed. */
  static final class BadFileException extends IOException {
    private static final long serialVersionUID = 1L;

    BadFileException(String message, Throwable cause) {
      super(message, cause);
    }
  }
}
