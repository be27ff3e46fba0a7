package org.cowslipmoor.core.range;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The assignment of keys to targets as of one decision of the coordinator. Immutable. */
public final class RangeTable {
  private static final RangeTable EMPTY = new RangeTable(0, 0, ImmutableMap.of());

  private final long version;
  private final long lastFence;
  private final ImmutableMap<String, ImmutableList<RangeEntry>> byService;

  private RangeTable(
      long version, long lastFence, ImmutableMap<String, ImmutableList<RangeEntry>> byService) {
    this.version = version;
    this.lastFence = lastFence;
    this.byService = byService;
  }

  /** Returns the table in which no key has an owner. */
  public static RangeTable empty() {
    return EMPTY;
  }

  /**
   * Creates a table from its entries.
   *
   * @param version number of the decision; larger than that of every earlier decision
   * @param lastFence the largest fence assigned so far, not less than that of any entry
   * @param entries the entries, in any order
   * @throws IllegalArgumentException if two entries share a key, or an entry's fence is larger than
   *     {@code lastFence}
   */
  public static RangeTable of(long version, long lastFence, Iterable<RangeEntry> entries) {
    Map<String, List<RangeEntry>> lists = new TreeMap<>();
    for (RangeEntry e : entries) {
      checkArgument(
          e.fence() <= lastFence,
          "entry's fence %s is larger than lastFence %s",
          e.fence(),
          lastFence);
      lists.computeIfAbsent(e.service(), unused -> new ArrayList<>()).add(e);
    }
    ImmutableMap.Builder<String, ImmutableList<RangeEntry>> byService = ImmutableMap.builder();
    lists.forEach((service, list) -> byService.put(service, sorted(list)));
    return new RangeTable(version, lastFence, byService.buildOrThrow());
  }

  /** Returns the number of the decision. */
  public long version() {
    return version;
  }

  /** Returns the largest fence assigned so far. */
  public long lastFence() {
    return lastFence;
  }

  /** Returns all entries, by service and key. */
  public ImmutableList<RangeEntry> entries() {
    ImmutableList.Builder<RangeEntry> all = ImmutableList.builder();
    byService.values().forEach(all::addAll);
    return all.build();
  }

  /** Returns the entries of a service in the order of their keys. */
  public ImmutableList<RangeEntry> entries(String service) {
    return byService.getOrDefault(service, ImmutableList.of());
  }

  /** Returns the entry that covers a key; empty when the key has no owner. */
  public Optional<RangeEntry> find(String service, int key) {
    ImmutableList<RangeEntry> list = entries(service);
    int low = 0;
    int high = list.size() - 1;
    while (low <= high) {
      int middle = (low + high) >>> 1;
      RangeEntry e = list.get(middle);
      if (e.range().contains(key)) {
        return Optional.of(e);
      }
      if (key < e.range().from()) {
        high = middle - 1;
      } else {
        low = middle + 1;
      }
    }
    return Optional.empty();
  }

  private static ImmutableList<RangeEntry> sorted(List<RangeEntry> list) {
    ImmutableList<RangeEntry> result =
        ImmutableList.sortedCopyOf(Comparator.comparingInt(e -> e.range().from()), list);
    for (int i = 1; i < result.size(); i++) {
      RangeEntry before = result.get(i - 1);
      RangeEntry after = result.get(i);
      checkArgument(
          before.range().to() < after.range().from(),
          "entries must not share keys, but %s and %s do",
          before,
          after);
    }
    return result;
  }
}
