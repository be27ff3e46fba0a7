package org.cowslipmoor.daemon.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Counts the retries made and denied for each service, and logs the counts periodically, one line
 * for each service that had any. Confined to the host's event loop; times are in nanoseconds.
 */
final class RetryCounts {
  private static final long LOG_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Map<String, Counts> byService = new HashMap<>();
  private long periodStartedAt;

  private static final class Counts {
    int requests;
    int made;
    int denied;
  }

  RetryCounts(long now) {
    periodStartedAt = now;
  }

  void onRequest(String service) {
    countsOf(service).requests++;
  }

  void onRetry(String service, boolean allowed) {
    Counts c = countsOf(service);
    if (allowed) {
      c.made++;
    } else {
      c.denied++;
    }
  }

  /** Logs and resets the counts if a period has ended. */
  void tick(long now) {
    if (now - periodStartedAt < LOG_PERIOD_NANOS) {
      return;
    }
    periodStartedAt = now;
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

  private Counts countsOf(String service) {
    return byService.computeIfAbsent(service, unused -> new Counts());
  }
}
