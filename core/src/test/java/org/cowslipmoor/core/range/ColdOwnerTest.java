package org.cowslipmoor.core.range;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.junit.jupiter.api.Test;

/** Guards against keys that are given to cold targets, whose requests then wait. */
final class ColdOwnerTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long TICK_NANOS = 50 * NANOS_PER_MILLI;
  private static final String SERVICE = "stock";
  private static final DiscoveredTarget OWNER = target("t0", 1, false);
  private static final DiscoveredTarget COLD = target("t1", 1, false);
  private static final DiscoveredTarget WARM = target("t2", 1, false);

  private final RangeTiming timing = RangeTiming.standard(10_000, 1_500, 600);

  private static DiscoveredTarget target(String id, long startedAt, boolean draining) {
    return new DiscoveredTarget(
        new TargetIncarnation(id, startedAt), SERVICE, id + ":1", "cairo", 4, draining, 0);
  }

  private static RangeTable ownedByOwner() {
    return RangeTable.of(
        1,
        1,
        List.of(
            new RangeEntry(SERVICE, KeyRange.ALL, OWNER.incarnation(), OWNER.address(), 1, null)));
  }

  /** Returns the ids of the targets that own keys some seconds after the beginning of a term. */
  private Set<String> owners(
      RangeTable stored, List<DiscoveredTarget> targets, Set<DiscoveredTarget> cold) {
    RangeInputs inputs =
        new RangeInputs(
            ImmutableSet.of(SERVICE),
            TargetDirectory.of(targets),
            unused -> ServiceLoad.uniform(),
            true,
            cold.stream()
                .map(DiscoveredTarget::incarnation)
                .collect(ImmutableSet.toImmutableSet()));
    RangeCoordinator coordinator = RangeCoordinator.begin(stored, timing, RangeListener.NONE, 0);
    RangeTable written = stored;
    for (long now = 0; now < 20_000 * NANOS_PER_MILLI; now += TICK_NANOS) {
      for (RangeAction action : coordinator.tick(now, inputs)) {
        switch (action) {
          case RangeAction.Write a -> {
            written = a.table();
            coordinator.onWritten(a.table());
          }
          case RangeAction.Release a -> coordinator.onRelease(now, a.entry(), true, null);
          case RangeAction.Grant a -> coordinator.onGrant(now, a.entry(), GrantOutcome.ACCEPTED);
        }
      }
    }
    Set<String> owners = new TreeSet<>();
    written.entries().forEach(e -> owners.add(e.owner().id()));
    return owners;
  }

  @Test
  void coldTargetGetsNoKeysOfNewServiceWhileAnotherCanTakeThem() {
    assertThat(owners(RangeTable.empty(), List.of(COLD, WARM), Set.of(COLD)), contains(WARM.id()));
  }

  @Test
  void coldTargetsGetTheKeysIfAllAreCold() {
    assertThat(
        owners(RangeTable.empty(), List.of(COLD, WARM), Set.of(COLD, WARM)),
        containsInAnyOrder(COLD.id(), WARM.id()));
  }

  @Test
  void keysAreNotMovedToTargetsThatAreStillCold() {
    assertThat(owners(ownedByOwner(), List.of(OWNER, COLD), Set.of(COLD)), contains(OWNER.id()));
    assertThat(
        owners(ownedByOwner(), List.of(OWNER, COLD), Set.of()),
        containsInAnyOrder(OWNER.id(), COLD.id()));
  }

  @Test
  void keysOfDrainingOwnerGoToWarmTargets() {
    DiscoveredTarget draining = target("t0", 1, true);

    assertThat(
        owners(ownedByOwner(), List.of(draining, COLD, WARM), Set.of(COLD)), contains(WARM.id()));
    assertThat(owners(ownedByOwner(), List.of(draining, COLD), Set.of(COLD)), contains(COLD.id()));
  }

  /** Nobody else may hold the keys of an owner that has restarted at its address. */
  @Test
  void restartedOwnerKeepsItsKeysAlthoughItIsCold() {
    DiscoveredTarget restarted = target("t0", 2, false);

    assertThat(owners(ownedByOwner(), List.of(restarted, WARM), Set.of(restarted)), contains("t0"));
  }
}
