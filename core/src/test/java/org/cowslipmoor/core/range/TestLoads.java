package org.cowslipmoor.core.range;

import com.google.common.collect.ImmutableMap;
import java.util.Arrays;
import java.util.SplittableRandom;

/** Loads of services for tests. */
final class TestLoads {
  private static final int KEY_COUNT = KeyRange.ALL.size();
  private static final int HOT_RANGE_COUNT = 12;

  private TestLoads() {}

  /** Returns a load of which a share falls on a range, and the rest on all keys uniformly. */
  static ServiceLoad withHotRange(KeyRange hot, double share) {
    double[] weights = new double[KEY_COUNT];
    Arrays.fill(weights, (1 - share) / KEY_COUNT);
    for (int key = hot.from(); key <= hot.to(); key++) {
      weights[key] += share / hot.size();
    }
    return ServiceLoad.of(weights, ImmutableMap.of());
  }

  /** Returns a uniform load with one slow target, as after its start. */
  static ServiceLoad withSlowTarget(String target) {
    double[] weights = new double[KEY_COUNT];
    Arrays.fill(weights, 1.0 / KEY_COUNT);
    return ServiceLoad.of(weights, ImmutableMap.of(target, 0.1));
  }

  /** Returns a load with several ranges of busy keys, some of which may be a single key. */
  static ServiceLoad skewed(SplittableRandom random) {
    double[] weights = new double[KEY_COUNT];
    Arrays.fill(weights, 0.4 / KEY_COUNT);
    for (int i = 0; i < HOT_RANGE_COUNT; i++) {
      int size = 1 + random.nextInt(400);
      int from = random.nextInt(KEY_COUNT - size);
      for (int key = from; key < from + size; key++) {
        weights[key] += 0.6 / HOT_RANGE_COUNT / size;
      }
    }
    return ServiceLoad.of(weights, ImmutableMap.of());
  }
}
