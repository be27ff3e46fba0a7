package org.cowslipmoor.daemon.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Logs how many retries of each service were made and denied, a line a service for each time with
 * any. Confined to the host's event loop; times are nanoseconds.
 */
final class RetryCounts {
  private static final long PERIOD = TimeUnit.SECONDS.toNanos(2);

  private final Map<String, Counts> byService = new HashMap<>();
  private long periodBeganAt;

  private static final class Counts {
    int requests;
    int made;
    int denied;
  }

  RetryCounts(long now) {
    periodBeganAt = now;
  }

  void onRequest(String service) {
    of(service).requests++;
  }

  void onRetry(String service, boolean allowed) {
    Counts c = of(service);
    if (allowed) {
      c.made++;
    } else {
      c.denied++;
    }
  }

  /** Writes the counts that are due. */
  void tick(long now) {
    if (now - periodBeganAt < PERIOD) {
      return;
    }
    periodBeganAt = now;
    byService.forEach(
        (service, c) -> {
          if (c.made + c.denied > 0) {
            Logger.info(
                "event=retries service={} requests={} made={} denied={}",
                service,
                c.requests,
                c.made,
                c.denied);
          }
        });
    byService.clear();
  }

  private Counts of(String service) {
    return byService.computeIfAbsent(service, unused -> new Counts());
  }
}
