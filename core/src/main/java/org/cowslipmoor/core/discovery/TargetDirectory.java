package org.cowslipmoor.core.discovery;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Indexes the registered targets, in order of their ids. Immutable. */
public final class TargetDirectory {
  private static final TargetDirectory EMPTY = of(List.of());

  private final ImmutableMap<String, DiscoveredTarget> byId;
  private final ImmutableMap<String, ImmutableList<DiscoveredTarget>> byService;
  private final ImmutableMap<String, ImmutableList<DiscoveredTarget>> usableByService;

  private TargetDirectory(
      ImmutableMap<String, DiscoveredTarget> byId,
      ImmutableMap<String, ImmutableList<DiscoveredTarget>> byService,
      ImmutableMap<String, ImmutableList<DiscoveredTarget>> usableByService) {
    this.byId = byId;
    this.byService = byService;
    this.usableByService = usableByService;
  }

  /** Returns the directory that lists no target. */
  public static TargetDirectory empty() {
    return EMPTY;
  }

  /**
   * Creates a directory.
   *
   * @throws IllegalArgumentException if two targets have the same id
   */
  public static TargetDirectory of(Iterable<DiscoveredTarget> targets) {
    List<DiscoveredTarget> sorted = new ArrayList<>();
    targets.forEach(sorted::add);
    sorted.sort(Comparator.comparing(DiscoveredTarget::id));
    ImmutableMap.Builder<String, DiscoveredTarget> byId = ImmutableMap.builder();
    sorted.forEach(t -> byId.put(t.id(), t));
    return new TargetDirectory(
        byId.buildOrThrow(),
        groupByService(sorted),
        groupByService(sorted.stream().filter(t -> !t.draining()).toList()));
  }

  private static ImmutableMap<String, ImmutableList<DiscoveredTarget>> groupByService(
      List<DiscoveredTarget> targets) {
    Map<String, ImmutableList.Builder<DiscoveredTarget>> groups = new HashMap<>();
    for (DiscoveredTarget t : targets) {
      groups.computeIfAbsent(t.service(), unused -> ImmutableList.builder()).add(t);
    }
    return ImmutableMap.copyOf(Maps.transformValues(groups, ImmutableList.Builder::build));
  }

  /** Returns this directory with the given targets, and those that drain already, as draining. */
  public TargetDirectory withDraining(Set<TargetIncarnation> draining) {
    if (draining.isEmpty()) {
      return this;
    }
    return of(
        byId.values().stream()
            .map(t -> draining.contains(t.incarnation()) ? t.asDraining() : t)
            .toList());
  }

  /** Returns all targets by id, including draining ones. */
  public ImmutableMap<String, DiscoveredTarget> all() {
    return byId;
  }

  /** Returns the targets of a service, including draining ones. */
  public ImmutableList<DiscoveredTarget> registered(String service) {
    return byService.getOrDefault(service, ImmutableList.of());
  }

  /** Returns the targets of a service that may receive new requests. */
  public ImmutableList<DiscoveredTarget> usable(String service) {
    return usableByService.getOrDefault(service, ImmutableList.of());
  }

  /** Returns the target if it is registered under exactly this incarnation. */
  public Optional<DiscoveredTarget> find(TargetIncarnation incarnation) {
    DiscoveredTarget target = byId.get(incarnation.id());
    return target != null && target.incarnation().equals(incarnation)
        ? Optional.of(target)
        : Optional.empty();
  }

  /** Returns whether this incarnation of a target is registered and may receive new requests. */
  public boolean isUsable(TargetIncarnation incarnation) {
    return find(incarnation).filter(t -> !t.draining()).isPresent();
  }
}
