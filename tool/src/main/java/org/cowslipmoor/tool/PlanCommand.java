package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.PrintStream;
import org.cowslipmoor.schema.configuration.Configuration;
import org.cowslipmoor.schema.operator.ChangeRequest;
import org.cowslipmoor.schema.operator.PlanAnswer;

/** Shows what applying a configuration file changes. */
@Command(
    name = "plan",
    description =
        "Shows what applying a configuration file changes; exit code 2 if there are differences")
public final class PlanCommand extends ToolCommand {
  @Option(name = "--file", description = "Configuration as JSON, see docs/CONFIGURATION.md")
  @Required
  private String file = "";

  @Override
  int run(PrintStream out) throws IOException {
    boolean asJson = isJsonOutput();
    Configuration.Builder configuration = Configuration.newBuilder();
    readJson(file, configuration);
    PlanAnswer response =
        stub().planChange(ChangeRequest.newBuilder().setReplace(configuration).build());
    if (asJson) {
      printJson(out, response);
    } else if (response.getCode() != 0) {
      out.println("rejected with code " + response.getCode() + ": " + response.getMessage());
    } else {
      out.println("against revision " + response.getBaseRevision() + ":");
      response.getDifferencesList().forEach(d -> out.println("  " + d));
      if (response.getDifferencesCount() == 0) {
        out.println("  no differences");
      }
    }
    if (response.getCode() != 0) {
      return ExitCode.of(response.getCode());
    }
    return response.getDifferencesCount() == 0 ? ExitCode.OK : ExitCode.DIFFERENCES;
  }
}
