package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.not;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableMap;
import org.cowslipmoor.core.admission.SpilloverCounts;
import org.junit.jupiter.api.Test;

final class SpilloverLogTest {
  private final MetricRegistry metrics = new MetricRegistry();
  private final SpilloverLog log = new SpilloverLog(metrics, 0);

  /** Guards against counts since the start that are added again with each tick. */
  @Test
  void countsAreExposedByService() {
    log.tick(ImmutableMap.of("orders", new SpilloverCounts(10, 2, 1, 900, 0.2)), 1);
    log.tick(ImmutableMap.of("orders", new SpilloverCounts(15, 3, 1, 1_000, 0.1)), 2);
    String page = new MetricsPage(metrics).render();
    assertThat(page, containsString("cowslipmoor_unkeyed_placed_total{service=\"orders\"} 15\n"));
    assertThat(
        page, containsString("cowslipmoor_spillover_saturated_total{service=\"orders\"} 3\n"));
    assertThat(
        page, containsString("cowslipmoor_spillover_none_usable_total{service=\"orders\"} 1\n"));
    assertThat(
        page, containsString("cowslipmoor_spillover_bytes_total{service=\"orders\"} 1000\n"));
  }

  @Test
  void servicesThatStayInTheDataCentreExposeNoSpillover() {
    log.tick(ImmutableMap.of("orders", new SpilloverCounts(10, 0, 0, 0, 0)), 1);
    assertThat(
        new MetricsPage(metrics).render(),
        not(containsString("cowslipmoor_spillover_saturated_total{")));
  }
}
