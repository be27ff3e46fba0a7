package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.PrintStream;
import org.cowslipmoor.schema.operator.ChangeRequest;

/** Base class of the commands that apply a single configuration change. */
abstract class ChangeCommand extends ToolCommand {
  @Option(
      name = "--expected-revision",
      description = "Apply the change only to this revision (default: the newest)")
  private long expectedRevision;

  @Option(
      name = "--operation-id",
      description = "Id that makes a repeated call idempotent (default: a random id)")
  private String operationId = "";

  /** Sets the change in the request. */
  abstract void setChange(ChangeRequest.Builder request) throws IOException;

  @Override
  final int run(PrintStream out) throws IOException {
    ChangeRequest.Builder request =
        ChangeRequest.newBuilder()
            .setExpectedRevision(expectedRevision)
            .setOperationId(operationId);
    setChange(request);
    return applyChange(out, request);
  }
}
