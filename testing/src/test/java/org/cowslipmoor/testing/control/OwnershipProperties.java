package org.cowslipmoor.testing.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** Tests the invariants under random schedules of faults. */
final class OwnershipProperties {

  @Property(tries = 300, seed = "20261204")
  void faultsViolateNoInvariantAndAllShardsAreServedAfterwards(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
      @ForAll @IntRange(min = 1, max = 30) int faults) {
    assertSound(FaultSchedule.run(seed, faults, true, ProtocolMutation.NONE));
  }

  @Property(tries = 200, seed = "20261205")
  void targetsWithoutGrantChecksNeverProcessTheSameShard(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
      @ForAll @IntRange(min = 1, max = 30) int faults) {
    assertSound(FaultSchedule.run(seed, faults, false, ProtocolMutation.NONE));
  }

  private static void assertSound(ControlSimulation simulation) {
    assertThat(simulation.checker().violations(), is(empty()));
    assertThat(
        "shards served after the faults", simulation.checker().served(), is(FaultSchedule.SHARDS));
    for (FakeHost h : simulation.hosts.values()) {
      assertThat(
          "revision of " + h.id, h.highestRevision, is(simulation.checker().acceptedRevision()));
    }
  }
}
