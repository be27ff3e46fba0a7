package org.cowslipmoor.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates what part of a machine the coordination of a fleet takes, and by how much the host on
 * it lets others claim the coordination first. In a fleet of unequal machines a small one that
 * coordinates is late with all that it decides and passes on.
 *
 * @param linkBytesPerSecond what the machine's network link carries, above 0
 * @param cores processor time that the machine has, in cores, above 0
 */
public record CoordinationLoad(double linkBytesPerSecond, double cores) {
  /** Bytes a second for each host that is coordinated, on a busy day. */
  private static final double BYTES_PER_HOST = 30_000;

  /** Cores for each host that is coordinated, on a busy day. */
  private static final double CORES_PER_HOST = 0.002;

  /** Part of a machine from which on others are let first. */
  private static final double COMFORTABLE_PART = 0.25;

  /** Longest time by which others are let first, in nanoseconds; it delays a takeover by them. */
  private static final long LARGEST_HANDICAP = 600_000_000L;

  /** Checks the ranges. */
  public CoordinationLoad {
    checkArgument(linkBytesPerSecond > 0, "a link can't carry %s bytes/s", linkBytesPerSecond);
    checkArgument(cores > 0, "a machine can't have %s cores", cores);
  }

  /** Returns the part of the machine that the coordination of a number of hosts takes. */
  public double fraction(int hosts) {
    return hosts * Math.max(BYTES_PER_HOST / linkBytesPerSecond, CORES_PER_HOST / cores);
  }

  /** Returns the time by which others are let first, in nanoseconds. */
  public long claimDelayNanos(int hosts) {
    double beyond = (fraction(hosts) - COMFORTABLE_PART) / (1 - COMFORTABLE_PART);
    return (long) (LARGEST_HANDICAP * Math.max(0, Math.min(1, beyond)));
  }
}
