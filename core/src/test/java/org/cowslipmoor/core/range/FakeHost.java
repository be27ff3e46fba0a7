package org.cowslipmoor.core.range;

import static org.cowslipmoor.core.range.GrantOutcome.NOT_SENT;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.SplittableRandom;
import org.cowslipmoor.core.discovery.LeavingTargets;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.FleetAggregator;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.fleet.LeavingReports;
import org.cowslipmoor.core.fleet.StorePlace;

/**
 * A simulated host that acts as coordinator while it holds the store's lease. As in the daemon, its
 * work runs on one event loop, which may be slow or suspended.
 */
final class FakeHost {
  static final long LEASE_NANOS = 1_500 * VirtualTime.NANOS_PER_MILLI;

  /**
   * Time after a suspension in which arriving grants are exempt from the ownership check; the
   * platform's {@code thaw_ms}.
   */
  private static final long RESUME_GRACE_NANOS = 300 * VirtualTime.NANOS_PER_MILLI;

  private static final long RETRANSMISSION_NANOS = 200 * VirtualTime.NANOS_PER_MILLI;
  private static final long TICK_NANOS = 50 * VirtualTime.NANOS_PER_MILLI;

  /** Ticks between two reports or states. */
  private static final int EXCHANGE_TICKS = 5;

  private final RangeSimulation simulation;
  private final String id;
  private final VirtualTime time;
  private final FakeStore store;
  private final SplittableRandom random;
  private final Leadership leadership;
  private final LeavingTargets leaving = LeavingTargets.create();
  private final LeavingReports leavingReports = LeavingReports.create();
  private final FleetAggregator aggregator;
  private int ticks;
  private TargetDirectory directory = TargetDirectory.empty();
  private RangeCoordinator coordinator;
  private long tableRevision;
  private boolean isReading;
  private boolean isRunning = true;
  private long suspendedNanos;
  private long handledSuspendedNanos;
  private long resumesAt;
  private boolean wasSuspended;

  /** Timing that this host uses. */
  RangeTiming timing = timing(10_000);

  /** Time from the tick that decides on a command to its sending. */
  long sendDelayNanos;

  /** Maximum random addition to {@link #sendDelayNanos}. */
  long maxSendJitterNanos;

  /** Time from a response's arrival to its processing. */
  long responseDelayNanos;

  /**
   * Creates a host that is not coordinator.
   *
   * @param trustedLeaseNanos the duration that this host assumes for its leases
   */
  FakeHost(RangeSimulation simulation, String id, long trustedLeaseNanos, SplittableRandom random) {
    this.id = id;
    this.simulation = simulation;
    this.time = simulation.time;
    this.store = simulation.store;
    this.random = random;
    this.leadership =
        Leadership.create(trustedLeaseNanos / VirtualTime.NANOS_PER_MILLI, random.split());
    this.aggregator = FleetAggregator.create(now());
    this.resumesAt = time.now();
    time.schedule(TICK_NANOS, () -> runOnLoop(this::tick));
  }

  /** Returns the timing for targets that allow a given maximum hold. */
  static RangeTiming timing(long maxHoldMillis) {
    return RangeTiming.standard(
        maxHoldMillis,
        LEASE_NANOS / VirtualTime.NANOS_PER_MILLI,
        RangeSimulation.CALL_TIMEOUT_NANOS / VirtualTime.NANOS_PER_MILLI);
  }

  /** Claims the coordinator's role without a delay. */
  void claimAtOnce() {
    leadership.onClaimed(now(), store.claimNow());
    tableRevision = 0;
    store.read(this, this::onTable);
  }

  boolean leads() {
    return coordinator != null && leadership.leads(now());
  }

  /** Returns the term of this host's lease, which it must hold. */
  StorePlace term() {
    return leadership.lease().term();
  }

  void stop() {
    isRunning = false;
  }

  boolean isRunning() {
    return isRunning;
  }

  /** Records that a target is leaving. */
  void onLeaving(TargetIncarnation target) {
    leaving.onLeaving(target, now());
  }

  /** Suspends the host for a time in which its clock doesn't advance; calls stay in flight. */
  void suspend(long durationNanos) {
    if (time.now() < resumesAt) {
      return;
    }
    resumesAt = time.now() + durationNanos;
    suspendedNanos += durationNanos;
    wasSuspended = true;
  }

  /**
   * Returns whether this host has resumed so recently that its grants are exempt from the check.
   */
  boolean hasJustResumed() {
    return wasSuspended && time.now() - resumesAt < RESUME_GRACE_NANOS;
  }

  /** Handles a response; one that arrives during a suspension is retransmitted after it. */
  void onResponse(Runnable work) {
    if (time.now() < resumesAt) {
      time.schedule(resumesAt - time.now() + RETRANSMISSION_NANOS, () -> onResponse(work));
    } else {
      runOnLoop(work);
    }
  }

  /** Runs work as soon as the host is not suspended. */
  private void runOnLoop(Runnable work) {
    if (time.now() < resumesAt) {
      time.schedule(resumesAt - time.now(), () -> runOnLoop(work));
    } else if (isRunning) {
      work.run();
    }
  }

  /** Runs work after a delay by the host's clock. */
  void schedule(long delayNanos, Runnable work) {
    scheduleAt(now() + delayNanos, work);
  }

  private void scheduleAt(long due, Runnable work) {
    time.schedule(
        Math.max(0, due - now()),
        () ->
            runOnLoop(
                () -> {
                  if (now() < due) {
                    scheduleAt(due, work);
                  } else {
                    work.run();
                  }
                }));
  }

  private long now() {
    return time.now() - suspendedNanos;
  }

  private void tick() {
    long now = now();
    schedule(TICK_NANOS, this::tick);
    handleSuspension(now);
    if (store.isReachableBy(this)) {
      directory = simulation.directory();
      leaving.onTargets(directory.all().values(), now);
      aggregator.onTargets(directory.all().values());
      leadership.onVacancy(now, store.isVacant(), 0);
    }
    if (simulation.exchangesLeaving && ++ticks % EXCHANGE_TICKS == 0) {
      exchangeLeaving(now);
    }
    leadership.tick(now).ifPresent(this::call);
    if (leadership.lease() == null) {
      coordinator = null;
    } else if (leadership.leads(now)) {
      RangeCoordinator c = coordinator;
      if (c == null) {
        beginTerm();
      } else {
        c.tick(now, inputs(now)).forEach(a -> perform(c, a));
      }
    }
  }

  /** Reports the leaving targets, and sends the state of the fleet while this host leads. */
  private void exchangeLeaving(long now) {
    simulation
        .coordinator()
        .ifPresent(
            to -> {
              leavingReports.onTerm(to.term());
              HostReport report =
                  new HostReport(
                      ImmutableMap.of(),
                      ImmutableMap.of(),
                      HostReport.StoreKnowledge.NONE,
                      ImmutableSet.of(),
                      leavingReports.pending(leaving.targets(), directory),
                      now);
              simulation.exchange(to, () -> to.onReport(this, report));
            });
    if (leads()) {
      FleetState state = aggregator.state(now, 0, ImmutableList.of(), ImmutableSet.of(), true);
      StorePlace term = term();
      for (FakeHost to : simulation.runningHosts()) {
        simulation.exchange(to, () -> to.onState(state, term));
      }
    }
  }

  private void onReport(FakeHost from, HostReport report) {
    aggregator.onReport(from.id, report, now()).forEach(this::onLeaving);
  }

  private void onState(FleetState state, StorePlace term) {
    if (simulation.coordinator().filter(c -> c.term().equals(term)).isPresent()) {
      leavingReports.onState(state);
    }
    state.leaving().forEach(this::onLeaving);
  }

  private RangeInputs inputs(long now) {
    return new RangeInputs(
        ImmutableSet.of(RangeSimulation.SERVICE),
        directory.withDraining(leaving.targets()),
        unused -> simulation.load,
        leadership.isRecentlyRenewed(now));
  }

  private void call(Leadership.Action action) {
    long sentAt = now();
    switch (action) {
      case Leadership.Action.Claim a -> store.claim(this, lease -> onClaim(sentAt, lease));
      case Leadership.Action.Renew a ->
          store.renew(this, a.lease(), result -> onRenewal(sentAt, result));
      case Leadership.Action.End a -> store.revoke();
    }
  }

  private void onClaim(long sentAt, Leadership.Lease lease) {
    if (lease == null) {
      leadership.onClaimFailed(now());
    } else {
      leadership.onClaimed(sentAt, lease);
    }
  }

  private void onRenewal(long sentAt, FakeStore.Result result) {
    switch (result) {
      case DONE -> leadership.onRenewed(sentAt);
      case REFUSED -> {
        leadership.onLeaseLost(now());
        coordinator = null;
      }
      case UNKNOWN -> leadership.onRenewalUnknown();
      default -> throw new IllegalArgumentException("unknown result: " + result);
    }
  }

  private void beginTerm() {
    if (!isReading) {
      isReading = true;
      store.read(this, this::onTable);
    }
  }

  private void onTable(FakeStore.Read read) {
    isReading = false;
    if (read.known() && leadership.leads(now())) {
      tableRevision = read.revision();
      coordinator = RangeCoordinator.begin(read.table(), timing, RangeListener.NONE, now());
    }
  }

  private void handleSuspension(long now) {
    if (handledSuspendedNanos != suspendedNanos) {
      handledSuspendedNanos = suspendedNanos;
      leadership.onSuspended(now);
    }
  }

  private void perform(RangeCoordinator c, RangeAction action) {
    switch (action) {
      case RangeAction.Grant a -> send(c, () -> grant(c, a), () -> onGrant(c, a, NOT_SENT));
      case RangeAction.Release a -> {
        if (simulation.assumesReleases) {
          onRelease(c, a, true);
        } else {
          send(c, () -> release(c, a), () -> onRelease(c, a, false));
        }
      }
      case RangeAction.Write a -> write(c, a.table());
    }
  }

  private void grant(RangeCoordinator c, RangeAction.Grant a) {
    simulation.grant(this, a, outcome -> deliverResponse(() -> onGrant(c, a, outcome)));
  }

  private void onGrant(RangeCoordinator c, RangeAction.Grant a, GrantOutcome outcome) {
    c.onGrant(now(), a.entry(), outcome);
  }

  private void release(RangeCoordinator c, RangeAction.Release a) {
    simulation.release(this, a.entry(), done -> deliverResponse(() -> onRelease(c, a, done)));
  }

  private void onRelease(RangeCoordinator c, RangeAction.Release a, boolean done) {
    c.onRelease(now(), a.entry(), done, done ? "handover" : null);
  }

  /** Sends a command some time after its decision, if its coordinator still leads by then. */
  private void send(RangeCoordinator c, Runnable work, Runnable notSent) {
    long jitterNanos = maxSendJitterNanos == 0 ? 0 : random.nextLong(maxSendJitterNanos);
    schedule(
        sendDelayNanos + jitterNanos,
        () -> {
          handleSuspension(now());
          boolean maySend = coordinator == c && leadership.leads(now());
          (maySend ? work : notSent).run();
        });
  }

  private void deliverResponse(Runnable work) {
    time.schedule(responseDelayNanos, () -> onResponse(work));
  }

  private void write(RangeCoordinator c, RangeTable table) {
    Leadership.Lease lease = leadership.lease();
    if (lease == null) {
      return;
    }
    store.write(
        this,
        table,
        tableRevision,
        lease,
        written -> {
          switch (written.result()) {
            case DONE -> {
              tableRevision = written.revision();
              c.onWritten(table);
            }
            case REFUSED -> endTerm(c);
            case UNKNOWN -> resolve(c, table);
            default -> throw new IllegalArgumentException("unknown result: " + written);
          }
        });
  }

  private void resolve(RangeCoordinator c, RangeTable table) {
    if (coordinator != c) {
      return;
    }
    store.read(
        this,
        found -> {
          if (!found.known()) {
            resolve(c, table);
          } else if (found.table().version() == table.version()
              && found.table().entries().equals(table.entries())) {
            tableRevision = found.revision();
            c.onWritten(table);
          } else if (found.revision() == tableRevision) {
            c.onNotWritten();
          } else {
            endTerm(c);
          }
        });
  }

  private void endTerm(RangeCoordinator c) {
    if (coordinator == c) {
      coordinator = null;
    }
  }
}
