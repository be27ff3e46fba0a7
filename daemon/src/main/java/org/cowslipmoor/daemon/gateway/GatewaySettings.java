package org.cowslipmoor.daemon.gateway;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The settings of a host that are fixed at its start.
 *
 * @param host the id of this host
 * @param dataCentre the data centre of this host
 * @param callerAddress the address that callers connect to, as {@code ip:port}
 * @param readyAddress the address of the load balancer's readiness check, as {@code ip:port}
 * @param peerAddress the address that other hosts connect to, as {@code ip:port}
 * @param readyPath the path of the readiness check
 * @param metricsAddress the address that serves metrics under {@code /metrics}, as {@code ip:port}
 * @param leaseMillis the duration of the coordinator's lease in milliseconds, at least 1
 * @param maxHoldMillis the maximum hold time of a grant in milliseconds
 * @param graceMillis the maximum time in milliseconds from the request to stop until the exit of
 *     the process, at least 1
 * @param retryRatio the allowed retries to a service per request to it in a window, over all hosts
 * @param retrySlack the allowed retries to a service in a window beyond that ratio, over all hosts
 * @param retryWindowMillis the length of a window in milliseconds
 * @param linkBytesPerSecond the bandwidth of the host's network link in bytes per second
 * @param cores the CPU capacity of the host, in cores
 */
public record GatewaySettings(
    String host,
    String dataCentre,
    String callerAddress,
    String readyAddress,
    String peerAddress,
    String readyPath,
    String metricsAddress,
    long leaseMillis,
    long maxHoldMillis,
    long graceMillis,
    double retryRatio,
    double retrySlack,
    long retryWindowMillis,
    double linkBytesPerSecond,
    double cores) {

  /** Creates the settings and checks the lease and the grace period. */
  public GatewaySettings {
    checkArgument(leaseMillis >= 1, "leaseMillis must be at least 1, but is %s", leaseMillis);
    checkArgument(graceMillis >= 1, "graceMillis must be at least 1, but is %s", graceMillis);
  }
}
