package org.cowslipmoor.daemon.gateway;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a host is told at its start.
 *
 * @param host id of this host
 * @param dataCentre the data centre that it runs in
 * @param callerAddress where callers connect, as {@code ip:port}
 * @param readyAddress where the balancer asks whether the host is ready, as {@code ip:port}
 * @param linkAddress where other hosts connect, as {@code ip:port}
 * @param readyPath path of that question
 * @param metricsAddress where metrics are served under {@code /metrics}, as {@code ip:port}
 * @param leaseMillis duration of the coordinator's lease in milliseconds
 * @param longestHoldMillis longest hold of a grant in milliseconds
 * @param graceMillis milliseconds between the request to stop and the end at the latest
 * @param retryShare retries to a service per request for it in a window, over all hosts
 * @param retryReserve retries to a service in a window beyond that share, over all hosts
 * @param retryWindowMillis length of a window in milliseconds
 * @param linkBytesPerSecond what the machine's network link carries
 * @param cores processor time that the machine has, in cores
 */
public record GatewaySettings(
    String host,
    String dataCentre,
    String callerAddress,
    String readyAddress,
    String linkAddress,
    String readyPath,
    String metricsAddress,
    long leaseMillis,
    long longestHoldMillis,
    long graceMillis,
    double retryShare,
    double retryReserve,
    long retryWindowMillis,
    double linkBytesPerSecond,
    double cores) {

  /** Checks the durations. */
  public GatewaySettings {
    checkArgument(leaseMillis >= 1, "leaseMillis must be at least 1, but is %s", leaseMillis);
    checkArgument(graceMillis >= 1, "graceMillis must be at least 1, but is %s", graceMillis);
  }
}
