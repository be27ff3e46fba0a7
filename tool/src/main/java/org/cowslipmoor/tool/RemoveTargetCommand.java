package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.cowslipmoor.schema.operator.ChangeRequest;
import org.cowslipmoor.schema.operator.RemoveTarget;

/** Removes a target. */
@Command(name = "remove-target", description = "Removes a target from a service")
public final class RemoveTargetCommand extends ChangeCommand {
  @Option(name = "--service", description = "Name of the service")
  @Required
  private String service = "";

  @Option(name = "--id", description = "Id of the target")
  @Required
  private String id = "";

  @Override
  void setChange(ChangeRequest.Builder request) {
    request.setRemoveTarget(RemoveTarget.newBuilder().setService(service).setId(id));
  }
}
