package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides when items that are missing in a store that came back from an older copy count as
 * deleted. Does no I/O; times are nanoseconds of the host's clock. Not thread-safe.
 *
 * <p>What the store lost is written again by its authors, and only they can delete it. Periods
 * begin when this host learns of the new era, which is later than the truth and so on the safe
 * side. They begin again when the store comes back older once more.
 */
public final class LostItems {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Time after which a target that has not written its entry again is gone; it takes 2 s. */
  static final long TARGET_NANOS = 5 * NANOS_PER_SECOND;

  /**
   * Time after which an evacuation that was not written again has ended. It is longer than that of
   * targets, since an evacuation that ends early sends requests into the data centre.
   */
  static final long EVACUATION_NANOS = 10 * NANOS_PER_SECOND;

  private final Map<String, Kind> missing = new HashMap<>();
  private long eraBeganAt;

  /** What an item is, which decides when its absence in a new era counts. */
  public enum Kind {
    /** Bound to a lease, which the new era doesn't have: counts as deleted at once. */
    LEASED,
    /** The entry of a target. */
    TARGET,
    /** The operator's request to evacuate a data centre. */
    EVACUATION,
    /** Stays until it is seen in the new era. */
    PERMANENT
  }

  private LostItems() {}

  /** Creates an instance for a host that knows of no new era. */
  public static LostItems create() {
    return new LostItems();
  }

  /** Records that a new era of the store has begun. */
  public void onEra(long now) {
    eraBeganAt = now;
  }

  /**
   * Records that an item of the former era is missing in the new one; returns whether it counts as
   * deleted at once.
   */
  public boolean onMissing(String key, Kind kind) {
    if (kind == Kind.LEASED) {
      return true;
    }
    missing.put(key, kind);
    return false;
  }

  /** Records that an item was seen in the new era, written or deleted. */
  public void onSeen(String key) {
    missing.remove(key);
  }

  /** Returns the number of items that are missing and don't count as deleted. */
  public int size() {
    return missing.size();
  }

  /** Removes and returns the items that count as deleted from now on. */
  public ImmutableSet<String> removeExpired(long now) {
    if (missing.isEmpty()) {
      return ImmutableSet.of();
    }
    ImmutableSet<String> expired =
        missing.entrySet().stream()
            .filter(e -> isExpired(e.getValue(), now))
            .map(Map.Entry::getKey)
            .collect(ImmutableSet.toImmutableSet());
    missing.keySet().removeAll(expired);
    return expired;
  }

  private boolean isExpired(Kind kind, long now) {
    return switch (kind) {
      case LEASED -> true;
      case TARGET -> now - eraBeganAt >= TARGET_NANOS;
      case EVACUATION -> now - eraBeganAt >= EVACUATION_NANOS;
      case PERMANENT -> false;
    };
  }
}
