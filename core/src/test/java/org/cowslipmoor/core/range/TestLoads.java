package org.cowslipmoor.core.range;

import com.google.common.collect.ImmutableMap;
import java.util.Arrays;

/** Loads of services for tests. */
final class TestLoads {
  private static final int KEYS = KeyRange.ALL.size();

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
}
