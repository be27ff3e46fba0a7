package org.cowslipmoor.core.coldstart;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.discovery.TargetLimits;
import org.cowslipmoor.core.routing.ServiceDescription;

/**
 * Maximum number of requests to one cold target for which the coordinator hands out allowances in
 * any time of {@link #WINDOW_NANOS}.
 *
 * @param requests that number
 */
public record ColdLimit(int requests) {
  /** Time for which an allowance is valid, counted from when the host asked for it. */
  public static final long VALID_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long BOUND_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Time over which handed-out allowances are counted. An allowance is spent at most {@link
   * #VALID_NANOS} after it was handed out, so those that are spent within one bound period were
   * handed out within this time.
   */
  public static final long WINDOW_NANOS = BOUND_PERIOD_NANOS + VALID_NANOS;

  /** Share of the bound that is used; the remainder covers differences between clocks. */
  private static final double USED_SHARE = 0.9;

  /** Returns the limit for cold targets of a service; empty if there is none. */
  public static Optional<ColdLimit> of(TargetLimits limits, ServiceDescription service) {
    double perSecond = service.coldRequestsPerSecond() * limits.coldRateFactor();
    if (perSecond == 0) {
      return Optional.empty();
    }
    double inBoundPeriod = USED_SHARE * (perSecond + limits.coldRateSlack());
    double inWindow = perSecond * WINDOW_NANOS / TimeUnit.SECONDS.toNanos(1);
    return Optional.of(new ColdLimit((int) Math.min(inBoundPeriod, inWindow)));
  }

  /** Returns the mean number of requests to a cold target within the given time. */
  double requestsIn(long nanos) {
    return requests * ((double) nanos / WINDOW_NANOS);
  }
}
