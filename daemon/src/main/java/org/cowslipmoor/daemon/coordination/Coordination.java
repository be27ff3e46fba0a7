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
 * Carries out the decisions of {@link Leadership} and {@link RangeCoordinator}. Confined to the
 * host's event loop.
 */
public final class Coordination {
  /** Time between two looks for the same table in the store; each one costs a call. */
  @VisibleForTesting static final long LOOK_UP_PAUSE = 400_000_000L;

  private final SharedStore store;
  private final TargetCommands orders;
  private final Leadership leadership;
  private final RangeTiming timing;
  private final Supplier<StoreView> view;
  private final Function<String, ServiceLoad> loads;
  private final CoordinationLoad load;
  private final LongSupplier steadyClock;
  private final LongSupplier timeOfDay;
  private final SuspensionDetector clock;
  private final OwnershipLog log;
  private Runnable onMoving = () -> {};
  private @Nullable RangeCoordinator coordinator;
  private boolean isReading;
  private boolean wasCertain;
  private long tableRevision;
  private @Nullable LookUp lookUp;

  /**
   * A look at the store that is due, since a write of the table got no answer.
   *
   * @param coordinator the tenure that wrote the table
   * @param table what was written
   * @param at when to look, in nanoseconds
   */
  private record LookUp(RangeCoordinator coordinator, RangeTable table, long at) {}

  /**
   * Creates the coordination of a host.
   *
   * @param view what the host last learned from the store
   * @param loads measured load of a keyed service
   * @param load what the coordination takes of this machine
   */
  public Coordination(
      SharedStore store,
      TargetCommands orders,
      Leadership leadership,
      RangeTiming timing,
      Supplier<StoreView> view,
      Function<String, ServiceLoad> loads,
      CoordinationLoad load) {
    this(
        store,
        orders,
        leadership,
        timing,
        view,
        loads,
        load,
        System::nanoTime,
        () -> TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis()));
  }

  /** Creates the coordination of a host that reads the given clocks, in nanoseconds. */
  @VisibleForTesting
  Coordination(
      SharedStore store,
      TargetCommands orders,
      Leadership leadership,
      RangeTiming timing,
      Supplier<StoreView> view,
      Function<String, ServiceLoad> loads,
      CoordinationLoad load,
      LongSupplier steadyClock,
      LongSupplier timeOfDay) {
    this.store = store;
    this.orders = orders;
    this.leadership = leadership;
    this.timing = timing;
    this.view = view;
    this.loads = loads;
    this.load = load;
    this.steadyClock = steadyClock;
    this.timeOfDay = timeOfDay;
    this.clock = new SuspensionDetector(now(), timeOfDay.getAsLong());
    this.log = OwnershipLog.create(now());
  }

  /** Does what is due; to be called every few tens of milliseconds. */
  public void tick() {
    long now = now();
    checkSuspension(now);
    log.tick(now);
    noteCertainty(now);
    StoreView v = view.get();
    leadership.onVacancy(
        now, v.isLoaded() && v.coordinator() == null, load.claimDelayNanos(v.members().size()));
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
      beginTenure();
      return;
    }
    lookUpIfDue(now);
    c.tick(now, inputs(now)).forEach(a -> perform(c, a));
  }

  /** Gives the coordination up, so that another host takes it over at once. */
  public void resign() {
    Optional<Leadership.Action> end = leadership.resign();
    coordinator = null;
    end.ifPresent(this::call);
  }

  /** Sets what is run when an owner begins to give keys back. */
  public void onMoving(Runnable listener) {
    onMoving = listener;
  }

  /** Tells whether this host coordinates. */
  public boolean isCoordinator() {
    return coordinator != null;
  }

  /** Returns the lease under which this host coordinates; null when it does not. */
  public Leadership.@Nullable Lease lease() {
    return leadership.leads(now()) ? leadership.lease() : null;
  }

  /** Returns the ranges that are being taken back from their owners. */
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
    if (clock.wasSuspended(now, timeOfDay.getAsLong())) {
      Logger.warn("the process stood still; the lease is checked before anything is granted");
      leadership.onSuspended(now);
    }
  }

  private void noteCertainty(long now) {
    boolean certain = leadership.isRecentlyRenewed(now);
    if (certain != wasCertain) {
      wasCertain = certain;
      log.onLease(certain, leadership.nanosSinceRenewal(now));
    }
  }

  private void call(Leadership.Action action) {
    long sentAt = now();
    switch (action) {
      case Leadership.Action.Claim a -> store.claim().thenAccept(result -> onClaim(sentAt, result));
      case Leadership.Action.Renew a ->
          store.renew(a.lease()).thenAccept(result -> onRenewal(sentAt, result));
      case Leadership.Action.End a -> {
        Logger.info("gives up the coordination");
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
      Logger.info("coordinates from now on, lease {} term {}", lease.id(), lease.term());
    }
    end.ifPresent(this::call);
  }

  private void onRenewal(long sentAt, SharedStore.CallResult result) {
    switch (result) {
      case DONE -> leadership.onRenewed(sentAt);
      case REFUSED -> {
        log.onTenureEnd("the lease has ended in the store");
        leadership.onLeaseLost(now());
        coordinator = null;
      }
      case UNKNOWN -> leadership.onRenewalUnknown();
      default -> throw new IllegalArgumentException("unknown result: " + result);
    }
  }

  private void beginTenure() {
    if (isReading) {
      return;
    }
    isReading = true;
    store
        .readTable()
        .thenAccept(
            result -> {
              isReading = false;
              long now = now();
              if (result.known() && leadership.leads(now)) {
                tableRevision = result.revision();
                coordinator = RangeCoordinator.begin(result.table(), timing, log, now);
                log.onTenure(result.table(), leadership.lease());
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
    Map<String, ServiceLoad> measured = new HashMap<>();
    return new RangeInputs(
        services,
        v.directory(),
        service -> measured.computeIfAbsent(service, loads),
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
    long leaseAge = leadership.nanosSinceRenewal(decidedAt);
    orders
        .grant(grant.entry(), grant.holdNanos(), () -> mayOrder(c))
        .thenAccept(
            outcome -> {
              long now = now();
              log.onGrant(grant.entry(), grant.holdNanos(), outcome, now - decidedAt, leaseAge);
              c.onGrant(now, grant.entry(), outcome);
            });
  }

  /** Tells whether a coordinator's orders may be sent now, whenever they were decided. */
  private boolean mayOrder(RangeCoordinator c) {
    long now = now();
    checkSuspension(now);
    return coordinator == c && leadership.leads(now);
  }

  private void release(RangeCoordinator c, RangeEntry entry) {
    onMoving.run();
    long decidedAt = now();
    orders
        .release(entry, () -> mayOrder(c))
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
                case REFUSED -> endTenure(c, "another table is in the store");
                case UNKNOWN -> lookUp = new LookUp(c, table, now());
                default -> throw new IllegalArgumentException("unknown result: " + result);
              }
            });
  }

  /** Finds out whether a table was written whose write got no answer. */
  private void lookUpIfDue(long now) {
    LookUp due = lookUp;
    if (due == null || now - due.at() < 0) {
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
      RangeCoordinator c, RangeTable table, SharedStore.TableResult found, long took) {
    if (coordinator != c) {
      return;
    }
    if (!found.known()) {
      log.onLookUp(table, "unknown", took);
      lookUp = new LookUp(c, table, now() + LOOK_UP_PAUSE);
    } else if (isSame(found.table(), table)) {
      log.onLookUp(table, "written", took);
      tableRevision = found.revision();
      c.onWritten(table);
    } else if (found.revision() == tableRevision) {
      log.onLookUp(table, "not_written", took);
      c.onNotWritten();
    } else {
      log.onLookUp(table, "replaced", took);
      endTenure(c, "another table was written meanwhile");
    }
  }

  private void endTenure(RangeCoordinator c, String reason) {
    log.onTenureEnd(reason);
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
