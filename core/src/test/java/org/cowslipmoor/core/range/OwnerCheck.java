package org.cowslipmoor.core.range;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Detects keys that two running targets hold at the same time, and keys that a target accepts under
 * a fence that is not higher than those of other targets. Checks every key of each accepted grant,
 * since nothing else adds a holder.
 */
final class OwnerCheck {
  private final HighestFence[] highest = new HighestFence[KeyRange.ALL.size()];

  /** The violations in the order of their detection. */
  final List<String> violations = new ArrayList<>();

  /** The highest fence under which a key was held, and its holder. */
  private record HighestFence(String id, KeyRange range, long fence) {

    /** Returns whether another target accepted the same grant, which is no violation. */
    boolean isSameGrant(KeyRange other, long otherFence) {
      return fence == otherFence && range.equals(other);
    }
  }

  /** Checks a grant by which a target holds a range from now on. */
  void onAccepted(
      FakeTarget holder, KeyRange range, long fence, long now, Collection<FakeTarget> all) {
    for (FakeTarget other : all) {
      if (other != holder) {
        for (FakeTarget.Held h : other.held(range, now)) {
          violations.add(
              String.format(
                  "%d ms: %s accepts %s under fence %d while %s holds %s under fence %d for %d ms",
                  now / VirtualTime.NANOS_PER_MILLI,
                  holder.id(),
                  range,
                  fence,
                  other.id(),
                  h.range(),
                  h.fence(),
                  (h.until() - now) / VirtualTime.NANOS_PER_MILLI));
        }
      }
    }
    checkFence(holder.id(), range, fence, now);
  }

  private void checkFence(String id, KeyRange range, long fence, long now) {
    HighestFence conflicting = null;
    for (int key = range.from(); key <= range.to(); key++) {
      HighestFence highestOfKey = highest[key];
      if (highestOfKey == null || highestOfKey.fence() < fence) {
        highest[key] = new HighestFence(id, range, fence);
      } else if (!highestOfKey.id().equals(id) && !highestOfKey.isSameGrant(range, fence)) {
        conflicting = highestOfKey;
      }
    }
    if (conflicting != null) {
      violations.add(
          String.format(
              "%d ms: %s accepts %s under fence %d, but %s held some of its keys under fence %d",
              now / VirtualTime.NANOS_PER_MILLI,
              id,
              range,
              fence,
              conflicting.id(),
              conflicting.fence()));
    }
  }
}
