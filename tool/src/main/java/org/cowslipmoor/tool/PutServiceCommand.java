package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import org.cowslipmoor.schema.configuration.Service;
import org.cowslipmoor.schema.operator.ChangeRequest;
import org.cowslipmoor.schema.operator.PutService;

/** Adds or replaces a service. */
@Command(name = "put-service", description = "Adds a service, or replaces its settings and targets")
public final class PutServiceCommand extends ChangeCommand {
  @Option(name = "--file", description = "Service as JSON, see docs/CONFIGURATION.md")
  @Required
  private String file = "";

  @Override
  void setChange(ChangeRequest.Builder request) throws IOException {
    Service.Builder service = Service.newBuilder();
    readJson(file, service);
    request.setPutService(PutService.newBuilder().setService(service));
  }
}
