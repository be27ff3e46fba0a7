package org.cowslipmoor.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.InetAddresses;
import java.util.regex.Pattern;

/** Checks names, addresses and ports of a configuration. */
final class FieldChecks {
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
  private static final int MAX_PORT = 65_535;

  private FieldChecks() {}

  /**
   * Returns the name if it is 1 to 63 lower-case letters, digits and hyphens, without a hyphen at
   * the start.
   *
   * @param kind what the name is of, for the message
   * @throws IllegalArgumentException if it is malformed
   */
  static String checkName(String kind, String name) {
    checkArgument(
        NAME.matcher(name).matches(),
        "%s must be 1 to 63 of a-z, 0-9 and '-', not starting with '-', but is '%s'",
        kind,
        name);
    return name;
  }

  /**
   * Returns the value if it is an IP address.
   *
   * @throws IllegalArgumentException if it is not
   */
  static String checkIp(String kind, String ip) {
    checkArgument(
        InetAddresses.isInetAddress(ip), "%s must be an IP address, but is '%s'", kind, ip);
    return ip;
  }

  /**
   * Returns the port if it is 1 to 65535.
   *
   * @throws IllegalArgumentException if it is not
   */
  static int checkPort(String kind, int port) {
    checkArgument(port >= 1 && port <= MAX_PORT, "%s must be 1 to 65535, but is %s", kind, port);
    return port;
  }
}
