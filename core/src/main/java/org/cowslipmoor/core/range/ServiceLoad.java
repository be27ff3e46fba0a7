package org.cowslipmoor.core.range;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import java.util.Arrays;

/**
 * Measured load of a keyed service: how the requests spread over its keys, and how fast its targets
 * work.
 *
 * @param weights part of the work that falls on each bucket of neighbouring keys; sums to 1
 * @param speeds speed of a target's slot relative to the others, by target id; 1 where unknown
 */
public record ServiceLoad(double[] weights, ImmutableMap<String, Double> speeds) {
  /** Number of buckets into which the keys are divided evenly. */
  public static final int BUCKETS = 1_024;

  /** Keys in a bucket. */
  public static final int BUCKET_KEYS = (KeyRange.LAST_KEY + 1) / BUCKETS;

  /** Checks the number of weights. */
  public ServiceLoad {
    checkArgument(weights.length == BUCKETS, "there must be %s weights", BUCKETS);
  }

  /** Returns the load of a service of which nothing was measured. */
  public static ServiceLoad even() {
    double[] weights = new double[BUCKETS];
    Arrays.fill(weights, 1.0 / BUCKETS);
    return new ServiceLoad(weights, ImmutableMap.of());
  }

  /** Returns the bucket of a key. */
  public static int bucket(int key) {
    return key / BUCKET_KEYS;
  }

  /** Returns the part of the work that falls on a range. */
  double weight(KeyRange range) {
    double sum = 0;
    int first = bucket(range.from());
    int last = bucket(range.to());
    for (int b = first; b <= last; b++) {
      int from = Math.max(range.from(), b * BUCKET_KEYS);
      int to = Math.min(range.to(), (b + 1) * BUCKET_KEYS - 1);
      sum += weights[b] * (to - from + 1) / BUCKET_KEYS;
    }
    return sum;
  }

  double speed(String target) {
    return speeds.getOrDefault(target, 1.0);
  }
}
