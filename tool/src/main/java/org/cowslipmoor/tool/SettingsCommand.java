package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;

/** Compares the settings that are in force on several hosts. */
@Command(
    name = "settings",
    description =
        "Compares the settings in force on hosts of the users' platform; exit code 0 if they agree "
            + "and none waits for a restart, 2 otherwise")
public final class SettingsCommand extends ToolCommand {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final String VALUE_SEPARATOR = " = ";
  private static final String COMMENT_SEPARATOR = "  # ";
  private static final String RESTART_MARKER = "restart for ";

  /** Settings that differ between hosts by their nature. */
  private static final ImmutableSet<String> HOST_SPECIFIC =
      ImmutableSet.of(
          "host",
          "data_centre",
          "caller_address",
          "ready_address",
          "peer_address",
          "metrics_address",
          "link_bytes_per_second",
          "cores");

  @Option(name = "--metrics", description = "Metrics ports of the hosts, as ip:port,ip:port")
  private @Nullable String metrics;

  @Override
  int run(PrintStream out) throws IOException {
    if (isJsonOutput()) {
      throw new UsageException("--output json is not available for settings");
    }
    if (metrics == null) {
      throw new UsageException("--metrics is required");
    }
    Map<String, Map<String, String>> hostsByValue = new TreeMap<>();
    boolean isRestartPending = false;
    for (String address : Splitter.on(',').trimResults().split(metrics)) {
      String page = fetch(address);
      isRestartPending |= page.contains(RESTART_MARKER);
      out.println(address + ": " + page.lines().findFirst().orElse("").replace("# ", ""));
      addSettings(address, page, hostsByValue);
    }
    boolean differ = printDifferences(out, hostsByValue);
    return differ || isRestartPending ? ExitCode.DIFFERENCES : ExitCode.OK;
  }

  private static void addSettings(
      String address, String page, Map<String, Map<String, String>> valuesBySetting) {
    for (String line : page.lines().filter(l -> l.contains(VALUE_SEPARATOR)).toList()) {
      List<String> parts = Splitter.on(VALUE_SEPARATOR).limit(2).splitToList(line);
      valuesBySetting
          .computeIfAbsent(parts.get(0), unused -> new LinkedHashMap<>())
          .put(address, value(parts.get(1)));
    }
  }

  /** Returns the value in force, with the one that a restart would bring. */
  private static String value(String text) {
    int restart = text.indexOf(RESTART_MARKER);
    String inForce = Splitter.on(COMMENT_SEPARATOR).split(text).iterator().next();
    return restart < 0 ? inForce : inForce + " (" + text.substring(restart) + ")";
  }

  private static boolean printDifferences(
      PrintStream out, Map<String, Map<String, String>> valuesBySetting) {
    boolean differ = false;
    for (Map.Entry<String, Map<String, String>> e : valuesBySetting.entrySet()) {
      Set<String> values = new HashSet<>(e.getValue().values());
      boolean isPending = values.stream().anyMatch(v -> v.contains(RESTART_MARKER));
      if (values.size() > 1 && !HOST_SPECIFIC.contains(e.getKey())) {
        differ = true;
        e.getValue()
            .forEach((host, value) -> out.println(e.getKey() + " at " + host + ": " + value));
      } else if (isPending) {
        e.getValue()
            .forEach((host, value) -> out.println(e.getKey() + " at " + host + ": " + value));
      }
    }
    return differ;
  }

  private static String fetch(String address) throws IOException {
    try {
      AggregatedHttpResponse response =
          WebClient.builder("http://" + address)
              .responseTimeout(TIMEOUT)
              .build()
              .get("/settings")
              .aggregate()
              .join();
      if (!response.status().isSuccess()) {
        throw new IOException(address + " answered with " + response.status().code());
      }
      return response.contentUtf8();
    } catch (CompletionException e) {
      throw new IOException(address + ": " + e.getCause(), e);
    }
  }
}
