package org.cowslipmoor.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.EnumMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The daemon's command line. Each flag overrides its environment variable. */
@Command(
    name = "cowslipmoord",
    description =
        "Runs an entry host: serves callers, operators and the other members until SIGTERM. "
            + "Each flag has an environment variable: --caller-port is COWSLIPMOOR_CALLER_PORT.")
public final class DaemonCommand {
  @Option(name = "--id", description = "Member id of the host (required)")
  @Nullable String id;

  @Option(name = "--data-centre", description = "Data centre of the host (required)")
  @Nullable String dataCentre;

  @Option(name = "--setup", description = "Name of the setup (default main)")
  @Nullable String setup;

  @Option(name = "--ip", description = "IP number to listen on (default 127.0.0.1)")
  @Nullable String ip;

  @Option(name = "--caller-port", description = "Port for callers (default 7100)")
  @Nullable String callerPort;

  @Option(name = "--operator-port", description = "Port for operators (default 7200)")
  @Nullable String operatorPort;

  @Option(name = "--member-port", description = "Port for other members (default 7300)")
  @Nullable String memberPort;

  @Option(
      name = "--platform",
      description = "Address of the platform's key-value service (default 127.0.0.1:7400)")
  @Nullable String platform;

  @Option(
      name = "--peers",
      description = "Member ports of other hosts, used while the store is unavailable")
  @Nullable String peers;

  @Option(
      name = "--approve-joins",
      description = "Who approves joining hosts: auto or operator (default auto)")
  @Nullable String approveJoins;

  @Option(
      name = "--balancer-lag-ms",
      description =
          "Time for which the balancer may still send requests after readiness has ended, in "
              + "milliseconds (default 2000)")
  @Nullable String balancerLagMs;

  @Option(
      name = "--stop-limit-ms",
      description = "Maximum duration of a graceful stop, in milliseconds (default 30000)")
  @Nullable String stopLimitMs;

  @Option(
      name = "--waiting-limit",
      description =
          "Maximum number of requests that wait for owners at the same time (default 2000)")
  @Nullable String waitingLimit;

  @Option(
      name = "--log-level",
      description =
          "Minimum level that is logged: trace, debug, info, warn or error (default info)")
  @Nullable String logLevel;

  @Option(
      name = {"-h", "--help"},
      description = "Shows this help")
  boolean help;

  /** Returns the values of the given flags. */
  Map<DaemonSetting, String> flags() {
    Map<DaemonSetting, String> flags = new EnumMap<>(DaemonSetting.class);
    put(flags, DaemonSetting.ID, id);
    put(flags, DaemonSetting.DATA_CENTRE, dataCentre);
    put(flags, DaemonSetting.SETUP, setup);
    put(flags, DaemonSetting.IP, ip);
    put(flags, DaemonSetting.CALLER_PORT, callerPort);
    put(flags, DaemonSetting.OPERATOR_PORT, operatorPort);
    put(flags, DaemonSetting.MEMBER_PORT, memberPort);
    put(flags, DaemonSetting.PLATFORM, platform);
    put(flags, DaemonSetting.PEERS, peers);
    put(flags, DaemonSetting.APPROVE_JOINS, approveJoins);
    put(flags, DaemonSetting.BALANCER_LAG_MS, balancerLagMs);
    put(flags, DaemonSetting.STOP_LIMIT_MS, stopLimitMs);
    put(flags, DaemonSetting.WAITING_LIMIT, waitingLimit);
    put(flags, DaemonSetting.LOG_LEVEL, logLevel);
    return flags;
  }

  private static void put(
      Map<DaemonSetting, String> flags, DaemonSetting setting, @Nullable String value) {
    if (value != null) {
      flags.put(setting, value);
    }
  }
}
