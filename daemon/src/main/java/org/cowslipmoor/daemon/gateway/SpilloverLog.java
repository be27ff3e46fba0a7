package org.cowslipmoor.daemon.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableMap;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.admission.SpilloverCounts;
import org.tinylog.Logger;

/**
 * Turns the counts of requests that leave the data centre into metrics, and logs them periodically,
 * one line for each service of which any left. Confined to the host's event loop; times are in
 * nanoseconds.
 */
final class SpilloverLog {
  private static final long LOG_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final SpilloverCounts NONE = new SpilloverCounts(0, 0, 0, 0, 0);

  private final MetricRegistry metrics;
  private ImmutableMap<String, SpilloverCounts> counted = ImmutableMap.of();
  private ImmutableMap<String, SpilloverCounts> logged = ImmutableMap.of();
  private long periodStartedAt;

  SpilloverLog(MetricRegistry metrics, long now) {
    this.metrics = metrics;
    this.periodStartedAt = now;
  }

  /** Applies the counts since the start, and logs those of the period if it has ended. */
  void tick(ImmutableMap<String, SpilloverCounts> counts, long now) {
    counts.forEach((service, c) -> count(service, c.minus(counted.getOrDefault(service, NONE))));
    counted = counts;
    if (now - periodStartedAt < LOG_PERIOD_NANOS) {
      return;
    }
    periodStartedAt = now;
    counts.forEach((service, c) -> log(service, c.minus(logged.getOrDefault(service, NONE))));
    logged = counts;
  }

  private void count(String service, SpilloverCounts c) {
    add(GatewayMetric.UNKEYED_PLACED, service, c.placed());
    add(GatewayMetric.SPILLOVER_SATURATED, service, c.leftSaturated());
    add(GatewayMetric.SPILLOVER_NONE_USABLE, service, c.leftNoneUsable());
    add(GatewayMetric.SPILLOVER_BYTES, service, c.bytes());
  }

  private void add(GatewayMetric metric, String service, long n) {
    if (n > 0) {
      metrics.counter(MetricRegistry.name(metric.name(), service)).inc(n);
    }
  }

  private static void log(String service, SpilloverCounts c) {
    if (c.left() > 0) {
      Logger.info(
          "event=spillover service={} placed={} saturated={} none_usable={} bytes={} share={}",
          service,
          c.placed(),
          c.leftSaturated(),
          c.leftNoneUsable(),
          c.bytes(),
          String.format(Locale.ROOT, "%.3f", c.share()));
    }
  }
}
