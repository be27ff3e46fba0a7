package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.PrintStream;
import org.cowslipmoor.schema.operator.LocateKeyAnswer;
import org.cowslipmoor.schema.operator.LocateKeyRequest;

/** Shows which target owns a key. */
@Command(name = "locate", description = "Shows which target owns a key, and under which fence")
public final class LocateCommand extends ToolCommand {
  @Option(name = "--service", description = "Name of the service")
  @Required
  private String service = "";

  @Option(name = "--key", description = "The key")
  @Required
  private String key = "";

  @Override
  int run(PrintStream out) throws IOException {
    boolean asJson = isJsonOutput();
    LocateKeyAnswer response =
        stub().locateKey(LocateKeyRequest.newBuilder().setService(service).setKey(key).build());
    if (asJson) {
      printJson(out, response);
    } else if (response.getCode() != 0) {
      out.println("rejected with code " + response.getCode() + ": " + response.getMessage());
    } else {
      out.println(
          "shard "
              + response.getShard()
              + " with home "
              + response.getHomeDataCentre()
              + ", owner "
              + response.getOwner()
              + ", fence "
              + response.getFenceEpoch()
              + "."
              + response.getFenceSequence()
              + ", "
              + response.getPhase());
    }
    return ExitCode.of(response.getCode());
  }
}
