package org.cowslipmoor.testing.control;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.ConfigurationChange;
import org.cowslipmoor.core.configuration.ConfigurationEditor;
import org.cowslipmoor.core.control.Timing;

/** Drives a simulation through random faults, one or several at a time, and then lets it heal. */
public final class FaultSchedule {
  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final int HOSTS = 4;
  private static final int TARGETS = 3;

  /** Shards of the simulation. */
  public static final int SHARDS = 9;

  private final ControlSimulation simulation;
  private final SplittableRandom random;

  private FaultSchedule(ControlSimulation simulation, long seed) {
    this.simulation = simulation;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Runs a simulation of one data centre through faults.
   *
   * @param seed seed of the schedule and the simulation
   * @param faults number of faults
   * @param checksGrants whether the targets check grants
   * @param tampering breaks rules on purpose
   */
  public static ControlSimulation run(
      long seed, int faults, boolean checksGrants, ProtocolMutation tampering) {
    ControlSimulation simulation =
        ControlSimulation.create(
            SampleSetups.keyed(1, HOSTS, TARGETS, SHARDS, checksGrants), Timing.standard(), seed);
    simulation.setTampering(tampering);
    if (!checksGrants) {
      simulation.startRequests("stock");
    }
    simulation.run(5 * SECOND);
    FaultSchedule schedule = new FaultSchedule(simulation, seed);
    for (int i = 0; i < faults; i++) {
      schedule.oneFault();
      simulation.run(random(schedule.random, 50 * MILLI, 4 * SECOND));
    }
    schedule.heal();
    simulation.run(25 * SECOND);
    return simulation;
  }

  private static long random(SplittableRandom random, long least, long most) {
    return least + random.nextLong(most - least);
  }

  private void oneFault() {
    switch (random.nextInt(12)) {
      case 0 -> simulation.setStoreDown(true);
      case 1 -> simulation.setStoreDown(false);
      case 2 -> simulation.pause(host(), random(random, 100 * MILLI, 8 * SECOND));
      case 3 -> simulation.pause(target(), random(random, 100 * MILLI, 8 * SECOND));
      case 4 -> simulation.restartHost(host());
      case 5 -> simulation.restartTarget(target());
      case 6 -> simulation.stopTarget(target());
      case 7 -> partition();
      case 8 -> simulation.healPartitions();
      case 9 ->
          simulation.setFaults(
              new NetworkFaults(
                  random.nextDouble(0.2), 0.1, 0.02, 3 * SECOND, random.nextDouble(0.3)));
      case 10 -> simulation.setFaults(NetworkFaults.NONE);
      default -> drainOrNot();
    }
  }

  private void partition() {
    List<String> side = new ArrayList<>();
    for (int h = 1; h <= HOSTS; h++) {
      if (random.nextInt(2) == 0) {
        side.add("host-1-" + h);
      }
    }
    for (int t = 1; t <= TARGETS; t++) {
      if (random.nextInt(2) == 0) {
        side.add("stock-1-" + t);
      }
    }
    if (random.nextInt(2) == 0) {
      side.add(ControlSimulation.STORE);
    }
    simulation.partition(1 + random.nextInt(2), side);
  }

  private void drainOrNot() {
    Configuration base = simulation.store().configuration();
    if (base != null) {
      ConfigurationChange change =
          new ConfigurationChange.DrainTarget("stock", target(), random.nextInt(3) == 0);
      simulation.accept(ConfigurationEditor.apply(base, change, "op-" + base.revision()));
    }
  }

  private void heal() {
    simulation.setFaults(NetworkFaults.NONE);
    simulation.setStoreDown(false);
    simulation.healPartitions();
    for (int t = 1; t <= TARGETS; t++) {
      simulation.restartTarget("stock-1-" + t);
      Configuration base = simulation.store().configuration();
      if (base != null) {
        ConfigurationChange change =
            new ConfigurationChange.DrainTarget("stock", "stock-1-" + t, false);
        simulation.accept(ConfigurationEditor.apply(base, change, "heal-" + t));
      }
    }
  }

  private String host() {
    return "host-1-" + (1 + random.nextInt(HOSTS));
  }

  private String target() {
    return "stock-1-" + (1 + random.nextInt(TARGETS));
  }
}
