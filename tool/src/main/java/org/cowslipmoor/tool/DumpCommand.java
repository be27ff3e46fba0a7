package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import java.io.PrintStream;
import org.cowslipmoor.schema.operator.DumpStateRequest;

/** Shows a host's settings and state. */
@Command(name = "dump", description = "Shows the called host's settings and state as JSON")
public final class DumpCommand extends ToolCommand {
  @Override
  int run(PrintStream out) {
    out.println(stub().dumpState(DumpStateRequest.getDefaultInstance()).getJson());
    return ExitCode.OK;
  }
}
