package org.cowslipmoor.core.range;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cowslipmoor.core.discovery.DiscoveredTarget;

/** One run of a target: what it holds, and the highest fence that it has seen of each range. */
final class FakeTarget {
  private static final double SLOW_CLOCK = 1.02;

  /** The entry by which the store knows it; that of its former life for a while. */
  DiscoveredTarget announced;

  /** Where it listens. */
  final String address;

  boolean running = true;

  boolean announcing = true;
  private final double holdFactor;
  private final List<Held> held = new ArrayList<>();
  private final Map<KeyRange, Long> seen = new HashMap<>();

  /**
   * Keys that are held under a fence.
   *
   * @param until when the hold ends, in nanoseconds
   * @param counts whether the rules take notice of it
   */
  record Held(KeyRange range, long fence, long until, boolean counts) {}

  /**
   * Creates a target that holds nothing.
   *
   * @param holdFactor times longer that it holds keys than they were granted, but for its clock
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

  /** Returns what it holds of a range, as far as the rules take notice of it. */
  List<Held> held(KeyRange range, long now) {
    return running
        ? held.stream()
            .filter(h -> h.counts() && h.until() > now && overlap(h.range(), range))
            .toList()
        : List.of();
  }

  /**
   * Takes a grant that arrived at a time. Earlier ones that last longer go on to hold, also those
   * under lower fences.
   */
  GrantOutcome grant(
      KeyRange range, long fence, long holdNanos, long arrival, long now, boolean counts) {
    if (seen.entrySet().stream()
        .anyMatch(s -> s.getValue() > fence && overlap(s.getKey(), range))) {
      return GrantOutcome.FENCED;
    }
    long until = lapse(holdNanos, arrival);
    held.removeIf(h -> h.until() <= now);
    if (until > now) {
      held.add(new Held(range, fence, until, counts));
    }
    seen.merge(range, fence, Math::max);
    return GrantOutcome.ACCEPTED;
  }

  /** Returns when a grant that arrived at a time ends. */
  long lapse(long holdNanos, long arrival) {
    return arrival + (long) (holdNanos * SLOW_CLOCK * holdFactor);
  }

  void release(KeyRange range, long fence) {
    end(range, unused -> true);
    seen.merge(range, fence, Math::max);
  }

  private void end(KeyRange range, Predicate<Held> ends) {
    List<Held> kept = new ArrayList<>();
    held.forEach(h -> kept.addAll(ends.test(h) ? without(h, range) : List.of(h)));
    held.clear();
    held.addAll(kept);
  }

  private static List<Held> without(Held h, KeyRange range) {
    List<Held> parts = new ArrayList<>();
    if (h.range().from() < range.from()) {
      int to = Math.min(h.range().to(), range.from() - 1);
      parts.add(new Held(new KeyRange(h.range().from(), to), h.fence(), h.until(), h.counts()));
    }
    if (h.range().to() > range.to()) {
      int from = Math.max(h.range().from(), range.to() + 1);
      parts.add(new Held(new KeyRange(from, h.range().to()), h.fence(), h.until(), h.counts()));
    }
    return parts;
  }

  private static boolean overlap(KeyRange a, KeyRange b) {
    return a.from() <= b.to() && b.from() <= a.to();
  }
}
