package org.cowslipmoor.testing.program;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.base.Splitter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Sends a bounded load to hosts, checks each response, and writes a report to a file. */
@Command(
    name = "load",
    description =
        "Sends requests for keyed and unkeyed services to the given hosts, checks each response, "
            + "and writes a report to a file")
public final class LoadCommand implements ProgramCommand {
  @Option(name = "--hosts", description = "Caller ports of the hosts, as ip:port,ip:port")
  @Required
  private String hosts = "";

  @Option(
      name = "--seconds",
      description = "Time to send requests for, in seconds (default 20, at most 300)")
  private int seconds = 20;

  @Option(name = "--rate", description = "Requests per second (default 150, at most 5000)")
  private int rate = 150;

  @Option(
      name = "--services",
      description =
          "Comma-separated services, as name:keyed or name:free, followed by :once if their "
              + "requests must not be repeated")
  private String services = "stock:keyed,sheets:free,registry:keyed:once";

  @Option(name = "--seed", description = "Seed of the random choices of keys and requests")
  private long seed = 1;

  @Option(name = "--report", description = "File to write the report to")
  @Required
  private String report = "";

  @Override
  public int run() throws Exception {
    List<String> addresses = Splitter.on(',').splitToList(hosts);
    List<LoadGenerator.ServiceSpec> serviceSpecs =
        Splitter.on(',').splitToStream(services).map(LoadGenerator.ServiceSpec::parse).toList();
    LoadGenerator generator = new LoadGenerator(addresses, serviceSpecs, seed);
    generator.send(Math.min(300, seconds), Math.min(5_000, rate));
    LoadReport result = generator.report();
    Files.writeString(Path.of(report), result.toJson().toPrettyString() + "\n");
    return 0;
  }
}
