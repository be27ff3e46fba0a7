package org.cowslipmoor.daemon;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.cowslipmoor.core.control.RequestsInProgress;
import org.cowslipmoor.core.ownership.ShardId;

/** Counts the requests in progress and the request rate of each shard. Thread-safe. */
public final class ShardActivity implements RequestsInProgress {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Weight of the newest window in the exponentially smoothed rate. */
  private static final double NEW_WINDOW_WEIGHT = 0.2;

  private static final double MIN_RATE_PER_SECOND = 0.1;

  private final Map<ShardId, AtomicInteger> inProgress = new ConcurrentHashMap<>();
  private final Map<ShardId, LongAdder> counts = new ConcurrentHashMap<>();
  private volatile ImmutableMap<ShardId, Double> rates = ImmutableMap.of();
  private long windowStart;

  /** Creates an instance whose first window starts at {@code now}, in nanoseconds. */
  public ShardActivity(long now) {
    this.windowStart = now;
  }

  /** Counts a request for the shard that is about to be sent. */
  public void begin(ShardId shard) {
    inProgress.computeIfAbsent(shard, unused -> new AtomicInteger()).incrementAndGet();
    counts.computeIfAbsent(shard, unused -> new LongAdder()).increment();
  }

  /** Counts the end of a request for the shard. */
  public void end(ShardId shard) {
    AtomicInteger n = inProgress.get(shard);
    if (n != null) {
      n.decrementAndGet();
    }
  }

  @Override
  public boolean isBusy(ShardId shard) {
    AtomicInteger n = inProgress.get(shard);
    return n != null && n.get() > 0;
  }

  @Override
  public ImmutableMap<ShardId, Double> loads() {
    return rates;
  }

  /** Ends the current window and adds its request rate to the smoothed rates. */
  public synchronized void closeWindow(long now) {
    double seconds = (now - windowStart) / NANOS_PER_SECOND;
    windowStart = now;
    if (seconds <= 0) {
      return;
    }
    ImmutableMap.Builder<ShardId, Double> next = ImmutableMap.builder();
    counts.forEach(
        (shard, count) -> {
          double old = rates.getOrDefault(shard, 0.0);
          double rate = old + NEW_WINDOW_WEIGHT * (count.sumThenReset() / seconds - old);
          if (rate >= MIN_RATE_PER_SECOND) {
            next.put(shard, rate);
          }
        });
    rates = next.buildOrThrow();
  }
}
