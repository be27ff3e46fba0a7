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
public final class BrokenVariants {
  private static final long SECOND = 1_000_000_000L;
  private static final int FAULTS = 30;

  private BrokenVariants() {}

  /**
   * A rule broken on purpose.
   *
   * @param name says which
   * @param scenario runs a world in which it can show
   * @param tampering makes a fresh tampering that breaks the rule
   */
  public record Variant(String name, Scenario scenario, Supplier<Tampering> tampering) {

    /**
     * Returns the first seed whose run violates an invariant with the rule broken; empty when none
     * of the seeds from 1 to {@code mostSeeds} does.
     */
    public OptionalLong findingSeed(int mostSeeds) {
      for (long seed = 1; seed <= mostSeeds; seed++) {
        ControlWorld world = scenario.run(seed, tampering.get());
        if (!world.checker().violations().isEmpty()) {
          return OptionalLong.of(seed);
        }
      }
      return OptionalLong.empty();
    }

    /** Runs the same scenario with the rule kept. */
    public ControlWorld runSound(long seed) {
      return scenario.run(seed, Tampering.NONE);
    }
  }

  /** Runs a world through faults. */
  public interface Scenario {
    /** Runs a fresh world to its end. */
    ControlWorld run(long seed, Tampering tampering);
  }

  /** Returns all variants. */
  public static ImmutableList<Variant> all() {
    Timing timing = Timing.standard();
    long quiet = timing.grantNanos() + timing.attestationNanos();
    return ImmutableList.of(
        new Variant(
            "a restarted host attests at once",
            BrokenVariants::restartBehindPartition,
            () -> attestsAfter(0)),
        new Variant(
            "a restarted host attests after one grant and attestation time",
            BrokenVariants::restartBehindPartition,
            () -> attestsAfter(quiet)),
        new Variant(
            "a grant counts from its arrival",
            BrokenVariants::checking,
            BrokenVariants::ignoresTokens),
        new Variant(
            "a grant lasts longer than a takeover waits",
            BrokenVariants::checking,
            BrokenVariants::longGrants),
        new Variant(
            "authority lasts longer than it was given for",
            BrokenVariants::checking,
            BrokenVariants::longAuthority),
        new Variant(
            "authority lasts too long, targets check nothing",
            BrokenVariants::notChecking,
            BrokenVariants::longAuthority),
        new Variant(
            "a host reports requests in progress as done",
            BrokenVariants::notChecking,
            BrokenVariants::hidesRequests),
        new Variant(
            "a relayed table names another owner under the same fence",
            BrokenVariants::checking,
            BrokenVariants::renamesOwners),
        new Variant(
            "a lapsed lease of the store counts as held",
            BrokenVariants::checking,
            BrokenVariants::keepsLapsedLease));
  }

  private static ControlWorld checking(long seed, Tampering tampering) {
    return FaultSchedule.run(seed, FAULTS, true, tampering);
  }

  private static ControlWorld notChecking(long seed, Tampering tampering) {
    return FaultSchedule.run(seed, FAULTS, false, tampering);
  }

  /**
   * One of three hosts acknowledges a takeover, restarts, and then reaches only the host that never
   * heard of it and the former owner, while the coordinator keeps the store and the new owner.
   */
  private static ControlWorld restartBehindPartition(long seed, Tampering tampering) {
    ControlWorld world =
        ControlWorld.create(SampleSetups.keyed(1, 3, 2, 8, true), Timing.standard(), seed);
    world.setTampering(tampering);
    world.run(5 * SECOND);
    world.partition(1, List.of("host-1-3", "stock-1-1"));
    world.run(6 * SECOND);
    world.partition(1, List.of("host-1-2"));
    world.restartHost("host-1-2");
    world.run(10 * SECOND);
    world.healPartitions();
    world.run(10 * SECOND);
    return world;
  }

  private static Tampering attestsAfter(long quietTime) {
    Map<String, Long> starts = new HashMap<>();
    return new Tampering() {
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

  private static Tampering hidesRequests() {
    return new Tampering() {
      @Override
      public MemberMessage message(String from, MemberMessage message) {
        return message instanceof MemberMessage.PollResponse a
            ? answer(a, a.attests(), a.version())
            : message;
      }
    };
  }

  private static Tampering ignoresTokens() {
    return new Tampering() {
      @Override
      public Renewal renewal(Renewal r, String freshToken) {
        return new Renewal(
            r.version(), r.epoch(), freshToken, r.durationNanos(), r.grants(), r.releases());
      }
    };
  }

  private static Tampering longGrants() {
    return new Tampering() {
      @Override
      public Renewal renewal(Renewal r, String freshToken) {
        return new Renewal(
            r.version(), r.epoch(), r.token(), 4 * r.durationNanos(), r.grants(), r.releases());
      }
    };
  }

  private static Tampering longAuthority() {
    return new Tampering() {
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

  private static Tampering renamesOwners() {
    return new Tampering() {
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

  private static Tampering keepsLapsedLease() {
    return new Tampering() {
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
