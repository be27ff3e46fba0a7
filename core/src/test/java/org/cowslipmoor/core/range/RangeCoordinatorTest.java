package org.cowslipmoor.core.range;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongFunction;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.LeavingTargets;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class RangeCoordinatorTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long TICK_NANOS = 50 * NANOS_PER_MILLI;
  private static final long LEASE_NANOS = 1_500 * NANOS_PER_MILLI;
  private static final long COMMAND_TIMEOUT_NANOS = 600 * NANOS_PER_MILLI;

  /** Time from the start of a term until the last grant of a former coordinator has arrived. */
  private static final long OVERLAP_NANOS = LEASE_NANOS + COMMAND_TIMEOUT_NANOS;

  private static final String SERVICE = "stock";
  private static final int MIDDLE_KEY = KeyRange.ALL.size() / 2;
  private static final DiscoveredTarget OWNER = target("t0");
  private static final DiscoveredTarget DRAINING = target("t0", true);
  private static final DiscoveredTarget OTHER = target("t1");
  private static final DiscoveredTarget DRAINING_OTHER = target("t1", true);
  private static final DiscoveredTarget THIRD = target("t2");

  /** Maximum time until the keys of a lost owner are served again. */
  private static final long MAX_UNSERVED_NANOS = 4_000 * NANOS_PER_MILLI;

  private final RangeTiming timing =
      RangeTiming.standard(
          10_000, LEASE_NANOS / NANOS_PER_MILLI, COMMAND_TIMEOUT_NANOS / NANOS_PER_MILLI);

  private static DiscoveredTarget target(String id) {
    return target(id, false);
  }

  private static DiscoveredTarget target(String id, boolean draining) {
    return new DiscoveredTarget(
        new TargetIncarnation(id, 1), SERVICE, id + ":1", "cairo", 4, draining, 0);
  }

  private static TargetDirectory directory(DiscoveredTarget... targets) {
    return TargetDirectory.of(List.of(targets));
  }

  /** The store may end a lease early, while its holder still trusts it and sends grants. */
  @Test
  void keysGrantedByFormerCoordinatorUntilItsLeaseEndsHaveOneOwner() {
    long grantedOnAt = firstGrantToOther(unused -> GrantOutcome.NOT_SENT);

    assertThat(grantedOnAt, greaterThanOrEqualTo(OVERLAP_NANOS + timing.longHoldNanos()));
  }

  /** A former coordinator may still send grants after its successor's first grant is accepted. */
  @Test
  void grantAcceptedDuringOverlapDoesNotEndFormerTermsLongHold() {
    AtomicBoolean accepted = new AtomicBoolean();

    long grantedOnAt =
        firstGrantToOther(
            unused -> accepted.getAndSet(true) ? GrantOutcome.NOT_SENT : GrantOutcome.ACCEPTED);

    assertThat(grantedOnAt, greaterThanOrEqualTo(OVERLAP_NANOS + timing.longHoldNanos()));
  }

  /**
   * A target may continue to hold keys by an earlier, longer grant after it has accepted a shorter
   * one under a higher fence.
   */
  @Test
  void shortRenewalsDoNotEndFormerTermsLongHold() {
    long lastAccepted = OVERLAP_NANOS + timing.renewalIntervalNanos();

    long grantedOnAt =
        firstGrantToOther(
            now -> now <= lastAccepted ? GrantOutcome.ACCEPTED : GrantOutcome.NOT_SENT);

    assertThat(grantedOnAt, greaterThanOrEqualTo(OVERLAP_NANOS + timing.longHoldNanos()));
  }

  /**
   * A release applies only to the process that confirms it, which may have lost the fence in a
   * restart.
   */
  @Test
  void releaseByRestartedOwnerDoesNotEndFormerTermsGrants() {
    // The owner restarts unnoticed after it has accepted the term's fence. The former coordinator
    // sends it a grant before the overlap ends, and the grant is executed after the release.
    long restartAt = 1_000 * NANOS_PER_MILLI;
    long lateGrantArrivesAt = LEASE_NANOS - 200 * NANOS_PER_MILLI;
    AtomicBoolean fenceKnown = new AtomicBoolean();

    long grantedOnAt =
        firstGrantToOther(
            unused -> directory(DRAINING, OTHER),
            now -> {
              fenceKnown.compareAndSet(false, now >= restartAt);
              return GrantOutcome.ACCEPTED;
            },
            true);

    assertThat(
        fenceKnown.get() || grantedOnAt >= lateGrantArrivesAt + timing.longHoldNanos(), is(true));
  }

  /** An owner whose entry has been removed still serves for some time and accepts commands. */
  @Test
  void newTermSoonReassignsKeysOfReachableOwnerWithoutEntry() {
    long grantedOnAt =
        firstGrantToOther(unused -> directory(OTHER), unused -> GrantOutcome.ACCEPTED, true);

    assertThat(grantedOnAt, lessThan(MAX_UNSERVED_NANOS));
  }

  /**
   * The store may be unavailable for longer than the longest grant and keep the coordinator's
   * lease.
   */
  @Test
  void ownersKeepKeysWhenCoordinatorResumesAfterGrantsExpired() {
    List<RangeListener.Reassignment> reassigned = new ArrayList<>();
    RangeCoordinator coordinator = begin(stored(), reassigned::add, 0);
    RangeInputs inputs = inputs(directory(OWNER, OTHER));
    for (long now = 0; now < 400 * NANOS_PER_MILLI; now += TICK_NANOS) {
      for (RangeAction action : coordinator.tick(now, inputs)) {
        switch (action) {
          case RangeAction.Write a -> coordinator.onWritten(a.table());
          case RangeAction.Release a -> throw new AssertionError("unexpected release: " + a);
          case RangeAction.Grant a -> coordinator.onGrant(now, a.entry(), GrantOutcome.ACCEPTED);
        }
      }
    }

    coordinator.tick(30_000 * NANOS_PER_MILLI, inputs);

    assertThat(reassigned, is(empty()));
  }

  /**
   * Each grant without a response may be executed late, so repeated ones would keep the keys from
   * ever becoming free.
   */
  @Test
  void announcedOwnerThatNeverRespondsLosesItsKeys() {
    long grantedOnAt = firstGrantToOther(unused -> GrantOutcome.UNKNOWN);

    assertThat(grantedOnAt, lessThan(20_000 * NANOS_PER_MILLI));
  }

  @Test
  void soleTargetHoldsItsKeysAgainOnceItsEntryIsBack() {
    RangeSimulation simulation = new RangeSimulation(1, 1, 0, 1);
    simulation.run(3_000 * RangeSimulation.NANOS_PER_MILLI);
    assertThat(simulation.servedFraction(), is(1.0));
    simulation.removeEntry("t0");
    simulation.run(1_000 * RangeSimulation.NANOS_PER_MILLI);
    simulation.restoreEntry("t0");

    simulation.run(30_000 * RangeSimulation.NANOS_PER_MILLI);

    assertThat(simulation.servedFraction(), is(1.0));
    assertThat(simulation.violations(), is(empty()));
  }

  /** The grants of a target that is unreachable for longer than its hold expire. */
  @Test
  void soleTargetHoldsItsKeysAgainOnceReachable() {
    soleTargetHoldsItsKeysAgain(20_000 * NANOS_PER_MILLI, GrantOutcome.NOT_SENT);
    soleTargetHoldsItsKeysAgain(20_000 * NANOS_PER_MILLI, GrantOutcome.UNKNOWN);
    soleTargetHoldsItsKeysAgain(0, GrantOutcome.NOT_SENT);
    soleTargetHoldsItsKeysAgain(0, GrantOutcome.UNKNOWN);
  }

  private void soleTargetHoldsItsKeysAgain(
      long unreachableAt, GrantOutcome outcomeWhileUnreachable) {
    long reachableAt = unreachableAt + 20_000 * NANOS_PER_MILLI;
    long end = reachableAt + 10_000 * NANOS_PER_MILLI;
    RangeCoordinator coordinator = begin(stored(), RangeListener.NONE, 0);
    long acceptedAt = 0;
    int writes = 0;
    for (long now = 0; now < end; now += TICK_NANOS) {
      boolean isReachable = now < unreachableAt || now >= reachableAt;
      for (RangeAction action : coordinator.tick(now, inputs(directory(OWNER)))) {
        switch (action) {
          case RangeAction.Write a -> {
            writes++;
            coordinator.onWritten(a.table());
          }
          case RangeAction.Release a -> coordinator.onRelease(now, a.entry(), isReachable, null);
          case RangeAction.Grant a -> {
            acceptedAt = isReachable ? now : acceptedAt;
            coordinator.onGrant(
                now, a.entry(), isReachable ? GrantOutcome.ACCEPTED : outcomeWhileUnreachable);
          }
        }
      }
    }

    assertThat(acceptedAt, greaterThanOrEqualTo(end - timing.holdNanos()));
    // Writes are expensive: one at the start, and no more of them than the target is lost.
    assertThat(
        writes,
        lessThanOrEqualTo(
            2
                + (int)
                    ((reachableAt - unreachableAt)
                        / (timing.holdNanos() + timing.renewalIntervalNanos()))));
  }

  /** Four terms in a row were observed to start 1.6 s apart. */
  @Tag("known-red")
  @ParameterizedTest
  @ValueSource(longs = {1_600, 2_000, 3_000})
  void keysOfDrainingOwnerAreReassignedDespiteShortTerms(long termMillis) {
    RangeTable table = stored();
    for (long begin = 0; begin < 40_000 * NANOS_PER_MILLI; begin += termMillis * NANOS_PER_MILLI) {
      RangeCoordinator coordinator = begin(table, RangeListener.NONE, begin);
      for (long now = begin; now < begin + termMillis * NANOS_PER_MILLI; now += TICK_NANOS) {
        for (RangeAction action : coordinator.tick(now, inputs(directory(DRAINING, OTHER)))) {
          switch (action) {
            case RangeAction.Write a -> {
              table = a.table();
              coordinator.onWritten(table);
            }
            case RangeAction.Release a -> coordinator.onRelease(now, a.entry(), true, "h");
            case RangeAction.Grant a -> {
              if (a.entry().owner().equals(OTHER.incarnation())) {
                return;
              }
              coordinator.onGrant(now, a.entry(), GrantOutcome.ACCEPTED);
            }
          }
        }
      }
    }
    throw new AssertionError(
        "the keys of the draining owner were never granted to the other target");
  }

  /**
   * The owner's entry may stay for some heartbeats, or for long if only the coordinator can't reach
   * it.
   */
  @Test
  void drainingOwnerThatStopsRespondingLosesItsKeys() {
    long grantedOnAt =
        firstGrantToOther(
            unused -> directory(DRAINING, OTHER),
            now -> now < 1_000 * NANOS_PER_MILLI ? GrantOutcome.ACCEPTED : GrantOutcome.UNKNOWN,
            false);

    assertThat(grantedOnAt, lessThan(20_000 * NANOS_PER_MILLI));
  }

  /**
   * Each term restarts the wait for the former owner's grants to expire; four terms in a row were
   * observed to start 1.6 s apart.
   */
  @Tag("known-red")
  @ParameterizedTest
  @ValueSource(longs = {1_400, 1_600, 3_000})
  void keysOfLostOwnerAreReassignedDespiteShortTerms(long termMillis) {
    RangeTable table = stored();
    for (long begin = 0; begin < 40_000 * NANOS_PER_MILLI; begin += termMillis * NANOS_PER_MILLI) {
      RangeCoordinator coordinator = begin(table, RangeListener.NONE, begin);
      for (long now = begin; now < begin + termMillis * NANOS_PER_MILLI; now += TICK_NANOS) {
        for (RangeAction action : coordinator.tick(now, inputs(directory(OTHER)))) {
          switch (action) {
            case RangeAction.Write a -> {
              table = a.table();
              coordinator.onWritten(table);
            }
            case RangeAction.Release a -> coordinator.onRelease(now, a.entry(), false, null);
            case RangeAction.Grant a -> {
              if (a.entry().owner().equals(OTHER.incarnation())) {
                return;
              }
              coordinator.onGrant(now, a.entry(), GrantOutcome.NOT_SENT);
            }
          }
        }
      }
    }
    throw new AssertionError("the keys of the lost owner were never granted to the other target");
  }

  /** An owner that is asked to release its keys while no target can take them serves no longer. */
  @Test
  void keysStayWithTheirOwnerWhileAllTargetsDrain() {
    long drainAt = 5_000 * NANOS_PER_MILLI;
    long replacedAt = 20_000 * NANOS_PER_MILLI;
    long releasedAt = -1;
    long acceptedAt = 0;
    long grantedOnAt = -1;
    RangeCoordinator coordinator = begin(stored(), RangeListener.NONE, 0);
    for (long now = 0; grantedOnAt < 0 && now < 2 * replacedAt; now += TICK_NANOS) {
      TargetDirectory directory =
          now < drainAt
              ? directory(OWNER, DRAINING_OTHER)
              : now < replacedAt
                  ? directory(DRAINING, DRAINING_OTHER)
                  : directory(DRAINING, DRAINING_OTHER, THIRD);
      for (RangeAction action : coordinator.tick(now, inputs(directory))) {
        switch (action) {
          case RangeAction.Write a -> coordinator.onWritten(a.table());
          case RangeAction.Release a -> {
            releasedAt = releasedAt < 0 ? now : releasedAt;
            coordinator.onRelease(now, a.entry(), true, "h");
          }
          case RangeAction.Grant a -> {
            if (a.entry().owner().equals(OWNER.incarnation())) {
              acceptedAt = now;
              coordinator.onGrant(now, a.entry(), GrantOutcome.ACCEPTED);
            } else {
              grantedOnAt = now;
            }
          }
        }
      }
    }

    assertThat(releasedAt, greaterThanOrEqualTo(replacedAt));
    assertThat(acceptedAt, greaterThanOrEqualTo(replacedAt - timing.renewalIntervalNanos()));
    assertThat(grantedOnAt, lessThan(replacedAt + MAX_UNSERVED_NANOS));
  }

  /** The target that was to take over the keys may start to drain while they are released. */
  @Test
  void releasedKeysReturnToTheirOwnerWhenNoOtherTargetIsLeft() {
    long drainAt = 5_000 * NANOS_PER_MILLI;
    AtomicBoolean released = new AtomicBoolean();
    long acceptedAt = -1;
    RangeCoordinator coordinator = begin(stored(), RangeListener.NONE, 0);
    for (long now = 0; now < 2 * drainAt; now += TICK_NANOS) {
      TargetDirectory directory =
          now < drainAt
              ? directory(OWNER)
              : directory(DRAINING, released.get() ? DRAINING_OTHER : OTHER);
      for (RangeAction action : coordinator.tick(now, inputs(directory))) {
        switch (action) {
          case RangeAction.Write a -> coordinator.onWritten(a.table());
          case RangeAction.Release a -> {
            released.set(true);
            coordinator.onRelease(now, a.entry(), true, "h");
          }
          case RangeAction.Grant a -> {
            assertThat(a.entry().owner(), is(OWNER.incarnation()));
            acceptedAt = released.get() ? now : acceptedAt;
            coordinator.onGrant(now, a.entry(), GrantOutcome.ACCEPTED);
          }
        }
      }
    }

    assertThat(released.get(), is(true));
    assertThat(acceptedAt, greaterThanOrEqualTo(2 * drainAt - timing.holdNanos()));
  }

  @Test
  void keysOfOwnerThatStatesThatItLeavesAreReleasedInTheNextTick() {
    long statedAt = 5_000 * NANOS_PER_MILLI;
    LeavingTargets leaving = LeavingTargets.create();

    Map<Long, RangeEntry> releases =
        releasesUntil(
            statedAt + TICK_NANOS,
            now -> {
              if (now >= statedAt) {
                leaving.onLeaving(OWNER.incarnation(), now);
              }
              // The entry still says that the owner is ready.
              return directory(OWNER, OTHER).withDraining(leaving.targets());
            });

    assertThat(releases.keySet(), is(ImmutableSet.of(statedAt)));
    assertThat(releases.get(statedAt).owner(), is(OWNER.incarnation()));
    assertThat(releases.get(statedAt).range(), is(new KeyRange(0, MIDDLE_KEY - 1)));
  }

  /** The statement of a process says nothing about the next one under its id. */
  @Test
  void statementOfFormerIncarnationDoesNotMoveKeysOfThePresentOne() {
    LeavingTargets leaving = LeavingTargets.create();
    leaving.onLeaving(new TargetIncarnation(OWNER.id(), 0), 0);

    Map<Long, RangeEntry> releases =
        releasesUntil(
            10_000 * NANOS_PER_MILLI,
            unused -> directory(OWNER, OTHER).withDraining(leaving.targets()));

    assertThat(releases, is(anEmptyMap()));
  }

  /** Without a write to the store there is no next owner. */
  @Test
  void keysOfLeavingOwnerAreNotGrantedOnWhileWritesGetNoResponse() {
    RangeCoordinator coordinator = begin(stored(), RangeListener.NONE, 0);
    boolean released = false;
    for (long now = 0; now < 30_000 * NANOS_PER_MILLI; now += TICK_NANOS) {
      boolean leaves = now >= 5_000 * NANOS_PER_MILLI;
      TargetDirectory directory =
          leaves
              ? directory(OWNER, OTHER).withDraining(Set.of(OWNER.incarnation()))
              : directory(OWNER);
      for (RangeAction action : coordinator.tick(now, inputs(directory))) {
        switch (action) {
          case RangeAction.Write a -> {
            if (!leaves) {
              coordinator.onWritten(a.table());
            }
          }
          case RangeAction.Release a -> {
            released = true;
            coordinator.onRelease(now, a.entry(), true, "h");
          }
          case RangeAction.Grant a -> {
            assertThat(a.entry().owner(), is(OWNER.incarnation()));
            coordinator.onGrant(now, a.entry(), GrantOutcome.ACCEPTED);
          }
        }
      }
    }

    assertThat(released, is(true));
  }

  /**
   * Runs a term in which two targets own half of the keys each and accept all grants, and returns
   * the releases by their times. They get no response.
   */
  private Map<Long, RangeEntry> releasesUntil(long end, LongFunction<TargetDirectory> directories) {
    RangeEntry lower = entry(OWNER, 0, MIDDLE_KEY - 1, 7);
    RangeEntry upper = entry(OTHER, MIDDLE_KEY, KeyRange.LAST_KEY, 8);
    RangeCoordinator coordinator =
        begin(RangeTable.of(3, 8, List.of(lower, upper)), RangeListener.NONE, 0);
    Map<Long, RangeEntry> releases = new HashMap<>();
    for (long now = 0; now < end; now += TICK_NANOS) {
      for (RangeAction action : coordinator.tick(now, inputs(directories.apply(now)))) {
        switch (action) {
          case RangeAction.Write a -> coordinator.onWritten(a.table());
          case RangeAction.Release a -> releases.put(now, a.entry());
          case RangeAction.Grant a -> coordinator.onGrant(now, a.entry(), GrantOutcome.ACCEPTED);
        }
      }
    }
    return releases;
  }

  private static RangeEntry entry(DiscoveredTarget owner, int from, int to, long fence) {
    return new RangeEntry(
        SERVICE, new KeyRange(from, to), owner.incarnation(), owner.address(), fence, null);
  }

  private static RangeTable stored() {
    RangeEntry held =
        new RangeEntry(SERVICE, KeyRange.ALL, OWNER.incarnation(), OWNER.address(), 7, null);
    return RangeTable.of(3, 7, List.of(held));
  }

  private RangeCoordinator begin(RangeTable table, RangeListener listener, long now) {
    return RangeCoordinator.begin(table, timing, listener, now);
  }

  private static RangeInputs inputs(TargetDirectory directory) {
    return new RangeInputs(
        ImmutableSet.of(SERVICE), directory, unused -> ServiceLoad.uniform(), true);
  }

  /**
   * Runs a term that starts at time 0 with all keys owned by {@link #OWNER}, and returns the time
   * at which another target is granted them.
   *
   * @param outcomes returns the outcome of a grant to the owner at a given time
   */
  private long firstGrantToOther(LongFunction<GrantOutcome> outcomes) {
    return firstGrantToOther(unused -> directory(OWNER, OTHER), outcomes, false);
  }

  private long firstGrantToOther(
      LongFunction<TargetDirectory> directories,
      LongFunction<GrantOutcome> outcomes,
      boolean releases) {
    RangeCoordinator coordinator = begin(stored(), RangeListener.NONE, 0);
    for (long now = 0; now < 30_000 * NANOS_PER_MILLI; now += TICK_NANOS) {
      for (RangeAction action : coordinator.tick(now, inputs(directories.apply(now)))) {
        switch (action) {
          case RangeAction.Write a -> coordinator.onWritten(a.table());
          case RangeAction.Release a -> coordinator.onRelease(now, a.entry(), releases, null);
          case RangeAction.Grant a -> {
            if (a.entry().owner().equals(OTHER.incarnation())) {
              return now;
            }
            coordinator.onGrant(now, a.entry(), outcomes.apply(now));
          }
        }
      }
    }
    throw new AssertionError("the keys were never granted to another owner within 30 s");
  }
}
