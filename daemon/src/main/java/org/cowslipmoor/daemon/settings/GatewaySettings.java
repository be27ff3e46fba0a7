package org.cowslipmoor.daemon.settings;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import org.cowslipmoor.core.discovery.TargetLimits;

/**
 * The settings of a host. {@link HostSetting} states when a changed one takes effect.
 *
 * @param host the id of this host
 * @param dataCentre the data centre of this host
 * @param callerAddress the address that callers connect to, as {@code ip:port}
 * @param readyAddress the address of the load balancer's readiness check, as {@code ip:port}
 * @param peerAddress the address that other hosts connect to, as {@code ip:port}
 * @param readyPath the path of the readiness check
 * @param metricsAddress the address that serves metrics under {@code /metrics}, as {@code ip:port}
 * @param storeAddress the address of the shared store, as {@code ip:port}
 * @param leaseMillis the duration of the coordinator's lease in milliseconds, at least 1
 * @param maxHoldMillis the maximum hold time of a grant in milliseconds
 * @param configurationLimitMillis the time in milliseconds within which a change of the
 *     configuration must be in effect, at least 1
 * @param drainMillis the maximum time in milliseconds from a target's announcement that it is
 *     leaving until the last request to it, at least 1
 * @param graceMillis the maximum time in milliseconds from the request to stop until the exit of
 *     the process, at least 1
 * @param retryRatio the allowed retries to a service per request to it in a window, over all hosts
 * @param retrySlack the allowed retries to a service in a window beyond that ratio, over all hosts
 * @param retryWindowMillis the length of a window in milliseconds
 * @param linkBytesPerSecond the bandwidth of the host's network link in bytes per second
 * @param cores the CPU capacity of the host, in cores
 * @param targetLimits the limits on the use of targets
 */
public record GatewaySettings(
    String host,
    String dataCentre,
    String callerAddress,
    String readyAddress,
    String peerAddress,
    String readyPath,
    String metricsAddress,
    String storeAddress,
    long leaseMillis,
    long maxHoldMillis,
    long configurationLimitMillis,
    long drainMillis,
    long graceMillis,
    double retryRatio,
    double retrySlack,
    long retryWindowMillis,
    double linkBytesPerSecond,
    double cores,
    TargetLimits targetLimits) {

  /**
   * Creates the settings and checks the addresses and the ranges of the numbers.
   *
   * @throws IllegalArgumentException if one of them is invalid; the message names it
   */
  public GatewaySettings {
    checkArgument(!host.isEmpty(), "host must not be empty");
    checkArgument(!dataCentre.isEmpty(), "dataCentre must not be empty");
    checkAddress("callerAddress", callerAddress);
    checkAddress("readyAddress", readyAddress);
    checkAddress("peerAddress", peerAddress);
    checkAddress("metricsAddress", metricsAddress);
    checkAddress("storeAddress", storeAddress);
    checkAtLeastOne("leaseMillis", leaseMillis);
    checkAtLeastOne("maxHoldMillis", maxHoldMillis);
    checkAtLeastOne("configurationLimitMillis", configurationLimitMillis);
    checkAtLeastOne("drainMillis", drainMillis);
    checkAtLeastOne("graceMillis", graceMillis);
    checkAtLeastOne("retryWindowMillis", retryWindowMillis);
    checkArgument(
        retryRatio >= 0 && retryRatio <= 1, "retryRatio must be 0 to 1, but is %s", retryRatio);
    checkArgument(retrySlack >= 0, "retrySlack must be at least 0, but is %s", retrySlack);
    checkArgument(
        linkBytesPerSecond > 0,
        "linkBytesPerSecond must be above 0, but is %s",
        linkBytesPerSecond);
    checkArgument(cores > 0, "cores must be above 0, but is %s", cores);
  }

  /** Creates the settings of a deployment that sets no limits on the use of targets. */
  public GatewaySettings(
      String host,
      String dataCentre,
      String callerAddress,
      String readyAddress,
      String peerAddress,
      String readyPath,
      String metricsAddress,
      String storeAddress,
      long leaseMillis,
      long maxHoldMillis,
      long configurationLimitMillis,
      long drainMillis,
      long graceMillis,
      double retryRatio,
      double retrySlack,
      long retryWindowMillis,
      double linkBytesPerSecond,
      double cores) {
    this(
        host,
        dataCentre,
        callerAddress,
        readyAddress,
        peerAddress,
        readyPath,
        metricsAddress,
        storeAddress,
        leaseMillis,
        maxHoldMillis,
        configurationLimitMillis,
        drainMillis,
        graceMillis,
        retryRatio,
        retrySlack,
        retryWindowMillis,
        linkBytesPerSecond,
        cores,
        TargetLimits.NONE);
  }

  /**
   * Returns these settings with the values of newer ones where a change takes effect without a
   * restart.
   */
  public GatewaySettings withReloadable(GatewaySettings newer) {
    return new GatewaySettings(
        host,
        dataCentre,
        callerAddress,
        readyAddress,
        peerAddress,
        readyPath,
        metricsAddress,
        newer.storeAddress,
        leaseMillis,
        maxHoldMillis,
        newer.configurationLimitMillis,
        newer.drainMillis,
        newer.graceMillis,
        newer.retryRatio,
        newer.retrySlack,
        newer.retryWindowMillis,
        linkBytesPerSecond,
        cores,
        newer.targetLimits);
  }

  private static void checkAddress(String name, String address) {
    HostAndPort parsed = HostAndPort.fromString(address);
    checkArgument(
        InetAddresses.isInetAddress(parsed.getHost()) && parsed.getPortOrDefault(0) > 0,
        "%s must be an IP address and a port, but is '%s'",
        name,
        address);
  }

  private static void checkAtLeastOne(String name, long value) {
    checkArgument(value >= 1, "%s must be at least 1, but is %s", name, value);
  }
}
