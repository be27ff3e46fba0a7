package org.cowslipmoor.daemon.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.ServerSocket;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.CoordinationLoad;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.fleet.MemberList;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.Leadership;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.core.range.RangeTiming;
import org.cowslipmoor.core.range.ServiceLoad;
import org.cowslipmoor.core.range.TableRestoration;
import org.cowslipmoor.schema.fleet.StoreNews;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests a coordinator that the store rejects, and what it exchanges with hosts and successors. */
final class SuccessorTest {
  private static final long LEASE_MILLIS = 1_500;
  private static final long NEW_TERM = 5;
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final DiscoveredTarget LEAVING =
      new DiscoveredTarget(
          new TargetIncarnation("t", 1), "stock", "127.0.0.1:9", "cairo", 1, false, 0);

  private static final DiscoveredTarget OTHER_LEAVING =
      new DiscoveredTarget(
          new TargetIncarnation("u", 1), "stock", "127.0.0.1:10", "cairo", 1, false, 0);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  /** A host; its methods run on the event loop. */
  private final class Host {
    final String id;
    final String address;
    final ScriptedStore store = new ScriptedStore();
    final Coordination coordination;
    final FleetExchange fleet;

    /** The targets that the host itself knows to be leaving. */
    final Set<TargetIncarnation> leaving = ConcurrentHashMap.newKeySet();

    /** The targets that a state of the fleet has listed as leaving. */
    final Set<TargetIncarnation> listed = ConcurrentHashMap.newKeySet();

    private MemberList members = MemberList.empty();
    private RangeTable table = RangeTable.empty();
    private StoreView view = view(null);

    Host(String id) throws Exception {
      this(id, 1e8);
    }

    Host(String id, double linkBytesPerSecond) throws Exception {
      this.id = id;
      try (ServerSocket free = new ServerSocket(0)) {
        address = "127.0.0.1:" + free.getLocalPort();
      }
      coordination =
          new Coordination(
              id,
              store,
              new UnresponsiveTargets(),
              Leadership.create(LEASE_MILLIS, new SplittableRandom(1)),
              RangeTiming.standard(10_000, LEASE_MILLIS, 600),
              () -> view,
              unused -> ServiceLoad.uniform(),
              new CoordinationLoad(1e8, 1));
      fleet =
          new FleetExchange(
              group,
              id,
              "cairo",
              linkBytesPerSecond,
              store,
              coordination,
              () -> view,
              this::report,
              state -> listed.addAll(state.leaving()),
              (target, unused) -> leaving.add(target));
      fleet.listen(HostAndPort.fromString(address));
    }

    private HostReport report() {
      return new HostReport(
          ImmutableMap.of(),
          ImmutableMap.of(),
          new HostReport.StoreKnowledge(new StorePlace(0, 1), table.version(), table.lastFence()),
          ImmutableSet.of(),
          ImmutableSet.copyOf(leaving),
          System.nanoTime());
    }

    private StoreView view(StoreView.@Nullable Coordinator coordinator) {
      return new StoreView(
          null,
          TargetDirectory.of(List.of(LEAVING, OTHER_LEAVING)),
          table,
          0,
          members,
          new StorePlace(0, 1),
          coordinator,
          true,
          new StorePlace(0, 1));
    }

    StoreView.Coordinator asCoordinator(long term) {
      return new StoreView.Coordinator(id, address, term(term));
    }

    /** Applies the store's state, in which the given host is the coordinator. */
    void learn(StoreView.@Nullable Coordinator coordinator) throws Exception {
      run(
          () -> {
            view = view(coordinator);
            fleet.onView(view);
          });
    }

    void becomeCoordinator(long term) throws Exception {
      store.claim =
          CompletableFuture.completedFuture(
              new SharedStore.ClaimResult(
                  SharedStore.CallResult.DONE, new Leadership.Lease(term, term(term))));
      learn(null);
      long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
      while (!coordination.isCoordinator() && System.nanoTime() - until < 0) {
        run(
            () -> {
              coordination.tick();
              while (!store.reads.isEmpty()) {
                store
                    .reads
                    .remove()
                    .complete(new SharedStore.TableResult(true, RangeTable.empty(), 0));
              }
            });
      }
      learn(asCoordinator(term));
      assertThat(coordination.isCoordinator(), is(true));
    }

    /** Exchanges reports until an update arrives at the given host; null if none does. */
    @Nullable StoreNews tickUntilUpdateAt(Host receiver) throws Exception {
      StoreNews update = null;
      long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
      while (update == null && System.nanoTime() - until < 0) {
        run(fleet::tick);
        update = receiver.store.relayed.poll(50, TimeUnit.MILLISECONDS);
      }
      return update;
    }
  }

  private static StorePlace term(long revision) {
    return new StorePlace(0, revision);
  }

  private void run(Runnable task) throws Exception {
    group.next().submit(task).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Guards against hosts that the store rejects together with their coordinator: they report to it
   * for as long, and get no updates from its successor.
   */
  @Test
  void rejectedCoordinatorAndItsReportersLearnOfTheSuccessor() throws Exception {
    Host predecessor = new Host("old");
    Host successor = new Host("new");
    final Host reporter = new Host("reporter");
    predecessor.becomeCoordinator(ScriptedStore.LEASE.term().revision());
    reporter.learn(predecessor.asCoordinator(ScriptedStore.LEASE.term().revision()));
    successor.learn(predecessor.asCoordinator(ScriptedStore.LEASE.term().revision()));
    successor.becomeCoordinator(NEW_TERM);
    reporter.store.relayed.clear();
    predecessor.store.relayed.clear();
    run(reporter.fleet::tick);

    StoreNews notice = successor.tickUntilUpdateAt(predecessor);

    assertThat(notice, is(notNullValue()));
    assertThat(notice.getSince(), is(ScriptedStore.COORDINATOR_UPDATE));
    predecessor.learn(successor.asCoordinator(NEW_TERM));
    assertThat(predecessor.coordination.isCoordinator(), is(false));
    assertThat(predecessor.coordination.lease(), is(nullValue()));
    StoreNews passedOn = reporter.store.relayed.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertThat(passedOn, is(notNullValue()));
    assertThat(passedOn.getSince(), is(ScriptedStore.COORDINATOR_UPDATE));
  }

  /** Guards against grants by the table of an older copy while a host knows a newer one. */
  @Test
  void firstCoordinatorOfNewEraAsksTheHostThatKnowsTheNewestTable() throws Exception {
    final Host reporter = new Host("reporter");
    reporter.table = RangeTable.of(9, 90, List.of());
    Host coordinator = new Host("new");
    coordinator.members = MemberList.of(ImmutableSet.of("new", "reporter"));
    coordinator.store.era = 1;
    coordinator.store.claim =
        CompletableFuture.completedFuture(
            new SharedStore.ClaimResult(
                SharedStore.CallResult.DONE, new Leadership.Lease(3, new StorePlace(1, NEW_TERM))));
    coordinator.store.records =
        new SharedStore.RecordsResult(true, TableRestoration.Records.NONE, 0, 0, 0);
    coordinator.learn(null);
    reporter.learn(coordinator.asCoordinator(NEW_TERM));
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);

    while (coordinator.store.restored.isEmpty() && System.nanoTime() - until < 0) {
      run(reporter.fleet::tick);
      run(coordinator.coordination::tick);
      TimeUnit.MILLISECONDS.sleep(20);
    }

    assertThat(coordinator.store.restored.isEmpty(), is(false));
    RangeTable restored = coordinator.store.restored.get(0).table();
    assertThat(restored.version(), is(9 + TableRestoration.INCREMENT));
    assertThat(restored.lastFence(), is(90 + TableRestoration.INCREMENT));
  }

  /** The successor may have been cut off from its predecessor, or may have just started. */
  @Test
  void successorLearnsOfLeavingTargetsThatItsPredecessorHasListed() throws Exception {
    Host predecessor = new Host("old");
    final Host successor = new Host("new");
    Host reporter = new Host("reporter");
    predecessor.becomeCoordinator(ScriptedStore.LEASE.term().revision());
    reporter.learn(predecessor.asCoordinator(ScriptedStore.LEASE.term().revision()));
    reporter.leaving.add(LEAVING.incarnation());
    tickUntilContained(predecessor.leaving, reporter);
    tickUntilContained(reporter.listed, predecessor);

    successor.becomeCoordinator(NEW_TERM);
    reporter.learn(successor.asCoordinator(NEW_TERM));

    tickUntilContained(successor.leaving, reporter);
  }

  /** The loads of many targets keep the link of a large fleet's coordinator busy for seconds. */
  @Test
  void leavingTargetIsListedWhileTheLinkHasNoRoomForLoads() throws Exception {
    Host coordinator = new Host("a", 1);
    Host reporter = new Host("reporter");
    coordinator.becomeCoordinator(NEW_TERM);
    reporter.learn(coordinator.asCoordinator(NEW_TERM));
    reporter.leaving.add(LEAVING.incarnation());
    tickUntilContained(coordinator.leaving, reporter);
    tickUntilContained(reporter.listed, coordinator);
    reporter.leaving.add(OTHER_LEAVING.incarnation());

    tickUntil(() -> coordinator.leaving.contains(OTHER_LEAVING.incarnation()), reporter);
    tickUntil(() -> reporter.listed.contains(OTHER_LEAVING.incarnation()), coordinator);
  }

  private void tickUntilContained(Set<TargetIncarnation> targets, Host sender) throws Exception {
    tickUntil(() -> targets.contains(LEAVING.incarnation()), sender);
  }

  private void tickUntil(BooleanSupplier condition, Host sender) throws Exception {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime() - until < 0, is(true));
      run(sender.fleet::tick);
    }
  }

  /** The state that a host has cached may name a coordinator from before its own claim. */
  @Test
  void coordinatorKeepsItsTermWhenItsCacheNamesAnEarlierOne() throws Exception {
    Host host = new Host("new");
    host.becomeCoordinator(NEW_TERM);

    host.learn(new StoreView.Coordinator("old", "127.0.0.1:9", term(NEW_TERM - 1)));

    assertThat(host.coordination.isCoordinator(), is(true));
  }

  /**
   * Guards against the removal of living members by a coordinator that is partitioned from them.
   */
  @Test
  void suspectedMemberObjectsInTheStore() throws Exception {
    Host host = new Host("a");
    host.members = MemberList.of(ImmutableSet.of("a", "b")).suspecting(ImmutableSet.of("a", "b"));
    host.learn(new StoreView.Coordinator("other", "127.0.0.1:9", term(NEW_TERM)));

    run(host.fleet::tick);

    assertThat(host.store.objections, is(List.of(host.members.trusting("a"))));
  }
}
