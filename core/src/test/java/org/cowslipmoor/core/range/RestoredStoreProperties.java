package org.cowslipmoor.core.range;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipmoor.core.fleet.MemberList;

/** Properties of ownership and membership with a store that comes back from an older copy. */
final class RestoredStoreProperties {
  private static final long NANOS_PER_MILLI = RangeSimulation.NANOS_PER_MILLI;
  private static final int RESTORATIONS = 5;
  private static final ImmutableSet<String> MEMBERS =
      ImmutableSet.of("host0", "host1", "host2", "host3", "host4");

  /** What fails together with the store. */
  private enum Failure {
    NONE,
    COORDINATOR_LOST,
    HALF_CUT_OFF,
    TWICE,
    ALL_RECORDS_LOST,
    LATE_RESPONSES,
    REPORTS_LOST
  }

  private final List<String> violations = new ArrayList<>();

  /** Number of violations of exclusive ownership in all runs. */
  private int ownershipViolations;

  private ImmutableSet<String> members;
  private RangeSimulation simulation;
  private SplittableRandom random;

  @Property(tries = 60, seed = "20261206")
  void keysHaveOneOwnerAndMembersStay(@ForAll long seed) {
    run(seed, host -> {});

    assertThat(violations, is(empty()));
    assertThat(simulation.advanceUntilAllServed(15_000 * NANOS_PER_MILLI), is(true));
  }

  /** Verifies that the check finds coordinators that take the restored store's table as newest. */
  @Property(tries = 1, seed = "20261206")
  void coordinatorsThatTrustTheOlderTableAreDetected() {
    for (long seed = 0; seed < 10; seed++) {
      run(seed, host -> host.trustsRestoredTable = true);
    }
    assertThat(ownershipViolations, greaterThan(0));
  }

  /** Verifies that the check finds hosts that compare revisions without the era. */
  @Property(tries = 1, seed = "20261206")
  void hostsThatIgnoreTheEraAreDetected() {
    for (long seed = 0; seed < 10; seed++) {
      run(seed, host -> host.ignoresEra = true);
    }
    assertThat(ownershipViolations, greaterThan(0));
  }

  private void run(long seed, Consumer<FakeHost> setup) {
    random = new SplittableRandom(seed);
    simulation = new RangeSimulation(seed, 5, 0.05, 1);
    simulation.exchangesKnowledge = true;
    members = MEMBERS;
    simulation.store.setMembers(MemberList.of(members));
    setup.accept(simulation.leader());
    while (simulation.runningHosts().size() < MEMBERS.size()) {
      setup.accept(simulation.addHost());
    }
    simulation.run(3_000 * NANOS_PER_MILLI);
    for (int i = 0; i < RESTORATIONS; i++) {
      simulation.store.takeCopy();
      if (random.nextInt(3) == 0) {
        admit(setup);
      }
      for (int j = random.nextInt(4); j >= 0; j--) {
        changeTargets();
        simulation.run(random.nextLong(2_500) * NANOS_PER_MILLI);
      }
      final long fence = simulation.store.table().lastFence();
      comeBackOlder(Failure.values()[random.nextInt(Failure.values().length)], setup);
      simulation.run((500 + random.nextLong(16_000)) * NANOS_PER_MILLI);
      endFaults();
      simulation.run(8_000 * NANOS_PER_MILLI);
      check(fence);
    }
    simulation.lateProbability = 0;
    for (int i = 0; i < 3; i++) {
      simulation.addTarget("last" + i);
    }
    simulation.run(30_000 * NANOS_PER_MILLI);
    ownershipViolations += simulation.violations().size();
    violations.addAll(simulation.violations());
  }

  /** Admits a host, which the store's copy doesn't list. */
  private void admit(Consumer<FakeHost> setup) {
    FakeHost host = simulation.addHost();
    setup.accept(host);
    members = ImmutableSet.copyOf(Sets.union(members, ImmutableSet.of(host.id())));
    simulation.store.setMembers(MemberList.of(members));
    simulation.run(100 * NANOS_PER_MILLI);
  }

  private void changeTargets() {
    List<String> ids = simulation.targets.keySet().stream().sorted().toList();
    String id = ids.get(random.nextInt(ids.size()));
    switch (random.nextInt(6)) {
      case 0 -> simulation.drain(id);
      case 1 -> simulation.restart(id);
      case 2 -> simulation.crash(id);
      case 3 -> simulation.addTarget("new" + simulation.targets.size());
      case 4 -> {
        int from = random.nextInt(KeyRange.LAST_KEY - 2_000);
        simulation.load = TestLoads.withHotRange(new KeyRange(from, from + 1_999), 0.6);
      }
      default -> {
        // Nothing is written to the store but renewals.
      }
    }
  }

  private void comeBackOlder(Failure failure, Consumer<FakeHost> setup) {
    FakeStore store = simulation.store;
    long outageNanos = (100 + random.nextLong(1_000)) * NANOS_PER_MILLI;
    switch (failure) {
      case COORDINATOR_LOST -> {
        simulation.coordinator().ifPresent(FakeHost::stop);
        setup.accept(simulation.addHost());
      }
      case HALF_CUT_OFF -> {
        List<FakeHost> hosts = simulation.runningHosts();
        hosts.subList(0, hosts.size() / 2).forEach(store::disconnect);
      }
      case LATE_RESPONSES -> {
        store.latencyNanos = 300 * NANOS_PER_MILLI;
        store.lateCallProbability = 0.2;
        store.lostResponseProbability = 0.1;
        simulation.run(1_000 * NANOS_PER_MILLI);
      }
      case REPORTS_LOST -> simulation.exchangeLossProbability = 0.6;
      default -> {
        // The store alone fails.
      }
    }
    store.makeUnavailable(outageNanos, random.nextBoolean());
    simulation.run(outageNanos);
    if (failure == Failure.ALL_RECORDS_LOST) {
      store.comeBackEmpty();
    } else {
      store.comeBackOlder();
    }
    if (failure == Failure.TWICE) {
      simulation.run(random.nextLong(6_000) * NANOS_PER_MILLI);
      store.comeBackOlder();
    }
  }

  private void endFaults() {
    simulation.runningHosts().forEach(simulation.store::reconnect);
    simulation.store.latencyNanos = 2 * NANOS_PER_MILLI;
    simulation.store.lateCallProbability = 0;
    simulation.store.lostResponseProbability = 0;
    simulation.exchangeLossProbability = 0;
  }

  private void check(long fenceBefore) {
    if (simulation.store.table().lastFence() <= fenceBefore) {
      violations.add("the last fence went back to " + simulation.store.table().lastFence());
    }
    if (!simulation.store.members().members().containsAll(members)) {
      violations.add("the members are now " + simulation.store.members().members());
    }
    for (FakeHost host : simulation.runningHosts()) {
      if (!host.members().members().containsAll(members)) {
        violations.add("a host knows as members " + host.members().members());
      }
    }
  }
}
