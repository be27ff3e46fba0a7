package org.cowslipmoor.core.range;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;

/** Counts a host's requests by service and key. Not thread-safe. */
public final class KeyCounts {
  private final Map<String, Map<Integer, Integer>> counts = new HashMap<>();

  /** Counts a request for a key. */
  public void count(String service, int key) {
    counts.computeIfAbsent(service, unused -> new HashMap<>()).merge(key, 1, Integer::sum);
  }

  /** Returns the counts since the last call, by service and key, and resets them. */
  public ImmutableMap<String, ImmutableMap<Integer, Integer>> drain() {
    ImmutableMap.Builder<String, ImmutableMap<Integer, Integer>> drained = ImmutableMap.builder();
    counts.forEach((service, keys) -> drained.put(service, ImmutableMap.copyOf(keys)));
    counts.clear();
    return drained.buildOrThrow();
  }
}
