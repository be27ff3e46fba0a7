package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.cowslipmoor.schema.operator.ChangeRequest;
import org.cowslipmoor.schema.operator.RemoveService;

/** Removes a service. */
@Command(
    name = "remove-service",
    description = "Removes a service and releases the ownership of its keys")
public final class RemoveServiceCommand extends ChangeCommand {
  @Option(name = "--service", description = "Name of the service")
  @Required
  private String service = "";

  @Override
  void setChange(ChangeRequest.Builder request) {
    request.setRemoveService(RemoveService.newBuilder().setName(service));
  }
}
