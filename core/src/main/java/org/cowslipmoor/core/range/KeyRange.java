package org.cowslipmoor.core.range;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * An inclusive range of consecutive keys.
 *
 * @param from the first key
 * @param to the last key, not less than {@code from}
 */
public record KeyRange(int from, int to) {
  /** The largest key of a service; the smallest is 0. */
  public static final int LAST_KEY = 65_535;

  /** All keys of a service. */
  public static final KeyRange ALL = new KeyRange(0, LAST_KEY);

  /** Checks the bounds. */
  public KeyRange {
    checkArgument(
        0 <= from && from <= to && to <= LAST_KEY,
        "key range must lie within 0 to %s, but is %s to %s",
        LAST_KEY,
        from,
        to);
  }

  /** Returns the number of keys. */
  public int size() {
    return to - from + 1;
  }

  /** Returns whether the key lies in the range. */
  public boolean contains(int key) {
    return from <= key && key <= to;
  }

  /** Returns whether all keys of the other range lie in this one. */
  public boolean encloses(KeyRange other) {
    return from <= other.from && other.to <= to;
  }
}
