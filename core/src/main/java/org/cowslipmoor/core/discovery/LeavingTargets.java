package org.cowslipmoor.core.discovery;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Remembers which targets have stated that they are leaving. A statement concerns one incarnation
 * and is never taken back: neither a later entry of the store nor a late message of another host
 * makes the target usable again. Not thread-safe; times are nanoseconds.
 */
public final class LeavingTargets {
  /**
   * Time for which the statement of a target that is not registered is kept: its entry may be
   * missing only while the store is unavailable.
   */
  static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

  private final Map<TargetIncarnation, Statement> statements = new HashMap<>();

  private static final class Statement {
    final long learntAt;
    long lastRegisteredAt;

    Statement(long learntAt) {
      this.learntAt = learntAt;
      this.lastRegisteredAt = learntAt;
    }
  }

  private LeavingTargets() {}

  /** Creates an instance that knows no leaving target. */
  public static LeavingTargets create() {
    return new LeavingTargets();
  }

  /** Records that a target is leaving; returns whether this was not known before. */
  public boolean onLeaving(TargetIncarnation target, long now) {
    return statements.putIfAbsent(target, new Statement(now)) == null;
  }

  /**
   * Records the registered targets, and forgets those that have not been registered for a long
   * time.
   */
  public void onTargets(Collection<DiscoveredTarget> targets, long now) {
    Set<TargetIncarnation> registered =
        targets.stream().map(DiscoveredTarget::incarnation).collect(Collectors.toSet());
    statements.forEach(
        (target, statement) -> {
          if (registered.contains(target)) {
            statement.lastRegisteredAt = now;
          }
        });
    statements.values().removeIf(s -> now - s.lastRegisteredAt >= RETENTION_NANOS);
  }

  /** Returns the targets that are leaving. */
  public ImmutableSet<TargetIncarnation> targets() {
    return ImmutableSet.copyOf(statements.keySet());
  }

  /** Returns the time at which this host first learnt that a target is leaving, if it has. */
  public OptionalLong learntAt(TargetIncarnation target) {
    Statement statement = statements.get(target);
    return statement == null ? OptionalLong.empty() : OptionalLong.of(statement.learntAt);
  }
}
