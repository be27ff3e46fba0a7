package org.cowslipmoor.daemon.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.CoordinationLoad;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.fleet.MemberList;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.KeyRange;
import org.cowslipmoor.core.range.Leadership;
import org.cowslipmoor.core.range.RangeEntry;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.core.range.RangeTiming;
import org.cowslipmoor.core.range.ServiceLoad;
import org.cowslipmoor.core.range.TableRestoration;
import org.junit.jupiter.api.Test;

final class CoordinationTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long TICK_NANOS = 20 * NANOS_PER_MILLI;

  /** Time for which reports are awaited, and the next tick. */
  private static final long TABLE_COLLECTION_NANOS = 2_200_000_000L;

  private static final long LEASE_MILLIS = 1_500;
  private static final long COMMAND_MILLIS = 600;
  private static final Leadership.Lease LEASE = ScriptedStore.LEASE;
  private static final SharedStore.TableResult NO_RESPONSE =
      new SharedStore.TableResult(false, RangeTable.empty(), 0);
  private static final RangeTable TABLE =
      RangeTable.of(
          3,
          7,
          List.of(
              new RangeEntry(
                  "stock", KeyRange.ALL, new TargetIncarnation("t", 1), "t:1", 7, null)));

  private long now;
  private final ScriptedStore store = new ScriptedStore();
  private final Coordination coordination =
      new Coordination(
          "h",
          store,
          new UnresponsiveTargets(),
          Leadership.create(LEASE_MILLIS, new SplittableRandom(1)),
          RangeTiming.standard(10_000, LEASE_MILLIS, COMMAND_MILLIS),
          () ->
              new StoreView(
                  null,
                  TargetDirectory.empty(),
                  RangeTable.empty(),
                  0,
                  MemberList.empty(),
                  StorePlace.START,
                  null,
                  true,
                  new StorePlace(0, 1)),
          unused -> ServiceLoad.uniform(),
          new CoordinationLoad(1e8, 1),
          () -> now,
          () -> now);

  /** A store that rejects calls must not be called again at once: every call is charged. */
  @Test
  void lostWriteIsLookedUpAgainOnlyAfterTheInterval() {
    loseWriteResponse();

    store.reads.remove().complete(NO_RESPONSE);

    assertThat(store.writes, is(1));
    assertThat(store.reads.size(), is(0));
    run(Coordination.LOOK_UP_INTERVAL_NANOS - TICK_NANOS);
    assertThat(store.reads.size(), is(0));
    run(TICK_NANOS);
    assertThat(store.reads.size(), is(1));
    run(5 * Coordination.LOOK_UP_INTERVAL_NANOS);
    assertThat(store.reads.size(), is(1));
  }

  @Test
  void lostWriteIsLookedUpOnlyWhileTheLeaseIsValid() {
    loseWriteResponse();
    store.renewal = SharedStore.CallResult.UNKNOWN;
    run(LEASE_MILLIS * NANOS_PER_MILLI);
    assertThat(coordination.lease(), is(nullValue()));

    store.reads.remove().complete(NO_RESPONSE);
    run(5 * Coordination.LOOK_UP_INTERVAL_NANOS);
    assertThat(store.reads.size(), is(0));

    store.renewal = SharedStore.CallResult.DONE;
    run(Coordination.LOOK_UP_INTERVAL_NANOS);
    assertThat(coordination.lease(), is(notNullValue()));
    assertThat(store.reads.size(), is(1));
  }

  @Test
  void lostWriteIsNotLookedUpAfterItsTermHasEnded() {
    loseWriteResponse();
    store.reads.remove().complete(NO_RESPONSE);

    coordination.resign();
    run(5 * Coordination.LOOK_UP_INTERVAL_NANOS);

    assertThat(store.reads.size(), is(0));
  }

  @Test
  void tableThatTheLookUpFindsIsNotRewritten() {
    loseWriteResponse();
    store.reads.remove().complete(NO_RESPONSE);
    run(Coordination.LOOK_UP_INTERVAL_NANOS);

    store.reads.remove().complete(new SharedStore.TableResult(true, store.written, 11));
    run(5 * Coordination.LOOK_UP_INTERVAL_NANOS);

    assertThat(coordination.tableVersion(), is(store.written.version()));
    assertThat(store.writes, is(1));
    assertThat(store.reads.size(), is(0));
  }

  /** A lease that is not ended keeps the other hosts from claiming until it expires. */
  @Test
  void claimThatSucceedsAfterResigningIsEndedAtOnce() {
    CompletableFuture<SharedStore.ClaimResult> claim = new CompletableFuture<>();
    store.claim = claim;
    run(LEASE_MILLIS * NANOS_PER_MILLI);

    coordination.resign();
    assertThat(store.ended, is(empty()));
    claim.complete(new SharedStore.ClaimResult(SharedStore.CallResult.DONE, LEASE));

    assertThat(store.ended, is(List.of(LEASE)));
    assertThat(coordination.lease(), is(nullValue()));
  }

  /** Guards against grants under a lease that the store lost by coming back from a copy. */
  @Test
  void coordinatorStopsAtOnceWhenTheStoreHasComeBack() {
    runUntilRead();
    store.reads.remove().complete(new SharedStore.TableResult(true, TABLE, 9));
    assertThat(coordination.isCoordinator(), is(true));

    store.era = 1;
    run(TICK_NANOS);

    assertThat(coordination.isCoordinator(), is(false));
    assertThat(coordination.lease(), is(nullValue()));
  }

  /** A coordinator that the store does not serve learns of the new era from the hosts. */
  @Test
  void coordinatorStopsAtOnceWhenHostReportsNewEra() {
    runUntilRead();
    store.reads.remove().complete(new SharedStore.TableResult(true, TABLE, 9));

    coordination.onReport(
        "other", new HostReport.StoreKnowledge(new StorePlace(1, 3), TABLE.version(), 0));

    assertThat(coordination.isCoordinator(), is(false));
  }

  /** Guards against grants by the table of an older copy. */
  @Test
  void firstCoordinatorOfNewEraRestoresTheTableOfItsReporters() {
    beginEra();
    coordination.onReport(
        "other", new HostReport.StoreKnowledge(new StorePlace(1, 3), TABLE.version(), 70));
    run(TABLE_COLLECTION_NANOS);

    assertThat(coordination.isRestoring(), is(false));
    assertThat(coordination.isCoordinator(), is(true));
    assertThat(store.restored.get(0).table().lastFence(), is(70 + TableRestoration.INCREMENT));
    assertThat(store.writes, is(1));
  }

  @Test
  void coordinatorThatLosesItsStoreWhileRestoringBeginsAgain() {
    beginEra();
    store.era = 2;
    run(TICK_NANOS);
    assertThat(coordination.isCoordinator(), is(false));
    assertThat(store.restored, is(empty()));
  }

  private void beginEra() {
    store.era = 1;
    store.claim =
        CompletableFuture.completedFuture(
            new SharedStore.ClaimResult(
                SharedStore.CallResult.DONE, new Leadership.Lease(3, new StorePlace(1, 5))));
    store.records =
        new SharedStore.RecordsResult(
            true, new TableRestoration.Records(TABLE, MemberList.empty()), 4, 0, 0);
    run(LEASE_MILLIS * NANOS_PER_MILLI);
    assertThat(coordination.isRestoring(), is(true));
    assertThat(store.writes, is(0));
  }

  /** Runs until the table was written without a response and is being looked up. */
  private void loseWriteResponse() {
    runUntilRead();
    store.reads.remove().complete(new SharedStore.TableResult(true, TABLE, 9));
    runUntilRead();
  }

  private void runUntilRead() {
    long end = now + 10 * LEASE_MILLIS * NANOS_PER_MILLI;
    while (store.reads.isEmpty() && now < end) {
      run(TICK_NANOS);
    }
  }

  private void run(long durationNanos) {
    for (long end = now + durationNanos; now < end; ) {
      now += TICK_NANOS;
      coordination.tick();
    }
  }
}
