package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.cowslipmoor.schema.operator.ChangeRequest;
import org.cowslipmoor.schema.operator.DrainTarget;

/** Drains a target. */
@Command(
    name = "drain-target",
    description =
        "Stops sending new requests to a target and reassigns its shards; --undo reverts this")
public final class DrainTargetCommand extends ChangeCommand {
  @Option(name = "--service", description = "Name of the service")
  @Required
  private String service = "";

  @Option(name = "--id", description = "Id of the target")
  @Required
  private String id = "";

  @Option(
      name = "--undo",
      description = "Ends draining, so that the target receives requests again")
  private boolean undo;

  @Override
  void setChange(ChangeRequest.Builder request) {
    request.setDrainTarget(DrainTarget.newBuilder().setService(service).setId(id).setUndo(undo));
  }
}
