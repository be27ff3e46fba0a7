package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.PrintStream;
import org.cowslipmoor.schema.operator.ApproveMemberRequest;
import org.cowslipmoor.schema.operator.ChangeAnswer;

/** Approves a joining host on behalf of the called host. */
@Command(
    name = "approve-member",
    description = "Records the called host's approval of a host that wants to join")
public final class ApproveMemberCommand extends ToolCommand {
  @Option(name = "--id", description = "Id of the joining host")
  @Required
  private String id = "";

  @Override
  int run(PrintStream out) throws IOException {
    boolean asJson = isJsonOutput();
    ChangeAnswer response =
        stub().approveMember(ApproveMemberRequest.newBuilder().setId(id).build());
    printChangeResult(out, response, asJson);
    return ExitCode.of(response.getCode());
  }
}
