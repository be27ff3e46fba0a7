package org.cowslipmoor.daemon.coordination;

import com.google.common.annotations.VisibleForTesting;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cowslipmoor.core.fleet.CoordinationLoad;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.Leadership;
import org.cowslipmoor.core.range.RangeAction;
import org.cowslipmoor.core.range.RangeCoordinator;
import org.cowslipmoor.core.range.RangeEntry;
import org.cowslipmoor.core.range.RangeInputs;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.core.range.RangeTiming;
import org.cowslipmoor.core.range.ServiceLoad;
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
  private Runnable onReleaseStarted = () -> {};
  private @Nullable RangeCoordinator coordinator;
  private boolean isReadingTable;
  private boolean wasRecentlyRenewed;
  private long tableRevision;
  private @Nullable LookUp lookUp;

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
   * @param view the host's cached view of the store
   * @param serviceLoads measured load of a keyed service
   * @param coordinationLoad estimate of the load that coordinating puts on this host
   */
  public Coordination(
      SharedStore store,
      TargetCommands commands,
      Leadership leadership,
      RangeTiming timing,
      Supplier<StoreView> view,
      Function<String, ServiceLoad> serviceLoads,
      CoordinationLoad coordinationLoad) {
    this(
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
      SharedStore store,
      TargetCommands commands,
      Leadership leadership,
      RangeTiming timing,
      Supplier<StoreView> view,
      Function<String, ServiceLoad> serviceLoads,
      CoordinationLoad coordinationLoad,
      LongSupplier steadyClock,
      LongSupplier timeOfDay) {
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
    StoreView v = view.get();
    leadership.onVacancy(
        now,
        v.isLoaded() && v.coordinator() == null,
        coordinationLoad.claimDelayNanos(v.members().size()));
    leadership.tick(now).ifPresent(this::call);
    if (leadership.lease() == null) {
      coordinator = null;
      return;
    }
    if (!leadership.leads(now)) {
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
    return true;
  }

  /** Sets a listener that runs when the release of keys begins. */
  public void onReleaseStarted(Runnable listener) {
    onReleaseStarted = listener;
  }

  /** Returns whether this host is the coordinator. */
  public boolean isCoordinator() {
    return coordinator != null;
  }

  /** Returns this host's valid lease as coordinator; null without one. */
  public Leadership.@Nullable Lease lease() {
    return leadership.leads(now()) ? leadership.lease() : null;
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
          store.renew(a.lease()).thenAccept(result -> onRenewal(sentAt, result));
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

  private void onRenewal(long sentAt, SharedStore.CallResult result) {
    switch (result) {
      case DONE -> leadership.onRenewed(sentAt);
      case REFUSED -> {
        log.onTermEnd("the lease has ended in the store");
        leadership.onLeaseLost(now());
        coordinator = null;
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
        leadership.isRecentlyRenewed(now));
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
