package org.cowslipmoor.daemon.coordination;

import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Logs once a second how much the coordinator sends to the other hosts. Confined to the host's
 * event loop; times are nanoseconds.
 */
final class RelayLog {
  private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

  private long periodStartedAt;
  private int states;
  private long stateBytes;
  private int updates;
  private long updateBytes;

  RelayLog(long now) {
    periodStartedAt = now;
  }

  void onState(int bytes) {
    states++;
    stateBytes += bytes;
  }

  void onUpdate(int bytes) {
    updates++;
    updateBytes += bytes;
  }

  /**
   * Writes the summary of the past second when it is due.
   *
   * @param unsentBytes bytes queued on the links
   */
  void tick(long now, int hosts, long unsentBytes) {
    if (now - periodStartedAt < PERIOD_NANOS) {
      return;
    }
    periodStartedAt = now;
    Logger.info(
        "event=relay hosts={} states={} state_bytes={} news={} news_bytes={} unsent_bytes={}",
        hosts,
        states,
        stateBytes,
        updates,
        updateBytes,
        unsentBytes);
    states = 0;
    stateBytes = 0;
    updates = 0;
    updateBytes = 0;
  }
}
