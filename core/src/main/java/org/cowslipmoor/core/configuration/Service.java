package org.cowslipmoor.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;

/**
 * A service and its targets.
 *
 * @param name unique name of the service within the setup
 * @param keyed whether each key is owned by one target
 * @param shards number of shards of a keyed service, 1 to 65536; 0 for others
 * @param repeatable whether a request may be executed more than once, unless its caller forbids it
 * @param defaultDeadline time that a request may take when its caller sets no deadline
 * @param maxDeadline longest deadline that a caller may set, at most 10 minutes
 * @param checksGrants whether the targets check fences and expire grants by their own clock
 * @param priority priority of the service's requests under overload
 * @param targets the targets, with unique ids
 * @param homes home data centre of each shard, by shard index; empty for a service without keys
 */
public record Service(
    String name,
    boolean keyed,
    int shards,
    boolean repeatable,
    Duration defaultDeadline,
    Duration maxDeadline,
    boolean checksGrants,
    Priority priority,
    ImmutableList<Target> targets,
    ImmutableList<String> homes) {

  /** The largest number of shards that a service may have. */
  public static final int MAX_SHARDS = 65_536;

  private static final Duration MAX_DEADLINE = Duration.ofMinutes(10);

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if a component is out of range or inconsistent with another
   *     one
   */
  public Service {
    FieldChecks.checkName("service name", name);
    if (keyed) {
      checkArgument(
          shards >= 1 && shards <= MAX_SHARDS,
          "shards of keyed service %s must be 1 to %s, but is %s",
          name,
          MAX_SHARDS,
          shards);
      checkArgument(
          homes.isEmpty() || homes.size() == shards,
          "service %s has %s shards but %s homes",
          name,
          shards,
          homes.size());
    } else {
      checkArgument(shards == 0, "service %s has no keys but %s shards", name, shards);
      checkArgument(homes.isEmpty(), "service %s has no keys but %s homes", name, homes.size());
    }
    checkArgument(
        defaultDeadline.toMillis() >= 1 && defaultDeadline.compareTo(maxDeadline) <= 0,
        "default deadline of service %s must be 1 ms to its maximum of %s ms, but is %s ms",
        name,
        maxDeadline.toMillis(),
        defaultDeadline.toMillis());
    checkArgument(
        maxDeadline.compareTo(MAX_DEADLINE) <= 0,
        "maximum deadline of service %s must be at most %s ms, but is %s ms",
        name,
        MAX_DEADLINE.toMillis(),
        maxDeadline.toMillis());
  }

  /** Returns the target with the given id; takes time linear in the number of targets. */
  public Optional<Target> target(String id) {
    return targets.stream().filter(t -> t.id().equals(id)).findFirst();
  }

  /** Returns a copy of this service with the given targets. */
  public Service withTargets(Iterable<Target> values) {
    return new Service(
        name,
        keyed,
        shards,
        repeatable,
        defaultDeadline,
        maxDeadline,
        checksGrants,
        priority,
        ImmutableList.copyOf(values),
        homes);
  }

  /** Returns a copy of this service with the given home data centres. */
  public Service withHomes(Iterable<String> values) {
    return new Service(
        name,
        keyed,
        shards,
        repeatable,
        defaultDeadline,
        maxDeadline,
        checksGrants,
        priority,
        targets,
        ImmutableList.copyOf(values));
  }
}
