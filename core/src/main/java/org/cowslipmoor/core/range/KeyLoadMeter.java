package org.cowslipmoor.core.range;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures the distribution of each keyed service's requests over its keys. Counts decay
 * exponentially, so that a key that becomes hot or cold shows within seconds. Not thread-safe;
 * times are nanoseconds.
 */
public final class KeyLoadMeter {
  private static final long HALF_LIFE_NANOS = 1_200_000_000L;

  /** Decayed number of requests below which a service's distribution is assumed to be uniform. */
  private static final double MIN_COUNT = 40;

  /** Share of the work that is always assumed to be uniform over the keys. */
  private static final double UNIFORM_SHARE = 0.25;

  private final Map<String, double[]> counts = new HashMap<>();
  private long decayedAt;

  private KeyLoadMeter(long now) {
    this.decayedAt = now;
  }

  /** Creates a meter without any counts. */
  public static KeyLoadMeter create(long now) {
    return new KeyLoadMeter(now);
  }

  /** Counts requests for a key. */
  public void count(String service, int key, double requests, long now) {
    decay(now);
    countsOf(service)[key] += requests;
  }

  /** Returns the share of a service's work that falls on each key; the shares sum to 1. */
  public double[] weights(String service, long now) {
    decay(now);
    double[] counted = countsOf(service);
    double sum = 0;
    for (double c : counted) {
      sum += c;
    }
    double uniformWeight = 1.0 / counted.length;
    double uniformShare = sum < MIN_COUNT ? 1 : UNIFORM_SHARE;
    double[] weights = new double[counted.length];
    for (int i = 0; i < counted.length; i++) {
      weights[i] =
          uniformShare * uniformWeight + (sum == 0 ? 0 : (1 - uniformShare) * counted[i] / sum);
    }
    return weights;
  }

  private void decay(long now) {
    long stepNanos = HALF_LIFE_NANOS / 10;
    if (now - decayedAt < stepNanos) {
      return;
    }
    double factor = Math.pow(0.5, (double) (now - decayedAt) / HALF_LIFE_NANOS);
    decayedAt = now;
    for (double[] c : counts.values()) {
      for (int i = 0; i < c.length; i++) {
        c[i] *= factor;
      }
    }
  }

  private double[] countsOf(String service) {
    return counts.computeIfAbsent(service, unused -> new double[KeyRange.ALL.size()]);
  }
}
