package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;
import java.io.PrintStream;
import org.cowslipmoor.schema.operator.GetRolloutAnswer;
import org.cowslipmoor.schema.operator.GetRolloutRequest;
import org.cowslipmoor.schema.operator.HostRollout;

/** Shows which revision is in effect on each host. */
@Command(
    name = "rollout",
    description =
        "Shows which revision is in effect on each host; exit code 0 if all have the newest")
public final class RolloutCommand extends ToolCommand {
  @Override
  int run(PrintStream out) throws IOException {
    boolean asJson = isJsonOutput();
    GetRolloutAnswer response = stub().getRollout(GetRolloutRequest.getDefaultInstance());
    boolean complete = response.getNewestRevision() > 0;
    for (HostRollout h : response.getHostsList()) {
      complete &= h.getRevision() >= response.getNewestRevision();
    }
    if (asJson) {
      printJson(out, response);
    } else {
      out.println("newest revision " + response.getNewestRevision());
      for (HostRollout h : response.getHostsList()) {
        String state = h.getRevision() == 0 ? "not reached" : "revision " + h.getRevision();
        out.println("  " + h.getId() + " in " + h.getDataCentre() + ": " + state);
      }
    }
    return complete ? ExitCode.OK : ExitCode.REJECTED;
  }
}
