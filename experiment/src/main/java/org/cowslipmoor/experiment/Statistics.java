package org.cowslipmoor.experiment;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Summarizes a measurement over the results of several seeds. */
final class Statistics {
  private Statistics() {}

  /** Returns the median of a value of the results, which must not be empty. */
  static <T> double median(List<T> results, ToDoubleFunction<T> value) {
    double[] values = results.stream().mapToDouble(value).toArray();
    Arrays.sort(values);
    return values[values.length / 2];
  }

  /** Returns the maximum of a value of the results, or 0 if there are none. */
  static <T> double max(List<T> results, ToDoubleFunction<T> value) {
    return results.stream().mapToDouble(value).max().orElse(0);
  }
}
