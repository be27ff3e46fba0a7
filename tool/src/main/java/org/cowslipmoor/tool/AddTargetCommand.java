package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import org.cowslipmoor.schema.configuration.Target;
import org.cowslipmoor.schema.operator.AddTarget;
import org.cowslipmoor.schema.operator.ChangeRequest;

/** Adds a target. */
@Command(name = "add-target", description = "Adds a target to a service")
public final class AddTargetCommand extends ChangeCommand {
  @Option(name = "--service", description = "Name of the service")
  @Required
  private String service = "";

  @Option(name = "--file", description = "Target as JSON, see docs/CONFIGURATION.md")
  @Required
  private String file = "";

  @Override
  void setChange(ChangeRequest.Builder request) throws IOException {
    Target.Builder target = Target.newBuilder();
    readJson(file, target);
    request.setAddTarget(AddTarget.newBuilder().setService(service).setTarget(target));
  }
}
