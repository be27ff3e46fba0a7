package org.cowslipmoor.core.range;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cowslipmoor.core.discovery.DiscoveredTarget;

/**
 * A simulated incarnation of a target: the ranges that it holds, and the highest fence that it has
 * seen for each range.
 */
final class FakeTarget {
  private static final double CLOCK_SLOWDOWN = 1.02;

  /** The target's entry in the store, which may temporarily be that of its former incarnation. */
  DiscoveredTarget announced;

  /** The address at which the target listens. */
  final String address;

  boolean running = true;

  boolean announcing = true;
  private final double holdFactor;
  private final List<Held> held = new ArrayList<>();
  private final Map<KeyRange, Long> highestFences = new HashMap<>();

  /**
   * A range that is held under a fence.
   *
   * @param until time at which the hold ends, in nanoseconds
   * @param isChecked whether the hold is subject to the ownership check
   */
  record Held(KeyRange range, long fence, long until, boolean isChecked) {}

  /**
   * Creates a target that holds nothing.
   *
   * @param holdFactor ratio of the time for which it holds keys, by its own clock, to the time for
   *     which they were granted
   */
  FakeTarget(DiscoveredTarget announced, String address, double holdFactor) {
    this.announced = announced;
    this.address = address;
    this.holdFactor = holdFactor;
  }

  String id() {
    return announced.id();
  }

  boolean holds(int key, long now) {
    return running && held.stream().anyMatch(h -> h.range().contains(key) && h.until() > now);
  }

  /** Returns the holds that overlap a range and are subject to the ownership check. */
  List<Held> held(KeyRange range, long now) {
    return running
        ? held.stream()
            .filter(h -> h.isChecked() && h.until() > now && overlap(h.range(), range))
            .toList()
        : List.of();
  }

  /**
   * Executes a grant that arrived at a given time. Earlier grants that last longer remain valid,
   * also those under lower fences.
   */
  GrantOutcome grant(
      KeyRange range, long fence, long holdNanos, long arrival, long now, boolean isChecked) {
    if (highestFences.entrySet().stream()
        .anyMatch(s -> s.getValue() > fence && overlap(s.getKey(), range))) {
      return GrantOutcome.FENCED;
    }
    long until = expiry(holdNanos, arrival);
    held.removeIf(h -> h.until() <= now);
    if (until > now) {
      held.add(new Held(range, fence, until, isChecked));
    }
    highestFences.merge(range, fence, Math::max);
    return GrantOutcome.ACCEPTED;
  }

  /** Returns the time at which a grant that arrived at a given time expires. */
  long expiry(long holdNanos, long arrival) {
    return arrival + (long) (holdNanos * CLOCK_SLOWDOWN * holdFactor);
  }

  void release(KeyRange range, long fence) {
    removeHolds(range, unused -> true);
    highestFences.merge(range, fence, Math::max);
  }

  private void removeHolds(KeyRange range, Predicate<Held> ends) {
    List<Held> kept = new ArrayList<>();
    held.forEach(h -> kept.addAll(ends.test(h) ? without(h, range) : List.of(h)));
    held.clear();
    held.addAll(kept);
  }

  private static List<Held> without(Held h, KeyRange range) {
    List<Held> parts = new ArrayList<>();
    if (h.range().from() < range.from()) {
      int to = Math.min(h.range().to(), range.from() - 1);
      parts.add(new Held(new KeyRange(h.range().from(), to), h.fence(), h.until(), h.isChecked()));
    }
    if (h.range().to() > range.to()) {
      int from = Math.max(h.range().from(), range.to() + 1);
      parts.add(new Held(new KeyRange(from, h.range().to()), h.fence(), h.until(), h.isChecked()));
    }
    return parts;
  }

  private static boolean overlap(KeyRange a, KeyRange b) {
    return a.from() <= b.to() && b.from() <= a.to();
  }
}
