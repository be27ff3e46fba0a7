package org.cowslipmoor.core.range;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import java.util.Arrays;

/**
 * The measured load of a keyed service: the distribution of its work over the keys, and the
 * relative speeds of its targets. Immutable.
 */
public final class ServiceLoad {
  private static final int KEY_COUNT = KeyRange.ALL.size();

  /**
   * Share of the work that falls on the keys below each key; has one element more than there are
   * keys.
   */
  private final double[] cumulative;

  private final ImmutableMap<String, Double> speeds;

  private ServiceLoad(double[] cumulative, ImmutableMap<String, Double> speeds) {
    this.cumulative = cumulative;
    this.speeds = speeds;
  }

  /**
   * Creates a measured load.
   *
   * @param weights share of the work that falls on each key; the shares sum to 1
   * @param speeds relative speed of a target's slots, by target id; 1 if absent
   */
  public static ServiceLoad of(double[] weights, ImmutableMap<String, Double> speeds) {
    checkArgument(
        weights.length == KEY_COUNT,
        "number of weights must be %s, but is %s",
        KEY_COUNT,
        weights.length);
    double[] cumulative = new double[KEY_COUNT + 1];
    for (int key = 0; key < KEY_COUNT; key++) {
      cumulative[key + 1] = cumulative[key] + weights[key];
    }
    return new ServiceLoad(cumulative, speeds);
  }

  /**
   * Returns the load that is assumed for a service without measurements: the same for all keys, at
   * equal speeds.
   */
  public static ServiceLoad uniform() {
    double[] weights = new double[KEY_COUNT];
    Arrays.fill(weights, 1.0 / KEY_COUNT);
    return of(weights, ImmutableMap.of());
  }

  /** Returns the share of the work that falls on a range. */
  double weight(KeyRange range) {
    return cumulative[range.to() + 1] - cumulative[range.from()];
  }

  /**
   * Returns the longest prefix of a range whose work does not exceed an amount, but at least one
   * key.
   */
  KeyRange longestPrefix(KeyRange range, double amount) {
    int low = range.from();
    int high = range.to();
    while (low < high) {
      int middle = (low + high + 1) >>> 1;
      if (cumulative[middle + 1] - cumulative[range.from()] <= amount) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    return new KeyRange(range.from(), low);
  }

  /**
   * Returns the longest suffix of a range whose work does not exceed an amount, but at least one
   * key.
   */
  KeyRange longestSuffix(KeyRange range, double amount) {
    int low = range.from();
    int high = range.to();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (cumulative[range.to() + 1] - cumulative[middle] <= amount) {
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
