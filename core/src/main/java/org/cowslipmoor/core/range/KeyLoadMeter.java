package org.cowslipmoor.core.range;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures how the requests of each keyed service spread over its keys. What was counted loses half
 * of its weight in a stated time, so that a key that turns hot or cold is noticed within seconds.
 * Not thread-safe; times are nanoseconds.
 */
public final class KeyLoadMeter {
  private static final long HALF_LIFE = 1_200_000_000L;

  /** Requests below which the spread is taken to be even. */
  private static final double LEAST_COUNT = 40;

  /** Part of the work that is taken to be even whatever was counted. */
  private static final double EVEN_SHARE = 0.25;

  private final Map<String, double[]> counts = new HashMap<>();
  private long decayedAt;

  private KeyLoadMeter(long now) {
    this.decayedAt = now;
  }

  /** Creates a meter that has counted nothing. */
  public static KeyLoadMeter create(long now) {
    return new KeyLoadMeter(now);
  }

  /** Counts requests for a key. */
  public void count(String service, int key, double requests, long now) {
    decay(now);
    keys(service)[key] += requests;
  }

  /** Returns the part of a service's work that falls on each key; sums to 1. */
  public double[] weights(String service, long now) {
    decay(now);
    double[] counted = keys(service);
    double sum = 0;
    for (double c : counted) {
      sum += c;
    }
    double even = 1.0 / counted.length;
    double share = sum < LEAST_COUNT ? 1 : EVEN_SHARE;
    double[] weights = new double[counted.length];
    for (int i = 0; i < counted.length; i++) {
      weights[i] = share * even + (sum == 0 ? 0 : (1 - share) * counted[i] / sum);
    }
    return weights;
  }

  private void decay(long now) {
    long step = HALF_LIFE / 10;
    if (now - decayedAt < step) {
      return;
    }
    double factor = Math.pow(0.5, (double) (now - decayedAt) / HALF_LIFE);
    decayedAt = now;
    for (double[] c : counts.values()) {
      for (int i = 0; i < c.length; i++) {
        c[i] *= factor;
      }
    }
  }

  private double[] keys(String service) {
    return counts.computeIfAbsent(service, unused -> new double[KeyRange.ALL.size()]);
  }
}
