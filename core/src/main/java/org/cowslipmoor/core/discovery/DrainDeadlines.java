package org.cowslipmoor.core.discovery;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Bounds how long a draining target still receives requests for the keys that it owns, until they
 * have another owner. The time counts from when the host last knew that the target was not
 * draining, since the target may have announced it right afterwards: the age of the host's state
 * and the time of use must not add up. Not thread-safe; times are nanoseconds.
 */
public final class DrainDeadlines {
  /** Maximum time from an announcement until the last request; the platform allows 2 s. */
  static final long MAX_USE_NANOS = 1_600_000_000L;

  private final Map<String, Long> deadlines = new HashMap<>();
  private long confirmedAt;

  private DrainDeadlines(long confirmedAt) {
    this.confirmedAt = confirmedAt;
  }

  /**
   * Creates the deadlines of a host that knows no target; it uses no target that drains already.
   */
  public static DrainDeadlines create(long now) {
    return new DrainDeadlines(now - MAX_USE_NANOS);
  }

  /** Records that the targets of the last call of {@link #onTargets} were current at a time. */
  public void onConfirmed(long at) {
    confirmedAt = at;
  }

  /** Records the registered targets; must be called before that state is recorded as confirmed. */
  public void onTargets(Collection<DiscoveredTarget> targets) {
    deadlines
        .keySet()
        .retainAll(
            targets.stream()
                .filter(DiscoveredTarget::draining)
                .map(DiscoveredTarget::id)
                .collect(Collectors.toSet()));
    targets.stream()
        .filter(DiscoveredTarget::draining)
        .forEach(t -> deadlines.putIfAbsent(t.id(), confirmedAt + MAX_USE_NANOS));
  }

  /** Returns whether a target may receive requests for the keys that it owns. */
  public boolean isUsable(DiscoveredTarget target, long now) {
    return !target.draining() || now - deadlines.getOrDefault(target.id(), now) < 0;
  }
}
