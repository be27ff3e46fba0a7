package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import org.cowslipmoor.schema.configuration.Configuration;
import org.cowslipmoor.schema.operator.ChangeRequest;

/** Applies a configuration file. */
@Command(
    name = "apply",
    description = "Applies a configuration file to the revision given by --expected-revision")
public final class ApplyCommand extends ChangeCommand {
  @Option(name = "--file", description = "Configuration as JSON, see docs/CONFIGURATION.md")
  @Required
  private String file = "";

  @Override
  void setChange(ChangeRequest.Builder request) throws IOException {
    Configuration.Builder configuration = Configuration.newBuilder();
    readJson(file, configuration);
    request.setReplace(configuration);
  }
}
