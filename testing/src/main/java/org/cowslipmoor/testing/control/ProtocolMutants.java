package org.cowslipmoor.testing.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.cowslipmoor.core.control.MemberMessage;
import org.cowslipmoor.core.control.Renewal;
import org.cowslipmoor.core.control.StoreResponse;
import org.cowslipmoor.core.control.Timing;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.cowslipmoor.core.ownership.ShardEntry;
import org.cowslipmoor.core.ownership.ShardId;

/**
 * Lists mutants of the protocol, each with one rule broken, to show that the invariant checks
 * detect it.
 */
public final class ProtocolMutants {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int FAULT_COUNT = 30;

  private ProtocolMutants() {}

  /**
   * A variant of the protocol with one rule broken.
   *
   * @param name describes the broken rule
   * @param scenario runs a simulation in which the violation can occur
   * @param mutation creates a fresh mutation that breaks the rule
   */
  public record Mutant(String name, Scenario scenario, Supplier<ProtocolMutation> mutation) {

    /**
     * Returns the first seed whose run violates an invariant with the rule broken, or an empty
     * value when none of the seeds from 1 to {@code maxSeeds} does.
     */
    public OptionalLong findViolatingSeed(int maxSeeds) {
      for (long seed = 1; seed <= maxSeeds; seed++) {
        ControlSimulation simulation = scenario.run(seed, mutation.get());
        if (!simulation.checker().violations().isEmpty()) {
          return OptionalLong.of(seed);
        }
      }
      return OptionalLong.empty();
    }

    /** Runs the same scenario with the protocol unmodified. */
    public ControlSimulation runUnmodified(long seed) {
      return scenario.run(seed, ProtocolMutation.NONE);
    }
  }

  /** Runs a simulation with faults. */
  public interface Scenario {
    /** Creates a simulation, runs it to its end and returns it. */
    ControlSimulation run(long seed, ProtocolMutation mutation);
  }

  /** Returns all mutants. */
  public static ImmutableList<Mutant> all() {
    Timing timing = Timing.standard();
    long waitNanos = timing.grantNanos() + timing.attestationNanos();
    return ImmutableList.of(
        new Mutant(
            "a restarted host attests at once",
            ProtocolMutants::restartBehindPartition,
            () -> attestsAfter(0)),
        new Mutant(
            "a restarted host attests after one grant and attestation time",
            ProtocolMutants::restartBehindPartition,
            () -> attestsAfter(waitNanos)),
        new Mutant(
            "a grant counts from its arrival",
            ProtocolMutants::withGrantChecks,
            ProtocolMutants::replacesTokens),
        new Mutant(
            "a grant lasts longer than a takeover waits",
            ProtocolMutants::withGrantChecks,
            ProtocolMutants::extendsGrants),
        new Mutant(
            "authority lasts longer than it was given for",
            ProtocolMutants::withGrantChecks,
            ProtocolMutants::extendsAuthority),
        new Mutant(
            "authority lasts too long, targets check nothing",
            ProtocolMutants::withoutGrantChecks,
            ProtocolMutants::extendsAuthority),
        new Mutant(
            "a host reports requests in progress as done",
            ProtocolMutants::withoutGrantChecks,
            ProtocolMutants::reportsRequestsAsDone),
        new Mutant(
            "a relayed table names another owner under the same fence",
            ProtocolMutants::withGrantChecks,
            ProtocolMutants::changesOwners),
        new Mutant(
            "an expired lease of the store counts as held",
            ProtocolMutants::withGrantChecks,
            ProtocolMutants::keepsExpiredLease));
  }

  private static ControlSimulation withGrantChecks(long seed, ProtocolMutation mutation) {
    return FaultSchedule.run(seed, FAULT_COUNT, true, mutation);
  }

  private static ControlSimulation withoutGrantChecks(long seed, ProtocolMutation mutation) {
    return FaultSchedule.run(seed, FAULT_COUNT, false, mutation);
  }

  /**
   * One of three hosts acknowledges a takeover and restarts. It can then reach only the former
   * owner and the host that was not notified of the takeover, while the coordinator still reaches
   * the store and the new owner.
   */
  private static ControlSimulation restartBehindPartition(long seed, ProtocolMutation mutation) {
    ControlSimulation simulation =
        ControlSimulation.create(SampleSetups.keyed(1, 3, 2, 8, true), Timing.standard(), seed);
    simulation.setMutation(mutation);
    simulation.run(5 * NANOS_PER_SECOND);
    simulation.partition(1, List.of("host-1-3", "stock-1-1"));
    simulation.run(6 * NANOS_PER_SECOND);
    simulation.partition(1, List.of("host-1-2"));
    simulation.restartHost("host-1-2");
    simulation.run(10 * NANOS_PER_SECOND);
    simulation.healPartitions();
    simulation.run(10 * NANOS_PER_SECOND);
    return simulation;
  }

  private static ProtocolMutation attestsAfter(long waitNanos) {
    Map<String, Long> starts = new HashMap<>();
    return new ProtocolMutation() {
      @Override
      public MemberMessage message(String from, MemberMessage message) {
        if (!(message instanceof MemberMessage.PollResponse a)) {
          return message;
        }
        long start = starts.computeIfAbsent(a.memberIncarnation(), unused -> a.memberTime());
        boolean attests = a.attests() || a.memberTime() - start >= waitNanos;
        return withReport(a, attests, a.drainedVersion());
      }
    };
  }

  private static MemberMessage.PollResponse withReport(
      MemberMessage.PollResponse a, boolean attests, long drainedVersion) {
    return new MemberMessage.PollResponse(
        a.version(),
        a.configurationRevision(),
        a.pollerIncarnation(),
        a.pollerTime(),
        a.memberIncarnation(),
        a.memberTime(),
        attests,
        drainedVersion,
        a.failingTargets(),
        a.released(),
        a.approvals(),
        a.loads());
  }

  private static ProtocolMutation reportsRequestsAsDone() {
    return new ProtocolMutation() {
      @Override
      public MemberMessage message(String from, MemberMessage message) {
        return message instanceof MemberMessage.PollResponse a
            ? withReport(a, a.attests(), a.version())
            : message;
      }
    };
  }

  private static ProtocolMutation replacesTokens() {
    return new ProtocolMutation() {
      @Override
      public Renewal renewal(Renewal r, String freshToken) {
        return new Renewal(
            r.version(), r.epoch(), freshToken, r.durationNanos(), r.grants(), r.releases());
      }
    };
  }

  private static ProtocolMutation extendsGrants() {
    return new ProtocolMutation() {
      @Override
      public Renewal renewal(Renewal r, String freshToken) {
        return new Renewal(
            r.version(), r.epoch(), r.token(), 4 * r.durationNanos(), r.grants(), r.releases());
      }
    };
  }

  private static ProtocolMutation extendsAuthority() {
    return new ProtocolMutation() {
      @Override
      public MemberMessage message(String from, MemberMessage message) {
        if (!(message instanceof MemberMessage.Poll p)) {
          return message;
        }
        return new MemberMessage.Poll(
            p.version(),
            p.configurationRevision(),
            p.pollerIncarnation(),
            p.pollerTime(),
            p.memberIncarnation(),
            p.echoedMemberTime(),
            20 * p.authorityNanos(),
            p.basis(),
            p.liveMembers());
      }
    };
  }

  private static ProtocolMutation changesOwners() {
    return new ProtocolMutation() {
      @Override
      public MemberMessage message(String from, MemberMessage message) {
        return message instanceof MemberMessage.TableUpdate u
            ? new MemberMessage.TableUpdate(withChangedOwner(u.table()))
            : message;
      }
    };
  }

  private static OwnershipTable withChangedOwner(OwnershipTable t) {
    ImmutableSortedMap.Builder<ShardId, ShardEntry> entries = ImmutableSortedMap.naturalOrder();
    for (ShardEntry e : t.entries().values()) {
      entries.put(
          e.shard(),
          e.isActiveAt("stock-1-1") ? ShardEntry.active(e.shard(), "stock-1-2", e.fence()) : e);
    }
    return new OwnershipTable(
        t.dataCentre(),
        t.version(),
        t.epoch(),
        t.coordinator(),
        t.operationId(),
        t.configurationRevision(),
        t.quorum(),
        t.previousQuorum(),
        entries.buildOrThrow());
  }

  private static ProtocolMutation keepsExpiredLease() {
    return new ProtocolMutation() {
      @Override
      public StoreResponse storeResponse(StoreResponse response) {
        return response instanceof StoreResponse.NoResponse
                || response instanceof StoreResponse.LeadershipRenewed
            ? new StoreResponse.LeadershipRenewed(true)
            : response;
      }
    };
  }
}
