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

/** Rules broken on purpose, to show that the checks find it. Each supplier makes a fresh one. */
public final class ProtocolMutants {
  private static final long SECOND = 1_000_000_000L;
  private static final int FAULTS = 30;

  private ProtocolMutants() {}

  /**
   * A rule broken on purpose.
   *
   * @param name says which
   * @param scenario runs a simulation in which it can show
   * @param tampering makes a fresh tampering that breaks the rule
   */
  public record Mutant(String name, Scenario scenario, Supplier<ProtocolMutation> tampering) {

    /**
     * Returns the first seed whose run violates an invariant with the rule broken; empty when none
     * of the seeds from 1 to {@code mostSeeds} does.
     */
    public OptionalLong findViolatingSeed(int mostSeeds) {
      for (long seed = 1; seed <= mostSeeds; seed++) {
        ControlSimulation simulation = scenario.run(seed, tampering.get());
        if (!simulation.checker().violations().isEmpty()) {
          return OptionalLong.of(seed);
        }
      }
      return OptionalLong.empty();
    }

    /** Runs the same scenario with the rule kept. */
    public ControlSimulation runUnmodified(long seed) {
      return scenario.run(seed, ProtocolMutation.NONE);
    }
  }

  /** Runs a simulation through faults. */
  public interface Scenario {
    /** Runs a fresh simulation to its end. */
    ControlSimulation run(long seed, ProtocolMutation tampering);
  }

  /** Returns all variants. */
  public static ImmutableList<Mutant> all() {
    Timing timing = Timing.standard();
    long quiet = timing.grantNanos() + timing.attestationNanos();
    return ImmutableList.of(
        new Mutant(
            "a restarted host attests at once",
            ProtocolMutants::restartBehindPartition,
            () -> attestsAfter(0)),
        new Mutant(
            "a restarted host attests after one grant and attestation time",
            ProtocolMutants::restartBehindPartition,
            () -> attestsAfter(quiet)),
        new Mutant(
            "a grant counts from its arrival",
            ProtocolMutants::checking,
            ProtocolMutants::ignoresTokens),
        new Mutant(
            "a grant lasts longer than a takeover waits",
            ProtocolMutants::checking,
            ProtocolMutants::longGrants),
        new Mutant(
            "authority lasts longer than it was given for",
            ProtocolMutants::checking,
            ProtocolMutants::longAuthority),
        new Mutant(
            "authority lasts too long, targets check nothing",
            ProtocolMutants::notChecking,
            ProtocolMutants::longAuthority),
        new Mutant(
            "a host reports requests in progress as done",
            ProtocolMutants::notChecking,
            ProtocolMutants::hidesRequests),
        new Mutant(
            "a relayed table names another owner under the same fence",
            ProtocolMutants::checking,
            ProtocolMutants::renamesOwners),
        new Mutant(
            "a lapsed lease of the store counts as held",
            ProtocolMutants::checking,
            ProtocolMutants::keepsLapsedLease));
  }

  private static ControlSimulation checking(long seed, ProtocolMutation tampering) {
    return FaultSchedule.run(seed, FAULTS, true, tampering);
  }

  private static ControlSimulation notChecking(long seed, ProtocolMutation tampering) {
    return FaultSchedule.run(seed, FAULTS, false, tampering);
  }

  /**
   * One of three hosts acknowledges a takeover, restarts, and then reaches only the host that never
   * heard of it and the former owner, while the coordinator keeps the store and the new owner.
   */
  private static ControlSimulation restartBehindPartition(long seed, ProtocolMutation tampering) {
    ControlSimulation simulation =
        ControlSimulation.create(SampleSetups.keyed(1, 3, 2, 8, true), Timing.standard(), seed);
    simulation.setTampering(tampering);
    simulation.run(5 * SECOND);
    simulation.partition(1, List.of("host-1-3", "stock-1-1"));
    simulation.run(6 * SECOND);
    simulation.partition(1, List.of("host-1-2"));
    simulation.restartHost("host-1-2");
    simulation.run(10 * SECOND);
    simulation.healPartitions();
    simulation.run(10 * SECOND);
    return simulation;
  }

  private static ProtocolMutation attestsAfter(long quietTime) {
    Map<String, Long> starts = new HashMap<>();
    return new ProtocolMutation() {
      @Override
      public MemberMessage message(String from, MemberMessage message) {
        if (!(message instanceof MemberMessage.PollResponse a)) {
          return message;
        }
        long start = starts.computeIfAbsent(a.memberIncarnation(), unused -> a.memberTime());
        boolean attests = a.attests() || a.memberTime() - start >= quietTime;
        return answer(a, attests, a.drainedVersion());
      }
    };
  }

  private static MemberMessage.PollResponse answer(
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

  private static ProtocolMutation hidesRequests() {
    return new ProtocolMutation() {
      @Override
      public MemberMessage message(String from, MemberMessage message) {
        return message instanceof MemberMessage.PollResponse a
            ? answer(a, a.attests(), a.version())
            : message;
      }
    };
  }

  private static ProtocolMutation ignoresTokens() {
    return new ProtocolMutation() {
      @Override
      public Renewal renewal(Renewal r, String freshToken) {
        return new Renewal(
            r.version(), r.epoch(), freshToken, r.durationNanos(), r.grants(), r.releases());
      }
    };
  }

  private static ProtocolMutation longGrants() {
    return new ProtocolMutation() {
      @Override
      public Renewal renewal(Renewal r, String freshToken) {
        return new Renewal(
            r.version(), r.epoch(), r.token(), 4 * r.durationNanos(), r.grants(), r.releases());
      }
    };
  }

  private static ProtocolMutation longAuthority() {
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

  private static ProtocolMutation renamesOwners() {
    return new ProtocolMutation() {
      @Override
      public MemberMessage message(String from, MemberMessage message) {
        return message instanceof MemberMessage.TableUpdate u
            ? new MemberMessage.TableUpdate(renamed(u.table()))
            : message;
      }
    };
  }

  private static OwnershipTable renamed(OwnershipTable t) {
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

  private static ProtocolMutation keepsLapsedLease() {
    return new ProtocolMutation() {
      @Override
      public StoreResponse storeAnswer(StoreResponse answer) {
        return answer instanceof StoreResponse.NoResponse
                || answer instanceof StoreResponse.LeadershipRenewed
            ? new StoreResponse.LeadershipRenewed(true)
            : answer;
      }
    };
  }
}
