package org.cowslipmoor.testing.program;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.base.Splitter;
import com.linecorp.armeria.client.grpc.GrpcClients;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cowslipmoor.schema.target.ReadReportRequest;
import org.cowslipmoor.schema.target.TargetControlGrpc;

/** Checks the requests that targets ran against a load's report, and prints a summary. */
@Command(
    name = "judge",
    description =
        "Checks the requests that the targets ran against a load's report; exit code 1 when an "
            + "invariant was violated")
public final class JudgeCommand implements ProgramCommand {
  @Option(name = "--report", description = "The load's report")
  @Required
  private String report = "";

  @Option(name = "--targets", description = "Running targets, as ip:port,ip:port")
  @Required
  private String targets = "";

  @Option(
      name = "--longest-unavailable-ms",
      description = "Maximum time for which a key may go unserved, in milliseconds (default 4000)")
  private long maxUnavailableMs = 4_000;

  @Option(
      name = "--all-answered",
      description = "Every request must have got its complete response")
  private boolean allAnswered;

  @Override
  public int run() throws Exception {
    JsonNode load = new ObjectMapper().readTree(Path.of(report).toFile());
    VerificationResult result = VerificationResult.of(load, readRuns());
    result.print(System.out);
    boolean passed = result.passed(maxUnavailableMs, allAnswered);
    System.out.println(passed ? "all checks passed" : "CHECKS FAILED");
    return passed ? 0 : 1;
  }

  private List<VerificationResult.Run> readRuns() {
    List<VerificationResult.Run> runs = new ArrayList<>();
    for (String address : Splitter.on(',').splitToList(targets)) {
      GrpcClients.builder("gproto+h2c://" + address + "/")
          .maxResponseLength(0)
          .build(TargetControlGrpc.TargetControlBlockingStub.class)
          .readReport(ReadReportRequest.getDefaultInstance())
          .getRanList()
          .forEach(ran -> runs.add(new VerificationResult.Run(address, ran)));
    }
    return runs;
  }
}
