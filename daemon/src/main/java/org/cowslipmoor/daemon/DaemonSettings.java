package org.cowslipmoor.daemon;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Function;

/**
 * The daemon's validated settings, with the source of each.
 *
 * @param id member id of the host
 * @param dataCentre data centre of the host
 * @param setup name of the setup
 * @param ip IP number that the host listens on
 * @param callerPort port for callers
 * @param operatorPort port for operators
 * @param memberPort port for other members
 * @param platform address of the platform's key-value service
 * @param peers addresses of the member ports of other hosts, used while the store is unavailable
 * @param approveJoins whether this host approves joining hosts automatically
 * @param balancerLag time for which the balancer may still send requests to a host that is no
 *     longer ready
 * @param stopLimit maximum duration of a graceful stop, including the balancer's lag
 * @param waitingLimit maximum number of requests that wait for owners at the same time
 * @param logLevel minimum level that is logged
 * @param values every setting's value and source, for the state dump
 */
public record DaemonSettings(
    String id,
    String dataCentre,
    String setup,
    String ip,
    int callerPort,
    int operatorPort,
    int memberPort,
    HostAndPort platform,
    ImmutableList<HostAndPort> peers,
    boolean approveJoins,
    Duration balancerLag,
    Duration stopLimit,
    int waitingLimit,
    String logLevel,
    ImmutableMap<String, String> values) {

  /**
   * Resolves the settings: a flag overrides an environment variable, which overrides the default.
   *
   * @param flags values of the given flags
   * @param environment the process's environment
   * @throws IllegalArgumentException if a setting is missing or malformed; the message contains the
   *     setting, its value and the accepted values
   */
  public static DaemonSettings resolve(
      Map<DaemonSetting, String> flags, Map<String, String> environment) {
    Map<DaemonSetting, String> values = new EnumMap<>(DaemonSetting.class);
    ImmutableMap.Builder<String, String> described = ImmutableMap.builder();
    for (DaemonSetting s : DaemonSetting.values()) {
      String flag = flags.get(s);
      String variable = environment.get(s.environmentVariable());
      String defaultValue = s.defaultValue();
      String value;
      String source;
      if (flag != null) {
        value = flag;
        source = "flag " + s.flag();
      } else if (variable != null) {
        value = variable;
        source = "environment variable " + s.environmentVariable();
      } else if (defaultValue != null) {
        value = defaultValue;
        source = "default";
      } else {
        throw new IllegalArgumentException(
            "setting "
                + s.flag()
                + " (or "
                + s.environmentVariable()
                + ") is missing; accepted: "
                + s.acceptedValues());
      }
      values.put(s, value);
      described.put(s.flag().substring(2), value + " (" + source + ")");
    }
    return new DaemonSettings(
        parse(values, DaemonSetting.ID, DaemonSettings::parseName),
        parse(values, DaemonSetting.DATA_CENTRE, DaemonSettings::parseName),
        parse(values, DaemonSetting.SETUP, DaemonSettings::parseName),
        parse(values, DaemonSetting.IP, DaemonSettings::parseIp),
        parse(values, DaemonSetting.CALLER_PORT, v -> parseNumber(v, 1, 65_535)),
        parse(values, DaemonSetting.OPERATOR_PORT, v -> parseNumber(v, 1, 65_535)),
        parse(values, DaemonSetting.MEMBER_PORT, v -> parseNumber(v, 1, 65_535)),
        parse(values, DaemonSetting.PLATFORM, DaemonSettings::parseAddress),
        parse(values, DaemonSetting.PEERS, DaemonSettings::parseAddresses),
        parse(values, DaemonSetting.APPROVE_JOINS, DaemonSettings::parseApproveJoins),
        parse(
            values,
            DaemonSetting.BALANCER_LAG_MS,
            v -> Duration.ofMillis(parseNumber(v, 0, 60_000))),
        parse(
            values,
            DaemonSetting.STOP_LIMIT_MS,
            v -> Duration.ofMillis(parseNumber(v, 1_000, 600_000))),
        parse(values, DaemonSetting.WAITING_LIMIT, v -> parseNumber(v, 1, 1_000_000)),
        parse(values, DaemonSetting.LOG_LEVEL, DaemonSettings::parseLogLevel),
        described.buildOrThrow());
  }

  private static <T> T parse(
      Map<DaemonSetting, String> values, DaemonSetting s, Function<String, T> parser) {
    String value = values.getOrDefault(s, "");
    try {
      return parser.apply(value);
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException(
          "setting " + s.flag() + " is '" + value + "'; accepted: " + s.acceptedValues(), e);
    }
  }

  private static String parseName(String value) {
    require(value.matches("[a-z0-9][a-z0-9-]{0,62}"));
    return value;
  }

  private static String parseIp(String value) {
    require(InetAddresses.isInetAddress(value));
    return value;
  }

  private static int parseNumber(String value, int min, int max) {
    int number = Integer.parseInt(value);
    require(number >= min && number <= max);
    return number;
  }

  private static HostAndPort parseAddress(String value) {
    HostAndPort address = HostAndPort.fromString(value);
    require(address.hasPort() && InetAddresses.isInetAddress(address.getHost()));
    return address;
  }

  private static ImmutableList<HostAndPort> parseAddresses(String value) {
    return Splitter.on(',')
        .trimResults()
        .omitEmptyStrings()
        .splitToStream(value)
        .map(DaemonSettings::parseAddress)
        .collect(ImmutableList.toImmutableList());
  }

  private static boolean parseApproveJoins(String value) {
    require(value.equals("auto") || value.equals("operator"));
    return value.equals("auto");
  }

  private static String parseLogLevel(String value) {
    require(value.matches("trace|debug|info|warn|error"));
    return value;
  }

  private static void require(boolean accepted) {
    if (!accepted) {
      throw new IllegalArgumentException("not accepted");
    }
  }
}
