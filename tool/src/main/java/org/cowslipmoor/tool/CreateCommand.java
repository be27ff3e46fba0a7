package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.PrintStream;
import org.cowslipmoor.schema.configuration.Configuration;
import org.cowslipmoor.schema.operator.ChangeAnswer;
import org.cowslipmoor.schema.operator.CreateSetupRequest;

/** Creates a setup. */
@Command(
    name = "create",
    description = "Creates a setup from a configuration file with its first members and services")
public final class CreateCommand extends ToolCommand {
  @Option(name = "--file", description = "Configuration as JSON, see docs/CONFIGURATION.md")
  @Required
  private String file = "";

  @Override
  int run(PrintStream out) throws IOException {
    boolean asJson = isJsonOutput();
    Configuration.Builder configuration = Configuration.newBuilder();
    readJson(file, configuration);
    ChangeAnswer response =
        stub().createSetup(CreateSetupRequest.newBuilder().setConfiguration(configuration).build());
    printChangeResult(out, response, asJson);
    return ExitCode.of(response.getCode());
  }
}
