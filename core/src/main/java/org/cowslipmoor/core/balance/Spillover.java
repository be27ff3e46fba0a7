package org.cowslipmoor.core.balance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides for one service on one host which share of its requests leaves the data centre (spills
 * over) although the data centre's own targets would still accept them. Requests that would be
 * rejected or late there leave regardless of this share. Not thread-safe; times are nanoseconds.
 *
 * <p>The share follows the load by which the own targets exceed what they serve in time, and works
 * that excess off within {@link #DRAIN_NANOS}. All hosts see the same load, late: the gain is low
 * enough that their common reaction settles within that delay, and the share changes by a bounded
 * step, so that hosts whose reports differ don't move apart.
 *
 * <pre>{@code
 * Spillover spillover = Spillover.create(now);
 * spillover.update(excessRequests, requestsPerNano, true, now);
 * boolean leaves = random.nextDouble() < spillover.share();
 * }</pre>
 */
public final class Spillover {
  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Service times of the objective that a wait at an own target must leave. Service times spread
   * around their mean (with a log-normal spread of 0.5, 98 of 100 are below 2.5 times the mean),
   * those of the requests ahead too, and loads are known late. In simulations of 102 hosts at 90%
   * of the capacity, 2.5 and 4 served less in time than 5 did; 7 served the same.
   */
  static final double RESERVED_SERVICE_TIMES = 5;

  /**
   * Service times of the objective that a wait in another data centre must leave: less than at
   * home, so that a request that would be rejected there still finds room.
   */
  static final double ACCEPTED_RESERVE_SERVICE_TIMES = 2.5;

  /**
   * Share of the load that other data centres accept over which their acceptance falls from 1 to 0.
   * Without it hosts that see the same room late would use it several times, and data centres that
   * are all overloaded would exchange requests.
   */
  static final double ACCEPTANCE_RAMP = 0.15;

  /**
   * Time in nanoseconds within which requests beyond what is served in time are worked off, as long
   * as they are few. The effect of a decision is visible after up to two report intervals (0.5 s);
   * a loop with that delay settles without oscillating if it reacts more slowly.
   */
  public static final double DRAIN_NANOS = 700 * NANOS_PER_MILLI;

  /** Interval in nanoseconds at which hosts learn of each other's load. */
  public static final long REPORT_INTERVAL_NANOS = 250_000_000L;

  /** Maximum increase of the share in a report interval: from 0 to 1 in 2.5 s. */
  static final double MAX_RISE = 0.1;

  /**
   * Maximum decrease of the share in a report interval: from 1 to 0 in 6.25 s. It is lower than the
   * increase, since a share that is too high costs traffic, but one that is too low late requests.
   */
  static final double MAX_FALL = 0.04;

  /** Number of report intervals after which a longer time without requests counts no further. */
  private static final double MAX_INTERVALS = 4;

  /** Round-trip time in nanoseconds between data centres. */
  public static final double ROUND_TRIP_NANOS = 3 * NANOS_PER_MILLI;

  /**
   * Cost of each response byte from another data centre, in equivalent nanoseconds of waiting. It
   * stands for the price of the link: 100 KB are worth 0.1 s of a caller's time.
   */
  public static final double NANOS_PER_BYTE = 1_000;

  private double share;
  private long updatedAt;

  private Spillover(long now) {
    this.updatedAt = now;
  }

  /** Creates an instance by which nothing leaves. */
  public static Spillover create(long now) {
    return new Spillover(now);
  }

  /**
   * Returns the number of requests in progress at an own target up to which it serves each of them
   * in time: the wait for a slot leaves {@link #RESERVED_SERVICE_TIMES} of the objective. Requests
   * that need not wait count as in time, since leaving saves them no waiting.
   *
   * @param slots requests that the target runs at the same time, at least 1
   * @param serviceNanos its service time, above 0
   * @param objectiveNanos time within which a response is in time
   */
  public static double inTimeLoad(int slots, double serviceNanos, double objectiveNanos) {
    return load(slots, serviceNanos, objectiveNanos, RESERVED_SERVICE_TIMES);
  }

  /**
   * Returns the number of requests in progress up to which a target accepts requests from other
   * data centres; see {@link #inTimeLoad}.
   */
  public static double acceptedLoad(int slots, double serviceNanos, double objectiveNanos) {
    return load(slots, serviceNanos, objectiveNanos, ACCEPTED_RESERVE_SERVICE_TIMES);
  }

  private static double load(
      int slots, double serviceNanos, double objectiveNanos, double reservedServiceTimes) {
    checkArgument(serviceNanos > 0, "serviceNanos must be above 0, but is %s", serviceNanos);
    double waitInServiceTimes = objectiveNanos / serviceNanos - reservedServiceTimes;
    return slots * (1 + Math.max(0, waitInServiceTimes));
  }

  /**
   * Returns the probability with which other data centres accept a request.
   *
   * @param load requests in progress at their targets
   * @param acceptedLoad load up to which those accept any, above 0
   */
  public static double acceptance(double load, double acceptedLoad) {
    return Math.max(0, Math.min(1, (1 - load / acceptedLoad) / ACCEPTANCE_RAMP));
  }

  /** Returns the cost of a response from another data centre, in equivalent nanoseconds. */
  public static double pathNanos(double responseBytes) {
    return ROUND_TRIP_NANOS + NANOS_PER_BYTE * responseBytes;
  }

  /**
   * Adapts the share to the load of the data centre's own targets.
   *
   * @param excess requests in progress of all hosts beyond those that are served in time; negative
   *     while there is room
   * @param requestsPerNano requests that the own targets complete in a nanosecond while all their
   *     slots are used, above 0
   * @param fresh whether the loads of other hosts are known and recent; if not, the share doesn't
   *     fall, since the load is only known in part
   */
  public void update(double excess, double requestsPerNano, boolean fresh, long now) {
    checkArgument(
        requestsPerNano > 0, "requestsPerNano must be above 0, but is %s", requestsPerNano);
    double intervals =
        Math.min(MAX_INTERVALS, Math.max(0, now - updatedAt) / (double) REPORT_INTERVAL_NANOS);
    updatedAt = now;
    // Demand beyond the capacity raises the effect of a change of the share in proportion. Its
    // quotient is 1 / (1 - share) once the share has settled, so that the slope has to fall with
    // it.
    double periods = Math.max(0, excess / (requestsPerNano * DRAIN_NANOS));
    double wanted = periods / (1 + periods);
    double lowest = fresh ? share - MAX_FALL * intervals : share;
    share = Math.max(0, Math.max(lowest, Math.min(wanted, share + MAX_RISE * intervals)));
  }

  /** Returns the share of requests that leaves, from 0 to 1. */
  public double share() {
    return share;
  }
}
