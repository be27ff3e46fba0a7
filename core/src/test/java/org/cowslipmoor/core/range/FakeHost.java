package org.cowslipmoor.core.range;

import static org.cowslipmoor.core.range.GrantOutcome.NOT_SENT;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.SplittableRandom;
import org.cowslipmoor.core.discovery.Evacuations;
import org.cowslipmoor.core.discovery.LeavingTargets;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.FleetAggregator;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.fleet.LeavingReports;
import org.cowslipmoor.core.fleet.MemberList;
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

  /** Time from the request to evacuate a data centre until the last request to a target there. */
  private static final long EVACUATION_LIMIT_NANOS = 5_000 * VirtualTime.NANOS_PER_MILLI;

  private final RangeSimulation simulation;
  private final String id;
  private final VirtualTime time;
  private final FakeStore store;
  private final SplittableRandom random;
  private final Leadership leadership;
  private final LeavingTargets leaving = LeavingTargets.create();
  private final Evacuations evacuations = Evacuations.create();
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

  private final LostHistory history = new LostHistory();
  private TableRestoration restoration;
  private FakeStore.Records storedRecords;
  private boolean areRecordsOutdated;
  private List<FleetState.MovingRange> moving = List.of();

  /** What this host knows of the store, also from a former era. */
  private static final class LostHistory {
    long era;
    long restoredAt = -1;
    RangeTable table = RangeTable.empty();
    MemberList members = MemberList.empty();
  }

  /** Whether this host does not know of eras, as before there were any. */
  boolean ignoresEra;

  /** Whether this host begins a term by the table in the store, however old that is. */
  boolean trustsRestoredTable;

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
    this.evacuations.onLimit(EVACUATION_LIMIT_NANOS);
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
    return (coordinator != null || restoration != null) && leadership.leads(now());
  }

  String id() {
    return id;
  }

  /** Returns the term of this host's lease, which it must hold. */
  StorePlace term() {
    return leadership.lease().term();
  }

  void stop() {
    isRunning = false;
  }

  long knownEra() {
    return history.era;
  }

  /** Returns the members that this host knows. */
  MemberList members() {
    return history.members;
  }

  RangeTable knownTable() {
    return history.table;
  }

  /** Learns of the store's era; a new one ends the term of a lease that the store has lost. */
  void onEra(long era) {
    if (ignoresEra || era <= history.era) {
      return;
    }
    history.era = era;
    history.restoredAt = now();
    Leadership.Lease held = leadership.lease();
    if (held != null && held.term().era() < era) {
      leadership.onLeaseLost(now());
      coordinator = null;
      restoration = null;
    }
  }

  /** Takes over what the store has; a table of an older copy does not replace a newer one. */
  private void readStore() {
    onEra(store.era());
    boolean isOlder = !ignoresEra && store.table().version() < history.table.version();
    if (!isOlder) {
      history.table = store.table();
    }
    if (store.tableEra() == history.era || history.members.members().isEmpty()) {
      history.members = store.members();
    }
  }

  private TableRestoration.Records records() {
    return new TableRestoration.Records(history.table, history.members);
  }

  private HostReport.StoreKnowledge knowledge() {
    return new HostReport.StoreKnowledge(
        new StorePlace(history.era, 1), history.table.version(), history.table.lastFence());
  }

  /** Exchanges what hosts know of the table, and which ranges are being transferred. */
  private void exchangeKnowledge() {
    HostReport.StoreKnowledge known = knowledge();
    simulation
        .coordinator()
        .filter(c -> c != this && c.restoration != null)
        .ifPresent(c -> simulation.exchange(c, () -> c.onKnowledge(id, known)));
    RangeCoordinator c = coordinator;
    if (c != null) {
      List<FleetState.MovingRange> ranges = c.moving();
      simulation.runningHosts().forEach(to -> simulation.exchange(to, () -> to.moving = ranges));
    }
  }

  private void onKnowledge(String from, HostReport.StoreKnowledge known) {
    if (restoration != null) {
      restoration.onReport(from, known);
    }
  }

  private void readRecords() {
    if (isReading) {
      return;
    }
    isReading = true;
    Leadership.Lease lease = leadership.lease();
    store.readRecords(
        this,
        read -> {
          isReading = false;
          if (read.known() && leadership.leads(now()) && lease.equals(leadership.lease())) {
            onRecords(read);
          }
        });
  }

  private void onRecords(FakeStore.Records read) {
    areRecordsOutdated = false;
    if (trustsRestoredTable || read.tableEra() == leadership.lease().term().era()) {
      restoration = null;
      tableRevision = read.revision();
      long restoredAt = history.restoredAt < 0 ? now() - 60_000_000_000L : history.restoredAt;
      coordinator =
          RangeCoordinator.beginRestored(
              read.records().table(), List.of(), restoredAt, timing, RangeListener.NONE, now());
      return;
    }
    storedRecords = read;
    if (restoration == null) {
      restoration = TableRestoration.begin(id, records(), read.records(), now());
    } else {
      restoration.onStored(read.records());
    }
  }

  private void restore(TableRestoration r) {
    if (areRecordsOutdated) {
      readRecords();
      return;
    }
    for (TableRestoration.Step step : r.tick(now())) {
      switch (step) {
        case TableRestoration.Step.Ask ask -> ask(ask.host());
        case TableRestoration.Step.Write write -> writeRestored(r, write.records());
      }
    }
  }

  private void ask(String other) {
    simulation.runningHosts().stream()
        .filter(h -> h.id.equals(other))
        .forEach(
            h ->
                simulation.exchange(
                    h,
                    () -> {
                      TableRestoration.Records records = h.records();
                      simulation.exchange(this, () -> onAnswer(h.id, records));
                    }));
  }

  private void onAnswer(String from, TableRestoration.Records records) {
    if (restoration != null) {
      restoration.onAnswer(from, records);
    }
  }

  private void writeRestored(TableRestoration r, TableRestoration.Records records) {
    Leadership.Lease lease = leadership.lease();
    store.writeRestored(
        this,
        records,
        storedRecords.revision(),
        lease,
        written -> {
          if (restoration != r) {
            return;
          }
          if (written.result() != FakeStore.Result.DONE) {
            areRecordsOutdated = true;
            return;
          }
          restoration = null;
          tableRevision = written.revision();
          history.table = records.table();
          coordinator =
              RangeCoordinator.beginRestored(
                  records.table(), moving, now(), timing, RangeListener.NONE, now());
        });
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
      readStore();
      directory = simulation.directory();
      leaving.onTargets(directory.all().values(), now);
      evacuations.onEvacuated(simulation.evacuated, true, now);
      evacuations.onConfirmed(now);
      aggregator.onTargets(directory.all().values());
      leadership.onVacancy(now, store.isVacant(), 0);
    }
    if (simulation.exchangesLeaving && ++ticks % EXCHANGE_TICKS == 0) {
      exchangeLeaving(now);
    }
    if (simulation.exchangesKnowledge) {
      exchangeKnowledge();
    }
    leadership.tick(now).ifPresent(this::call);
    if (leadership.lease() == null) {
      restoration = null;
      coordinator = null;
    } else if (leadership.leads(now)) {
      RangeCoordinator c = coordinator;
      if (restoration != null) {
        restore(restoration);
      } else if (c == null && leadership.lease().term().era() > 0) {
        readRecords();
      } else if (c == null) {
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
    TargetDirectory unevacuated = directory.withDraining(leaving.targets());
    return new RangeInputs(
        ImmutableSet.of(RangeSimulation.SERVICE),
        unevacuated.withDraining(evacuations.restricted(unevacuated, now)),
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
        restoration = null;
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
              history.table = table;
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
            history.table = table;
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
