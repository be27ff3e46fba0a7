package org.cowslipmoor.core.fleet;

import java.util.Comparator;

/**
 * A place in the store's history. The store's era rises each time the store comes back from an
 * older copy; revisions are given out again then, so they are comparable within one era only.
 *
 * @param era the store's era; 0 for a store that names none
 * @param revision the store's revision in that era
 */
public record StorePlace(long era, long revision) implements Comparable<StorePlace> {
  /** The place before all changes. */
  public static final StorePlace START = new StorePlace(0, 0);

  private static final Comparator<StorePlace> ORDER =
      Comparator.comparingLong(StorePlace::era).thenComparingLong(StorePlace::revision);

  @Override
  public int compareTo(StorePlace other) {
    return ORDER.compare(this, other);
  }

  /** Returns whether this place is later than another one. */
  public boolean isAfter(StorePlace other) {
    return compareTo(other) > 0;
  }

  /** Returns the later one of two places. */
  public static StorePlace later(StorePlace a, StorePlace b) {
    return a.isAfter(b) ? a : b;
  }
}
