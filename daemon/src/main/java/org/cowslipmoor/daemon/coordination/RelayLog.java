package org.cowslipmoor.daemon.coordination;

import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Logs once a second what the coordinator sends to the other hosts. Confined to the host's event
 * loop; times are nanoseconds.
 */
final class RelayLog {
  private static final long PERIOD = TimeUnit.SECONDS.toNanos(1);

  private long periodBeganAt;
  private int states;
  private long stateBytes;
  private int news;
  private long newsBytes;

  RelayLog(long now) {
    periodBeganAt = now;
  }

  void onState(int bytes) {
    states++;
    stateBytes += bytes;
  }

  void onNews(int bytes) {
    news++;
    newsBytes += bytes;
  }

  /**
   * Writes the line that is due.
   *
   * @param unsentBytes bytes that wait on the links to be sent
   */
  void tick(long now, int hosts, long unsentBytes) {
    if (now - periodBeganAt < PERIOD) {
      return;
    }
    periodBeganAt = now;
    Logger.info(
        "event=relay hosts={} states={} state_bytes={} news={} news_bytes={} unsent_bytes={}",
        hosts,
        states,
        stateBytes,
        news,
        newsBytes,
        unsentBytes);
    states = 0;
    stateBytes = 0;
    news = 0;
    newsBytes = 0;
  }
}
