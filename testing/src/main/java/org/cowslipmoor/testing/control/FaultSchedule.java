package org.cowslipmoor.testing.control;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.ConfigurationChange;
import org.cowslipmoor.core.configuration.ConfigurationEditor;
import org.cowslipmoor.core.control.Timing;

/** Runs a simulation with random faults, which may overlap, and then without faults. */
public final class FaultSchedule {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  private static final int HOST_COUNT = 4;
  private static final int TARGET_COUNT = 3;

  /** Number of shards of the simulation. */
  public static final int SHARDS = 9;

  private final ControlSimulation simulation;
  private final SplittableRandom random;

  private FaultSchedule(ControlSimulation simulation, long seed) {
    this.simulation = simulation;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Runs a simulation of one data centre with random faults, then ends the faults and lets it
   * recover.
   *
   * @param seed seed of the schedule and the simulation
   * @param faults number of faults
   * @param checksGrants whether the targets check grants
   * @param mutation modifies the protocol
   */
  public static ControlSimulation run(
      long seed, int faults, boolean checksGrants, ProtocolMutation mutation) {
    ControlSimulation simulation =
        ControlSimulation.create(
            SampleSetups.keyed(1, HOST_COUNT, TARGET_COUNT, SHARDS, checksGrants),
            Timing.standard(),
            seed);
    simulation.setMutation(mutation);
    if (!checksGrants) {
      simulation.startRequests("stock");
    }
    simulation.run(5 * NANOS_PER_SECOND);
    FaultSchedule schedule = new FaultSchedule(simulation, seed);
    for (int i = 0; i < faults; i++) {
      schedule.injectFault();
      simulation.run(random(schedule.random, 50 * NANOS_PER_MILLI, 4 * NANOS_PER_SECOND));
    }
    schedule.endFaults();
    simulation.run(25 * NANOS_PER_SECOND);
    return simulation;
  }

  private static long random(SplittableRandom random, long min, long max) {
    return min + random.nextLong(max - min);
  }

  private void injectFault() {
    switch (random.nextInt(12)) {
      case 0 -> simulation.setStoreDown(true);
      case 1 -> simulation.setStoreDown(false);
      case 2 ->
          simulation.pause(
              randomHost(), random(random, 100 * NANOS_PER_MILLI, 8 * NANOS_PER_SECOND));
      case 3 ->
          simulation.pause(
              randomTarget(), random(random, 100 * NANOS_PER_MILLI, 8 * NANOS_PER_SECOND));
      case 4 -> simulation.restartHost(randomHost());
      case 5 -> simulation.restartTarget(randomTarget());
      case 6 -> simulation.stopTarget(randomTarget());
      case 7 -> partition();
      case 8 -> simulation.healPartitions();
      case 9 ->
          simulation.setFaults(
              new NetworkFaults(
                  random.nextDouble(0.2), 0.1, 0.02, 3 * NANOS_PER_SECOND, random.nextDouble(0.3)));
      case 10 -> simulation.setFaults(NetworkFaults.NONE);
      default -> changeDraining();
    }
  }

  private void partition() {
    List<String> group = new ArrayList<>();
    for (int h = 1; h <= HOST_COUNT; h++) {
      if (random.nextInt(2) == 0) {
        group.add("host-1-" + h);
      }
    }
    for (int t = 1; t <= TARGET_COUNT; t++) {
      if (random.nextInt(2) == 0) {
        group.add("stock-1-" + t);
      }
    }
    if (random.nextInt(2) == 0) {
      group.add(ControlSimulation.STORE);
    }
    simulation.partition(1 + random.nextInt(2), group);
  }

  private void changeDraining() {
    Configuration base = simulation.store().configuration();
    if (base != null) {
      ConfigurationChange change =
          new ConfigurationChange.DrainTarget("stock", randomTarget(), random.nextInt(3) == 0);
      simulation.accept(ConfigurationEditor.apply(base, change, "op-" + base.revision()));
    }
  }

  private void endFaults() {
    simulation.setFaults(NetworkFaults.NONE);
    simulation.setStoreDown(false);
    simulation.healPartitions();
    for (int t = 1; t <= TARGET_COUNT; t++) {
      simulation.restartTarget("stock-1-" + t);
      Configuration base = simulation.store().configuration();
      if (base != null) {
        ConfigurationChange change =
            new ConfigurationChange.DrainTarget("stock", "stock-1-" + t, false);
        simulation.accept(ConfigurationEditor.apply(base, change, "heal-" + t));
      }
    }
  }

  private String randomHost() {
    return "host-1-" + (1 + random.nextInt(HOST_COUNT));
  }

  private String randomTarget() {
    return "stock-1-" + (1 + random.nextInt(TARGET_COUNT));
  }
}
