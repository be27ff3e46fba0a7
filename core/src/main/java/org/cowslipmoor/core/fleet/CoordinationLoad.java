package org.cowslipmoor.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates the fraction of a host's network and processor capacity that coordinating the fleet
 * takes, and how long the host delays its claim to become coordinator. Where hosts differ in
 * capacity, a small coordinator decides late and relays late, so it lets larger ones claim first.
 *
 * @param linkBytesPerSecond capacity of the host's network link, above 0
 * @param cores processor capacity of the host, in cores, above 0
 */
public record CoordinationLoad(double linkBytesPerSecond, double cores) {
  /** Traffic per coordinated host under heavy load. */
  private static final double BYTES_PER_SECOND_PER_HOST = 30_000;

  /** Processor use per coordinated host under heavy load. */
  private static final double CORES_PER_HOST = 0.002;

  /** Fraction of a host's capacity above which it delays its claim. */
  private static final double UNDELAYED_FRACTION = 0.25;

  /**
   * Number of hosts that is assumed while the members are not known, as at the first start. It only
   * orders the claims: without it a host with a narrow link may claim first and keep the role.
   */
  private static final int ASSUMED_HOSTS = 100;

  /** Limit on the delay, since it also delays a takeover by a small host. */
  private static final long MAX_CLAIM_DELAY_NANOS = 600_000_000L;

  /** Checks that both capacities are above 0. */
  public CoordinationLoad {
    checkArgument(
        linkBytesPerSecond > 0,
        "linkBytesPerSecond must be above 0, but is %s",
        linkBytesPerSecond);
    checkArgument(cores > 0, "cores must be above 0, but is %s", cores);
  }

  /** Returns the fraction of this host's capacity that coordinating the given hosts takes. */
  public double fraction(int hosts) {
    return hosts * Math.max(BYTES_PER_SECOND_PER_HOST / linkBytesPerSecond, CORES_PER_HOST / cores);
  }

  /**
   * Returns how long this host delays its claim.
   *
   * @param hosts number of members; 0 if they are not known
   */
  public long claimDelayNanos(int hosts) {
    double load = fraction(hosts == 0 ? ASSUMED_HOSTS : hosts);
    double excess = (load - UNDELAYED_FRACTION) / (1 - UNDELAYED_FRACTION);
    return (long) (MAX_CLAIM_DELAY_NANOS * Math.max(0, Math.min(1, excess)));
  }
}
