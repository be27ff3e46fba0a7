package org.cowslipmoor.testing.program;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import org.HdrHistogram.Histogram;

/** Compares the latency of small requests through a host and directly to the target. */
@Command(
    name = "overhead",
    description =
        "Sends small requests one at a time, alternately through a host and directly to a target "
            + "of an unkeyed service, and prints the median and 99th percentile latency of both")
public final class OverheadCommand implements ProgramCommand {
  private static final long MAX_MICROS = 60_000_000L;

  @Option(name = "--host", description = "Caller port of the host, as ip:port")
  @Required
  private String host = "";

  @Option(name = "--target", description = "The service's only target, as ip:port")
  @Required
  private String target = "";

  @Option(name = "--service", description = "Name of the service (default echo)")
  private String service = "echo";

  @Option(name = "--requests", description = "Requests by each route (default 1500, at most 50000)")
  private int requests = 1_500;

  @Override
  public int run() {
    WebClient viaHost = WebClient.of("h2c://" + host);
    WebClient direct = WebClient.of("h2c://" + target);
    String path = "/v1/services/" + service + "/item";
    int requestCount = Math.min(50_000, requests);
    Histogram viaHostMicros = new Histogram(MAX_MICROS, 3);
    Histogram directMicros = new Histogram(MAX_MICROS, 3);
    // As many warm-up requests come first, so that the JIT has compiled both routes.
    for (int i = -requestCount; i < requestCount; i++) {
      long a = measureMicros(viaHost, path);
      long b = measureMicros(direct, "/item");
      if (a < 0 || b < 0) {
        System.err.println(
            "overhead: a request failed "
                + (a < 0 ? "through the host" : "directly to the target"));
        return 1;
      }
      if (i >= 0) {
        viaHostMicros.recordValue(a);
        directMicros.recordValue(b);
      }
    }
    print("directly to the target", directMicros);
    print("through one host", viaHostMicros);
    return 0;
  }

  private static long measureMicros(WebClient client, String path) {
    long start = System.nanoTime();
    AggregatedHttpResponse response = client.get(path).aggregate().join();
    long micros = (System.nanoTime() - start) / 1_000;
    return response.status().isSuccess() ? micros : -1;
  }

  private static void print(String route, Histogram micros) {
    System.out.printf(
        "%-24s median %6d us, 99th percentile %6d us%n",
        route, micros.getValueAtPercentile(50), micros.getValueAtPercentile(99));
  }
}
