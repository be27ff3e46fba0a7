package org.cowslipmoor.core.range;

import com.google.common.collect.ImmutableMap;
import java.util.Arrays;
import java.util.SplittableRandom;

/** Loads of services for tests. */
final class TestLoads {
  private static final int KEYS = KeyRange.ALL.size();
  private static final int BUSY_RUNS = 12;

  private TestLoads() {}

  /** Returns a load of which a share falls on a range, and the rest on all keys evenly. */
  static ServiceLoad hotAt(KeyRange hot, double share) {
    double[] weights = new double[KEYS];
    Arrays.fill(weights, (1 - share) / KEYS);
    for (int key = hot.from(); key <= hot.to(); key++) {
      weights[key] += share / hot.size();
    }
    return ServiceLoad.of(weights, ImmutableMap.of());
  }

  /** Returns an even load of which a target can take little, as when it has just started. */
  static ServiceLoad slowAt(String target) {
    double[] weights = new double[KEYS];
    Arrays.fill(weights, 1.0 / KEYS);
    return ServiceLoad.of(weights, ImmutableMap.of(target, 0.1));
  }

  /** Returns a load with several runs of busy keys, and single ones among them. */
  static ServiceLoad uneven(SplittableRandom random) {
    double[] weights = new double[KEYS];
    Arrays.fill(weights, 0.4 / KEYS);
    for (int i = 0; i < BUSY_RUNS; i++) {
      int size = 1 + random.nextInt(400);
      int from = random.nextInt(KEYS - size);
      for (int key = from; key < from + size; key++) {
        weights[key] += 0.6 / BUSY_RUNS / size;
      }
    }
    return ServiceLoad.of(weights, ImmutableMap.of());
  }
}
