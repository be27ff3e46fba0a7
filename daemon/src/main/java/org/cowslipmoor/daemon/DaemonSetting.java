package org.cowslipmoor.daemon;

import org.jspecify.annotations.Nullable;

/** The daemon's settings, with their flags, environment variables and defaults. */
public enum DaemonSetting {
  ID("--id", null, "1 to 63 of a-z, 0-9 and '-'"),
  DATA_CENTRE("--data-centre", null, "1 to 63 of a-z, 0-9 and '-'"),
  SETUP("--setup", "main", "1 to 63 of a-z, 0-9 and '-'"),
  IP("--ip", "127.0.0.1", "an IP number"),
  CALLER_PORT("--caller-port", "7100", "1 to 65535"),
  OPERATOR_PORT("--operator-port", "7200", "1 to 65535"),
  MEMBER_PORT("--member-port", "7300", "1 to 65535"),
  PLATFORM("--platform", "127.0.0.1:7400", "an IP number and port, as ip:port"),
  PEERS("--peers", "", "IP numbers and member ports, as ip:port,ip:port"),
  APPROVE_JOINS("--approve-joins", "auto", "auto or operator"),
  BALANCER_LAG_MS("--balancer-lag-ms", "2000", "0 to 60000 milliseconds"),
  STOP_LIMIT_MS("--stop-limit-ms", "30000", "1000 to 600000 milliseconds"),
  WAITING_LIMIT("--waiting-limit", "2000", "1 to 1000000 requests"),
  LOG_LEVEL("--log-level", "info", "trace, debug, info, warn or error");

  private final String flag;
  private final @Nullable String defaultValue;
  private final String acceptedValues;

  DaemonSetting(String flag, @Nullable String defaultValue, String acceptedValues) {
    this.flag = flag;
    this.defaultValue = defaultValue;
    this.acceptedValues = acceptedValues;
  }

  /** Returns the flag, with its hyphens. */
  public String flag() {
    return flag;
  }

  /** Returns the name of the environment variable. */
  public String environmentVariable() {
    return "COWSLIPMOOR_" + name();
  }

  /** Returns the default; null if the setting is required. */
  public @Nullable String defaultValue() {
    return defaultValue;
  }

  /** Returns a description of the accepted values. */
  public String acceptedValues() {
    return acceptedValues;
  }
}
