package org.cowslipmoor.core.range;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import java.util.Arrays;

/**
 * Measured load of a keyed service: how the requests spread over its keys, and how fast its targets
 * work. Immutable.
 */
public final class ServiceLoad {
  private static final int KEYS = KeyRange.ALL.size();

  /** Part of the work that falls on the keys below each key; one entry more than there are keys. */
  private final double[] below;

  private final ImmutableMap<String, Double> speeds;

  private ServiceLoad(double[] below, ImmutableMap<String, Double> speeds) {
    this.below = below;
    this.speeds = speeds;
  }

  /**
   * Creates a measured load.
   *
   * @param weights part of the work that falls on each key; sums to 1
   * @param speeds speed of a target's slot relative to the others, by target id; 1 where unknown
   */
  public static ServiceLoad of(double[] weights, ImmutableMap<String, Double> speeds) {
    checkArgument(
        weights.length == KEYS, "there must be %s weights, but are %s", KEYS, weights.length);
    double[] below = new double[KEYS + 1];
    for (int key = 0; key < KEYS; key++) {
      below[key + 1] = below[key] + weights[key];
    }
    return new ServiceLoad(below, speeds);
  }

  /** Returns the load of a service of which nothing was measured. */
  public static ServiceLoad uniform() {
    double[] weights = new double[KEYS];
    Arrays.fill(weights, 1.0 / KEYS);
    return of(weights, ImmutableMap.of());
  }

  /** Returns the part of the work that falls on a range. */
  double weight(KeyRange range) {
    return below[range.to() + 1] - below[range.from()];
  }

  /** Returns the longest head of a range whose work is no more than an amount; at least one key. */
  KeyRange head(KeyRange range, double amount) {
    int low = range.from();
    int high = range.to();
    while (low < high) {
      int middle = (low + high + 1) >>> 1;
      if (below[middle + 1] - below[range.from()] <= amount) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    return new KeyRange(range.from(), low);
  }

  /** Returns the longest tail of a range whose work is no more than an amount; at least one key. */
  KeyRange tail(KeyRange range, double amount) {
    int low = range.from();
    int high = range.to();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (below[range.to() + 1] - below[middle] <= amount) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return new KeyRange(low, range.to());
  }

  double speed(String target) {
    return speeds.getOrDefault(target, 1.0);
  }
}
