package org.cowslipmoor.daemon.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;

/** Renders the metrics of a registry in the Prometheus text exposition format. */
final class MetricsPage {
  private static final double[] QUANTILES = {0.5, 0.9, 0.99};
  private static final double NANOS_PER_SECOND = 1e9;

  private final MetricRegistry registry;

  MetricsPage(MetricRegistry registry) {
    this.registry = registry;
  }

  /** Returns all metrics, each with its description and type. */
  String render() {
    StringBuilder page = new StringBuilder();
    for (GatewayMetric m : GatewayMetric.values()) {
      page.append("# HELP ").append(m.exposedName()).append(' ').append(m.help()).append('\n');
      page.append("# TYPE ").append(m.exposedName()).append(' ').append(type(m)).append('\n');
      appendCounters(m, page);
      appendGauge(m, page);
      appendTimer(m, page);
    }
    return page.toString();
  }

  private static String type(GatewayMetric m) {
    if (m == GatewayMetric.ANSWER_SECONDS || m == GatewayMetric.SENT_TO_LEAVING_SECONDS) {
      return "summary";
    }
    return m.exposedName().endsWith("_total") ? "counter" : "gauge";
  }

  private void appendCounters(GatewayMetric m, StringBuilder page) {
    registry
        .getCounters((name, unused) -> name.equals(m.name()) || name.startsWith(m.name() + "."))
        .forEach(
            (name, counter) -> {
              String value = name.substring(m.name().length());
              page.append(m.exposedName());
              if (!value.isEmpty()) {
                page.append('{').append(m.label()).append("=\"");
                page.append(value, 1, value.length()).append("\"}");
              }
              page.append(' ').append(counter.getCount()).append('\n');
            });
  }

  private void appendGauge(GatewayMetric m, StringBuilder page) {
    Gauge<?> gauge = registry.getGauges().get(m.name());
    if (gauge != null) {
      page.append(m.exposedName()).append(' ').append(gauge.getValue()).append('\n');
    }
  }

  private void appendTimer(GatewayMetric m, StringBuilder page) {
    Timer timer = registry.getTimers().get(m.name());
    if (timer == null) {
      return;
    }
    Snapshot s = timer.getSnapshot();
    for (double q : QUANTILES) {
      page.append(
          String.format(
              Locale.ROOT,
              "%s{quantile=\"%s\"} %.6f%n",
              m.exposedName(),
              q,
              s.getValue(q) / NANOS_PER_SECOND));
    }
    page.append(m.exposedName()).append("_count ").append(timer.getCount()).append('\n');
  }
}
