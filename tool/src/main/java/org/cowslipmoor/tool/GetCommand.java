package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;
import java.io.PrintStream;
import org.cowslipmoor.schema.configuration.Configuration;
import org.cowslipmoor.schema.configuration.Service;
import org.cowslipmoor.schema.operator.GetConfigurationAnswer;
import org.cowslipmoor.schema.operator.GetConfigurationRequest;

/** Shows the accepted configuration. */
@Command(
    name = "get",
    description =
        "Shows the accepted configuration; with --output json in the form that plan and apply take")
public final class GetCommand extends ToolCommand {
  @Override
  int run(PrintStream out) throws IOException {
    boolean asJson = isJsonOutput();
    GetConfigurationAnswer response =
        stub().getConfiguration(GetConfigurationRequest.getDefaultInstance());
    if (!response.hasConfiguration()) {
      out.println(asJson ? "{}" : "there is no configuration");
      return ExitCode.REJECTED;
    }
    Configuration configuration = response.getConfiguration();
    if (asJson) {
      printJson(out, configuration);
      return ExitCode.OK;
    }
    out.println(
        "setup "
            + configuration.getSetup()
            + " revision "
            + configuration.getRevision()
            + (response.getFromStore()
                ? ""
                : " (in effect on the host; the store did not respond)"));
    configuration
        .getMembersList()
        .forEach(m -> out.println("  member " + m.getId() + " in " + m.getDataCentre()));
    configuration
        .getJoiningList()
        .forEach(m -> out.println("  joining " + m.getId() + " in " + m.getDataCentre()));
    for (Service s : configuration.getServicesList()) {
      String kind = s.getKeyed() ? s.getShards() + " shards" : "no keys";
      out.println("  service " + s.getName() + ", " + kind);
      s.getTargetsList()
          .forEach(
              t ->
                  out.println(
                      "    target "
                          + t.getId()
                          + " in "
                          + t.getDataCentre()
                          + (t.getDraining() ? " draining" : "")));
    }
    return ExitCode.OK;
  }
}
