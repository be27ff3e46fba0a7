package org.cowslipmoor.core.range;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Finds keys that two running targets hold, and keys that a target takes under a fence which is not
 * above those of other targets. Looks at each grant that is taken, since nothing else adds holders,
 * and at each of its keys.
 */
final class OwnerCheck {
  private final Had[] highest = new Had[KeyRange.ALL.size()];

  /** What is wrong, in the order in which it was found. */
  final List<String> violations = new ArrayList<>();

  /** The highest fence under which a target had a key. */
  private record Had(String id, KeyRange range, long fence) {

    /** Tells whether another target took the same grant, which the rules don't count. */
    boolean isSameGrant(KeyRange other, long otherFence) {
      return fence == otherFence && range.equals(other);
    }
  }

  /** Takes the news that a target holds a range from now on. */
  void onTaken(FakeTarget taker, KeyRange range, long fence, long now, Collection<FakeTarget> all) {
    for (FakeTarget other : all) {
      if (other != taker) {
        for (FakeTarget.Held h : other.held(range, now)) {
          violations.add(
              String.format(
                  "%d ms: %s takes %s under %d while %s holds %s under %d for %d ms more",
                  now / VirtualTime.MS,
                  taker.id(),
                  range,
                  fence,
                  other.id(),
                  h.range(),
                  h.fence(),
                  (h.until() - now) / VirtualTime.MS));
        }
      }
    }
    checkFence(taker.id(), range, fence, now);
  }

  private void checkFence(String id, KeyRange range, long fence, long now) {
    Had before = null;
    for (int key = range.from(); key <= range.to(); key++) {
      Had had = highest[key];
      if (had == null || had.fence() < fence) {
        highest[key] = new Had(id, range, fence);
      } else if (!had.id().equals(id) && !had.isSameGrant(range, fence)) {
        before = had;
      }
    }
    if (before != null) {
      violations.add(
          String.format(
              "%d ms: %s takes %s under %d, but %s had keys of it under %d",
              now / VirtualTime.MS, id, range, fence, before.id(), before.fence()));
    }
  }
}
