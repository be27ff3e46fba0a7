package org.cowslipmoor.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.control.MemberMessage;
import org.cowslipmoor.core.control.Timing;
import org.cowslipmoor.core.ownership.OwnershipPlanner;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.cowslipmoor.core.ownership.PlannerInputs;
import org.cowslipmoor.core.ownership.Quorum;
import org.cowslipmoor.daemon.codec.ConfigurationCodec;
import org.cowslipmoor.daemon.codec.MemberMessageCodec;
import org.cowslipmoor.daemon.codec.OwnershipCodec;
import org.cowslipmoor.testing.control.ControlSimulation;
import org.cowslipmoor.testing.control.MessageObserver;
import org.cowslipmoor.testing.control.SampleSetups;

/** Measures the growth rates from which docs/CAPACITY.md is calculated. */
@Command(
    name = "capacity",
    description =
        "Measures how control messages, bytes, CPU time and record sizes grow with hosts, "
            + "targets and shards, as data points for docs/CAPACITY.md")
public final class CapacityCommand implements ExperimentCommand {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int MEASURED_SECONDS = 20;
  private static final int FRAME_HEADER_BYTES = 4;

  @Override
  public int run(PrintStream out) {
    out.println("control of one data centre in the steady state, fakes in virtual time");
    out.printf(
        "%6s %8s %7s | %12s %12s %12s %12s | %11s %11s | %10s %14s%n",
        "hosts",
        "targets",
        "shards",
        "poller fr/s",
        "poller B/s",
        "member fr/s",
        "member B/s",
        "renewals/s",
        "per host",
        "store/s",
        "core share");
    for (int[] size :
        new int[][] {
          {4, 8, 64}, {8, 8, 64}, {16, 8, 64}, {32, 8, 64}, {64, 8, 64}, {128, 8, 64},
          {16, 16, 64}, {16, 32, 64}, {16, 64, 64}, {16, 8, 256}, {16, 8, 1024}, {16, 8, 4096}
        }) {
      measureSteadyState(out, size[0], size[1], size[2]);
    }
    out.println();
    out.println("records, in bytes");
    for (int n : new int[] {16, 64, 256, 1024}) {
      Configuration c = SampleSetups.keyed(1, n, n, 64, true);
      out.printf(
          "  configuration of %5d members and as many targets: %8d%n",
          n, ConfigurationCodec.encode(c).getSerializedSize());
    }
    for (int n : new int[] {64, 256, 1024, 4096}) {
      OwnershipTable t = initialTable(SampleSetups.keyed(1, 16, 64, n, true));
      out.printf(
          "  ownership table of %5d shards:                    %8d%n",
          n, OwnershipCodec.encode(t).getSerializedSize());
    }
    out.println();
    out.println("time of one planner run that looks for a better plan, in microseconds");
    for (int n : new int[] {64, 256, 1024, 4096}) {
      Configuration c = SampleSetups.keyed(1, 16, 64, n, true);
      out.printf("  %5d shards, 64 targets: %8.1f%n", n, planMicros(initialTable(c), c));
    }
    return 0;
  }

  private static void measureSteadyState(PrintStream out, int hosts, int targets, int shards) {
    ControlSimulation simulation =
        ControlSimulation.create(
            SampleSetups.keyed(1, hosts, targets, shards, true), Timing.standard(), 1);
    simulation.run(8 * NANOS_PER_SECOND);
    Traffic traffic = new Traffic();
    simulation.setObserver(traffic);
    long storeCallsBefore = storeCalls(simulation);
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long cpuNanosBefore = threads.getCurrentThreadCpuTime();
    simulation.run(MEASURED_SECONDS * NANOS_PER_SECOND);
    double cpuShare =
        (threads.getCurrentThreadCpuTime() - cpuNanosBefore) / 1e9 / MEASURED_SECONDS / hosts;
    out.printf(
        "%6d %8d %7d | %12.1f %12.0f %12.1f %12.0f | %11.1f %11.1f | %10.1f %13.3f%%%n",
        hosts,
        targets,
        shards,
        traffic.pollerFrames / (double) MEASURED_SECONDS,
        traffic.pollerBytes / (double) MEASURED_SECONDS,
        traffic.memberFrames / (double) MEASURED_SECONDS / (hosts - 1),
        traffic.memberBytes / (double) MEASURED_SECONDS / (hosts - 1),
        traffic.renewals / (double) MEASURED_SECONDS,
        traffic.renewals / (double) MEASURED_SECONDS / hosts,
        (storeCalls(simulation) - storeCallsBefore) / (double) MEASURED_SECONDS,
        100 * cpuShare);
  }

  private static long storeCalls(ControlSimulation simulation) {
    return simulation.store().reads()
        + simulation.store().writes()
        + simulation.store().keepAlives();
  }

  private static OwnershipTable initialTable(Configuration c) {
    OwnershipTable empty =
        OwnershipTable.create(
            "dc-1",
            new Quorum(
                c.membersOf("dc-1").stream()
                    .map(m -> m.id())
                    .collect(ImmutableList.toImmutableList())));
    return OwnershipPlanner.next(empty, inputs(c), "first").orElseThrow();
  }

  private static PlannerInputs inputs(Configuration c) {
    return new PlannerInputs(
        c,
        ImmutableSet.of(),
        ImmutableSet.of(),
        ImmutableSet.of(),
        true,
        true,
        ImmutableMap.of(),
        4);
  }

  private static double planMicros(OwnershipTable table, Configuration c) {
    int rounds = 2_000_000 / (table.entries().size() * 20);
    PlannerInputs inputs = inputs(c);
    long startNanos = 0;
    for (int i = 0; i < 2 * rounds; i++) {
      startNanos = i == rounds ? System.nanoTime() : startNanos;
      OwnershipPlanner.next(table, inputs, "look");
    }
    return (System.nanoTime() - startNanos) / 1e3 / rounds;
  }

  /** Counts the messages, bytes and grant renewals that hosts send. */
  private static final class Traffic implements MessageObserver {
    private static final String POLLER = "host-1-1";

    private long pollerFrames;
    private long pollerBytes;
    private long memberFrames;
    private long memberBytes;
    private long renewals;

    @Override
    public void onMessage(String from, String to, MemberMessage message) {
      int bytes = MemberMessageCodec.encode(message).getSerializedSize() + FRAME_HEADER_BYTES;
      if (from.equals(POLLER)) {
        pollerFrames++;
        pollerBytes += bytes;
      } else {
        memberFrames++;
        memberBytes += bytes;
      }
    }

    @Override
    public void onRenewal(String from, String target) {
      renewals++;
    }
  }
}
