package org.cowslipmoor.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks how soon a host is current again that the store rejected for some time. */
final class StoreCatchUpTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long OUTAGE_NANOS = 9_000 * NANOS_PER_MILLI;

  /** Time within which a change must take effect; {@code config_ms}. */
  private static final long MAX_DELAY_NANOS = 2_000 * NANOS_PER_MILLI;

  /** A target's entry in a response of the store, and how often it is written. */
  private static final int ENTRY_BYTES = 350;

  private static final long WRITE_INTERVAL_NANOS = 870 * NANOS_PER_MILLI;

  private static final double TARGETS_PER_HOST = 3.75;

  /** A small host's link, of 20 Mbit/s. */
  private static final double LINK_BYTES_PER_NANO = 2.5e6 / 1e9;

  private static final long STORE_DELAY_NANOS = 4 * NANOS_PER_MILLI;
  private static final long STEP_NANOS = NANOS_PER_MILLI;

  /** How the client reads from the store. */
  private enum Reading {
    /** As the scheduler decides; a response that arrives is not cut. */
    PRODUCT,
    /** Changes only; a response that arrives is not cut. */
    CHANGES_ONLY,
    /** Changes only; the poll's timeout includes the response. */
    CUT_BY_TIMEOUT
  }

  /** Returns the time from the end of the outage until the host is current. */
  private static long catchUpNanos(int hosts, Reading reading, long seed) {
    StorePollScheduler scheduler =
        StorePollScheduler.create(1_000 * NANOS_PER_MILLI, new SplittableRandom(seed), 0);
    scheduler.onLoaded(0, 0);
    long limit = OUTAGE_NANOS + 4 * MAX_DELAY_NANOS;
    long now = 0;
    while (now < limit && !(now > OUTAGE_NANOS && scheduler.age(now) < MAX_DELAY_NANOS / 2)) {
      Optional<StorePollScheduler.Poll> due = scheduler.nextPoll(now);
      now += STEP_NANOS;
      if (due.isEmpty()) {
        continue;
      }
      StorePollScheduler.Poll poll = due.get();
      if (poll.sentAt() < OUTAGE_NANOS) {
        scheduler.onFailure(poll, now);
        continue;
      }
      boolean readsAll = poll.readsAll() && reading == Reading.PRODUCT;
      double writes = Math.max(1, (double) scheduler.age(now) / WRITE_INTERVAL_NANOS);
      double bytes = hosts * TARGETS_PER_HOST * ENTRY_BYTES * (readsAll ? 1 : writes);
      long durationNanos = STORE_DELAY_NANOS + (long) (bytes / LINK_BYTES_PER_NANO);
      if (reading == Reading.CUT_BY_TIMEOUT && durationNanos > poll.timeoutNanos()) {
        now += poll.timeoutNanos();
        scheduler.onFailure(poll, now);
      } else if (readsAll) {
        now += durationNanos;
        scheduler.onLoaded(poll.sentAt(), now);
      } else {
        now += durationNanos;
        scheduler.onResponse(poll, true, now);
      }
    }
    return now - OUTAGE_NANOS;
  }

  /**
   * Guards against hosts that stay behind after the store serves them again: the changes of 9 s
   * took their links longer than a poll's timeout, more with each further try.
   */
  @ParameterizedTest
  @CsvSource({"19, 1", "102, 2", "300, 3", "1000, 4", "1000, 5"})
  void rejectedHostIsCurrentSoonAfterTheStoreServesIt(int hosts, long seed) {
    assertThat(catchUpNanos(hosts, Reading.PRODUCT, seed), lessThan(MAX_DELAY_NANOS));
  }

  @Test
  void pollsThatAreCutNeverCatchUp() {
    assertThat(catchUpNanos(102, Reading.CUT_BY_TIMEOUT, 1), greaterThan(3 * MAX_DELAY_NANOS));
  }

  @Test
  void readingOnlyChangesIsTooSlowForLargeFleets() {
    assertThat(catchUpNanos(1_000, Reading.CHANGES_ONLY, 1), greaterThan(MAX_DELAY_NANOS));
  }
}
