package org.cowslipmoor.daemon.http;

import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.limit.LogLimit;
import org.tinylog.Logger;

/**
 * Counts and logs the connections that delivered bytes that belong to no pending response. Confined
 * to one event loop.
 */
final class UnexpectedBytes {
  private static final int MAX_LINES = 20;
  private static final long LOG_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final LogLimit limit = LogLimit.create(MAX_LINES, LOG_PERIOD_NANOS, System.nanoTime());
  private long count;

  void onBytes(HttpConnection connection, boolean isIdle, long now) {
    count++;
    if (limit.tryAcquire(now)) {
      Logger.warn(
          "event=unexpected_bytes address={} connection={} exchanges={} idle={} suppressed={}",
          connection.address(),
          connection.id(),
          connection.exchanges(),
          isIdle,
          limit.drainSuppressed());
    }
  }

  /** Returns the number of connections that delivered such bytes. */
  long count() {
    return count;
  }
}
