package org.cowslipmoor.daemon.coordination;

import com.google.common.annotations.VisibleForTesting;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.CoordinationLoad;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.Leadership;
import org.cowslipmoor.core.range.RangeAction;
import org.cowslipmoor.core.range.RangeCoordinator;
import org.cowslipmoor.core.range.RangeEntry;
import org.cowslipmoor.core.range.RangeInputs;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.core.range.RangeTiming;
import org.cowslipmoor.core.range.ServiceLoad;
import org.cowslipmoor.core.range.TableRestoration;
import org.cowslipmoor.core.routing.RoutingConfiguration;
import org.cowslipmoor.core.routing.ServiceDescription;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Executes the decisions of {@link Leadership} and {@link RangeCoordinator}: claims and renews the
 * coordinator's lease, writes the range table, and sends commands to targets. Confined to the
 * host's event loop.
 */
public final class Coordination {
  /** Delay between two reads that look up the same table in the store; every call is charged. */
  @VisibleForTesting static final long LOOK_UP_INTERVAL_NANOS = 400_000_000L;

  /**
   * Number of versions by which a list of ranges that are being transferred may be older than the
   * newest table. The list is sent four times a second, and a table is written at most about seven
   * times.
   */
  private static final int MOVING_VERSIONS = 2;

  private final String host;
  private final SharedStore store;
  private final TargetCommands commands;
  private final Leadership leadership;
  private final RangeTiming timing;
  private final Supplier<StoreView> view;
  private final Function<String, ServiceLoad> serviceLoads;
  private final CoordinationLoad coordinationLoad;
  private final LongSupplier steadyClock;
  private final LongSupplier timeOfDay;
  private final SuspensionDetector suspensionDetector;
  private final OwnershipLog log;
  private Supplier<ImmutableSet<TargetIncarnation>> coldTargets = ImmutableSet::of;
  private Runnable onReleaseStarted = () -> {};
  private @Nullable RangeCoordinator coordinator;
  private boolean isReadingTable;
  private boolean wasRecentlyRenewed;
  private long tableRevision;
  private @Nullable LookUp lookUp;
  private @Nullable TableRestoration restoration;
  private SharedStore.RecordsResult storedRecords = SharedStore.RecordsResult.UNKNOWN;
  private boolean areRecordsOutdated;
  private RangeTable lastWritten = RangeTable.empty();
  private ImmutableList<FleetState.MovingRange> lastMoving = ImmutableList.of();
  private long lastMovingVersion;
  private long movesFrom;
  private int restorations;
  private Consumer<String> onAsk = unused -> {};

  /**
   * A scheduled read of the table that finds out the outcome of a write without a response.
   *
   * @param coordinator the coordinator of the term in which the table was written
   * @param table the table that was written
   * @param dueAt when to read the table, in nanoseconds
   */
  private record LookUp(RangeCoordinator coordinator, RangeTable table, long dueAt) {}

  /**
   * Creates the coordination of a host.
   *
   * @param host id of this host
   * @param view the host's cached view of the store
   * @param serviceLoads measured load of a keyed service
   * @param coordinationLoad estimate of the load that coordinating puts on this host
   */
  public Coordination(
      String host,
      SharedStore store,
      TargetCommands commands,
      Leadership leadership,
      RangeTiming timing,
      Supplier<StoreView> view,
      Function<String, ServiceLoad> serviceLoads,
      CoordinationLoad coordinationLoad) {
    this(
        host,
        store,
        commands,
        leadership,
        timing,
        view,
        serviceLoads,
        coordinationLoad,
        System::nanoTime,
        () -> TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis()));
  }

  /** Creates the coordination of a host with the given clocks, in nanoseconds. */
  @VisibleForTesting
  Coordination(
      String host,
      SharedStore store,
      TargetCommands commands,
      Leadership leadership,
      RangeTiming timing,
      Supplier<StoreView> view,
      Function<String, ServiceLoad> serviceLoads,
      CoordinationLoad coordinationLoad,
      LongSupplier steadyClock,
      LongSupplier timeOfDay) {
    this.host = host;
    this.store = store;
    this.commands = commands;
    this.leadership = leadership;
    this.timing = timing;
    this.view = view;
    this.serviceLoads = serviceLoads;
    this.coordinationLoad = coordinationLoad;
    this.steadyClock = steadyClock;
    this.timeOfDay = timeOfDay;
    this.suspensionDetector = new SuspensionDetector(now(), timeOfDay.getAsLong());
    this.log = OwnershipLog.create(now());
  }

  /** Executes what is due; must be called every few tens of milliseconds. */
  public void tick() {
    long now = now();
    checkSuspension(now);
    log.tick(now);
    logRenewalState(now);
    endTermOfFormerEra(now);
    StoreView v = view.get();
    leadership.onVacancy(
        now,
        v.isLoaded() && v.coordinator() == null,
        coordinationLoad.claimDelayNanos(v.members().size()));
    leadership.tick(now).ifPresent(this::call);
    if (leadership.lease() == null) {
      coordinator = null;
      restoration = null;
      return;
    }
    if (!leadership.leads(now)) {
      return;
    }
    TableRestoration r = restoration;
    if (r != null) {
      restore(r, now);
      return;
    }
    RangeCoordinator c = coordinator;
    if (c == null) {
      startTerm();
      return;
    }
    lookUpIfDue(now);
    c.tick(now, inputs(now)).forEach(a -> perform(c, a));
  }

  /** Ends this host's lease, so that another host can become coordinator at once. */
  public void resign() {
    Optional<Leadership.Action> end = leadership.resign();
    coordinator = null;
    restoration = null;
    end.ifPresent(this::call);
  }

  /**
   * Handles another host's claim: if its term is newer, this host's lease has ended in the store.
   * Returns whether it has.
   */
  public boolean onOtherCoordinator(StorePlace term) {
    Leadership.Lease held = leadership.lease();
    if (held == null || !term.isAfter(held.term())) {
      return false;
    }
    log.onTermEnd("another host is the coordinator");
    leadership.onLeaseLost(now());
    coordinator = null;
    restoration = null;
    return true;
  }

  /**
   * Handles a host's report. One of a later era than this host's lease shows that the lease has
   * ended in the store.
   */
  public void onReport(String from, HostReport.StoreKnowledge knowledge) {
    Leadership.Lease held = leadership.lease();
    if (held != null && knowledge.place().era() > held.term().era()) {
      endTermOfEra(held, knowledge.place().era(), now());
    }
    if (restoration != null) {
      restoration.onReport(from, knowledge);
    }
  }

  /** Handles the records that a host has sent for the restoration. */
  public void onRecords(String from, TableRestoration.Records records) {
    if (restoration != null) {
      restoration.onAnswer(from, records);
    }
  }

  /** Sets the sender of requests for the records of a host. */
  public void onAsk(Consumer<String> sender) {
    onAsk = sender;
  }

  /** Remembers the ranges that the coordinator's state lists as being transferred. */
  public void onFleetState(FleetState state) {
    if (state.tableVersion() >= lastMovingVersion) {
      lastMovingVersion = state.tableVersion();
      lastMoving = state.moving();
    }
  }

  /** Returns the newest table and members that this host knows, as of any era. */
  public TableRestoration.Records records() {
    StoreView v = view.get();
    RangeTable table = lastWritten.version() > v.table().version() ? lastWritten : v.table();
    return new TableRestoration.Records(table, v.memberList());
  }

  /** Returns whether this host is restoring the range table and the members. */
  public boolean isRestoring() {
    return restoration != null;
  }

  /** Returns how often this host has restored the range table. */
  public int restorations() {
    return restorations;
  }

  /** Returns the seconds until keys may move without the release by a former era's owner. */
  public double heldSeconds() {
    return restorations == 0 ? 0 : Math.max(0, (movesFrom - now()) / 1e9);
  }

  /** Sets a listener that runs when the release of keys begins. */
  public void onReleaseStarted(Runnable listener) {
    onReleaseStarted = listener;
  }

  /** Sets what knows the cold targets, which get keys only if no others can take them. */
  public void onColdTargets(Supplier<ImmutableSet<TargetIncarnation>> supplier) {
    coldTargets = supplier;
  }

  /** Returns whether this host is the coordinator. */
  public boolean isCoordinator() {
    return coordinator != null || restoration != null;
  }

  /** Returns this host's valid lease as coordinator; null without one. */
  public Leadership.@Nullable Lease lease() {
    return leadership.leads(now()) ? leadership.lease() : null;
  }

  /**
   * Returns the term in which this host may hand out allowances for cold targets now; empty if its
   * lease is not certain.
   */
  Optional<StorePlace> allowanceTerm() {
    checkSuspension(now());
    Leadership.Lease lease = lease();
    return Optional.ofNullable(lease).map(Leadership.Lease::term);
  }

  /** Returns the key ranges that are being revoked from their owners. */
  public ImmutableList<FleetState.MovingRange> moving() {
    RangeCoordinator c = coordinator;
    return c == null ? ImmutableList.of() : c.moving();
  }

  /** Returns the version of the table that {@link #moving} refers to. */
  public long tableVersion() {
    RangeCoordinator c = coordinator;
    return c == null ? 0 : c.version();
  }

  /** Ends a term whose lease the store has lost by coming back from an older copy. */
  private void endTermOfFormerEra(long now) {
    Leadership.Lease held = leadership.lease();
    if (held != null && store.era() > held.term().era()) {
      endTermOfEra(held, store.era(), now);
    }
  }

  private void endTermOfEra(Leadership.Lease held, long era, long now) {
    log.onTermEnd("the store came back in era " + era + " after " + held.term().era());
    leadership.onLeaseLost(now);
    coordinator = null;
    restoration = null;
  }

  private void checkSuspension(long now) {
    if (suspensionDetector.wasSuspended(now, timeOfDay.getAsLong())) {
      Logger.warn("the process was suspended; no commands are sent until the lease is renewed");
      leadership.onSuspended(now);
    }
  }

  private void logRenewalState(long now) {
    boolean recentlyRenewed = leadership.isRecentlyRenewed(now);
    if (recentlyRenewed != wasRecentlyRenewed) {
      wasRecentlyRenewed = recentlyRenewed;
      log.onLease(recentlyRenewed, leadership.nanosSinceRenewal(now));
    }
  }

  private void call(Leadership.Action action) {
    long sentAt = now();
    switch (action) {
      case Leadership.Action.Claim a -> store.claim().thenAccept(result -> onClaim(sentAt, result));
      case Leadership.Action.Renew a ->
          store.renew(a.lease()).thenAccept(result -> onRenewal(a.lease(), sentAt, result));
      case Leadership.Action.End a -> {
        Logger.info("ending the lease as coordinator");
        store.end(a.lease());
      }
    }
  }

  private void onClaim(long sentAt, SharedStore.ClaimResult result) {
    Leadership.Lease lease = result.lease();
    if (lease == null) {
      leadership.onClaimFailed(now());
      return;
    }
    Optional<Leadership.Action> end = leadership.onClaimed(sentAt, lease);
    if (end.isEmpty()) {
      Logger.info(
          "became coordinator, lease {} term {} era {}",
          lease.id(),
          lease.term().revision(),
          lease.term().era());
    }
    end.ifPresent(this::call);
  }

  private void onRenewal(Leadership.Lease renewed, long sentAt, SharedStore.CallResult result) {
    if (!renewed.equals(leadership.lease())) {
      // The term has ended meanwhile, and the next claim may be in flight or have succeeded.
      return;
    }
    switch (result) {
      case DONE -> leadership.onRenewed(sentAt);
      case REFUSED -> {
        log.onTermEnd("the lease has ended in the store");
        leadership.onLeaseLost(now());
        coordinator = null;
        restoration = null;
      }
      case UNKNOWN -> leadership.onRenewalUnknown();
      default -> throw new IllegalArgumentException("unknown result: " + result);
    }
  }

  private void startTerm() {
    if (isReadingTable) {
      return;
    }
    isReadingTable = true;
    Leadership.Lease lease = leadership.lease();
    if (lease != null && lease.term().era() > 0) {
      readRecords(lease);
      return;
    }
    store
        .readTable()
        .thenAccept(
            result -> {
              isReadingTable = false;
              long now = now();
              if (result.known() && leadership.leads(now)) {
                tableRevision = result.revision();
                coordinator = RangeCoordinator.begin(result.table(), timing, log, now);
                log.onTermStart(result.table(), leadership.lease());
              }
            });
  }

  /** Reads what the store of an era has, to begin the term or the restoration. */
  private void readRecords(Leadership.Lease lease) {
    isReadingTable = true;
    store
        .readRecords()
        .thenAccept(
            read -> {
              isReadingTable = false;
              long now = now();
              if (read.known() && leadership.leads(now) && lease.equals(leadership.lease())) {
                onRecordsRead(read, lease, now);
              }
            });
  }

  private void onRecordsRead(SharedStore.RecordsResult read, Leadership.Lease lease, long now) {
    areRecordsOutdated = false;
    TableRestoration.Records own = records();
    TableRestoration r = restoration;
    boolean isFresh = read.records().isEmpty() && own.isEmpty();
    if (read.tableEra() == lease.term().era() || (r == null && isFresh)) {
      restoration = null;
      beginTermOfEra(read.records().table(), read.tableRevision(), now);
      return;
    }
    storedRecords = read;
    if (r == null) {
      Logger.warn(
          "event=restoration_begin era={} own_table={} stored_table={}",
          lease.term().era(),
          own.table().version(),
          read.records().table().version());
      restoration = TableRestoration.begin(host, own, read.records(), now);
    } else {
      r.onStored(read.records());
    }
  }

  /** Begins a term; if the store has come back lately, as one in which former grants are valid. */
  private void beginTermOfEra(RangeTable table, long revision, long now) {
    tableRevision = revision;
    OptionalLong restoredAt = store.restoredAt();
    coordinator =
        restoredAt.isEmpty()
            ? RangeCoordinator.begin(table, timing, log, now)
            : RangeCoordinator.beginRestored(
                table, ImmutableList.of(), restoredAt.getAsLong(), timing, log, now);
    log.onTermStart(table, leadership.lease());
  }

  private void restore(TableRestoration r, long now) {
    Leadership.Lease lease = leadership.lease();
    if (lease == null || isReadingTable) {
      return;
    }
    if (areRecordsOutdated) {
      readRecords(lease);
      return;
    }
    for (TableRestoration.Step step : r.tick(now)) {
      switch (step) {
        case TableRestoration.Step.Ask ask -> onAsk.accept(ask.host());
        case TableRestoration.Step.Write write -> writeRestored(r, write, lease);
      }
    }
  }

  private void writeRestored(
      TableRestoration r, TableRestoration.Step.Write write, Leadership.Lease lease) {
    store
        .writeRestored(write.records(), storedRecords, lease)
        .thenAccept(
            result -> {
              if (restoration != r) {
                return;
              }
              if (result.result() != SharedStore.CallResult.DONE) {
                Logger.warn("writing the restored table ended with {}", result.result());
                areRecordsOutdated = true;
                return;
              }
              onRestored(r, write, result.revision());
            });
  }

  private void onRestored(TableRestoration r, TableRestoration.Step.Write write, long revision) {
    long now = now();
    RangeTable table = write.records().table();
    boolean isMovingKnown =
        lastMovingVersion + MOVING_VERSIONS + TableRestoration.INCREMENT >= table.version();
    final ImmutableList<FleetState.MovingRange> withheld =
        isMovingKnown ? lastMoving : ImmutableList.of();
    restoration = null;
    restorations++;
    movesFrom = now + timing.formerGrantsNanos();
    tableRevision = revision;
    lastWritten = table;
    coordinator = RangeCoordinator.beginRestored(table, withheld, now, timing, log, now);
    log.onRestored(write, withheld.size(), now - r.beganAt(), timing.formerGrantsNanos());
    log.onTermStart(table, leadership.lease());
  }

  private RangeInputs inputs(long now) {
    StoreView v = view.get();
    RoutingConfiguration configuration = v.configuration();
    ImmutableSet<String> services =
        configuration == null
            ? ImmutableSet.of()
            : configuration.services().values().stream()
                .filter(ServiceDescription::keyed)
                .map(ServiceDescription::name)
                .collect(ImmutableSet.toImmutableSet());
    Map<String, ServiceLoad> loads = new HashMap<>();
    return new RangeInputs(
        services,
        v.directory(),
        service -> loads.computeIfAbsent(service, serviceLoads),
        leadership.isRecentlyRenewed(now),
        coldTargets.get());
  }

  private void perform(RangeCoordinator c, RangeAction action) {
    switch (action) {
      case RangeAction.Grant a -> grant(c, a);
      case RangeAction.Release a -> release(c, a.entry());
      case RangeAction.Write a -> write(c, a.table());
    }
  }

  private void grant(RangeCoordinator c, RangeAction.Grant grant) {
    long decidedAt = now();
    long leaseAgeNanos = leadership.nanosSinceRenewal(decidedAt);
    commands
        .grant(grant.entry(), grant.holdNanos(), () -> maySendCommand(c))
        .thenAccept(
            outcome -> {
              long now = now();
              log.onGrant(
                  grant.entry(), grant.holdNanos(), outcome, now - decidedAt, leaseAgeNanos);
              c.onGrant(now, grant.entry(), outcome);
            });
  }

  /**
   * Returns whether a command of the given coordinator may be sent now, whenever it was decided.
   */
  private boolean maySendCommand(RangeCoordinator c) {
    long now = now();
    checkSuspension(now);
    endTermOfFormerEra(now);
    return coordinator == c && leadership.leads(now);
  }

  private void release(RangeCoordinator c, RangeEntry entry) {
    onReleaseStarted.run();
    long decidedAt = now();
    commands
        .release(entry, () -> maySendCommand(c))
        .thenAccept(
            released -> {
              long now = now();
              log.onRelease(entry, released, now - decidedAt);
              c.onRelease(now, entry, released.done(), released.handover());
            });
  }

  private void write(RangeCoordinator c, RangeTable table) {
    Leadership.Lease lease = leadership.lease();
    if (lease == null) {
      return;
    }
    long decidedAt = now();
    store
        .write(table, tableRevision, lease)
        .thenAccept(
            result -> {
              log.onWrite(table, result.result(), now() - decidedAt);
              switch (result.result()) {
                case DONE -> {
                  tableRevision = result.revision();
                  lastWritten = table;
                  c.onWritten(table);
                }
                case REFUSED -> endTerm(c, "another table is in the store");
                case UNKNOWN -> lookUp = new LookUp(c, table, now());
                default -> throw new IllegalArgumentException("unknown result: " + result);
              }
            });
  }

  /** Looks up a table in the store when the write of it got no response. */
  private void lookUpIfDue(long now) {
    LookUp due = lookUp;
    if (due == null || now - due.dueAt() < 0) {
      return;
    }
    lookUp = null;
    if (coordinator == due.coordinator()) {
      store
          .readTable()
          .thenAccept(found -> onLookedUp(due.coordinator(), due.table(), found, now() - now));
    }
  }

  private void onLookedUp(
      RangeCoordinator c, RangeTable table, SharedStore.TableResult found, long tookNanos) {
    if (coordinator != c) {
      return;
    }
    if (!found.known()) {
      log.onLookUp(table, "unknown", tookNanos);
      lookUp = new LookUp(c, table, now() + LOOK_UP_INTERVAL_NANOS);
    } else if (isSame(found.table(), table)) {
      log.onLookUp(table, "written", tookNanos);
      tableRevision = found.revision();
      lastWritten = table;
      c.onWritten(table);
    } else if (found.revision() == tableRevision) {
      log.onLookUp(table, "not_written", tookNanos);
      c.onNotWritten();
    } else {
      log.onLookUp(table, "replaced", tookNanos);
      endTerm(c, "another table was written meanwhile");
    }
  }

  private void endTerm(RangeCoordinator c, String reason) {
    log.onTermEnd(reason);
    if (coordinator == c) {
      coordinator = null;
    }
  }

  private static boolean isSame(RangeTable a, RangeTable b) {
    return a.version() == b.version() && a.entries().equals(b.entries());
  }

  private long now() {
    return steadyClock.getAsLong();
  }
}
