package org.cowslipmoor.daemon.coordination;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cowslipmoor.core.coldstart.Allowance;
import org.cowslipmoor.core.coldstart.AllowanceLedger;
import org.cowslipmoor.core.coldstart.AllowanceRequest;
import org.cowslipmoor.core.coldstart.ColdLimit;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.FleetAggregator;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.fleet.LeavingReports;
import org.cowslipmoor.core.fleet.LinkBudget;
import org.cowslipmoor.core.fleet.MemberList;
import org.cowslipmoor.core.fleet.Membership;
import org.cowslipmoor.core.fleet.PredecessorNotifier;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.fleet.StoreUpdateRelay;
import org.cowslipmoor.core.range.Leadership;
import org.cowslipmoor.core.range.ServiceLoad;
import org.cowslipmoor.daemon.codec.FleetCodec;
import org.cowslipmoor.daemon.member.MemberLinks;
import org.cowslipmoor.schema.fleet.StoreNews;
import org.cowslipmoor.schema.member.Envelope;
import org.cowslipmoor.schema.member.Hello;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Exchanges load reports and fleet state with the other hosts, and relays store updates to them
 * while this host is the coordinator. Confined to the host's event loop.
 */
public final class FleetExchange implements MemberLinks.FrameReceiver {
  private static final String SETUP = "platform";

  /** Shortest time between two frames that announce revoked key ranges. */
  private static final long MIN_MOVING_INTERVAL_NANOS = 50_000_000L;

  /** Shortest time between two log lines about hosts that wait to join. */
  private static final long MIN_JOIN_LOG_INTERVAL_NANOS = 2_000_000_000L;

  private final String host;
  private final SharedStore store;
  private final Coordination coordination;
  private final Supplier<StoreView> view;
  private final Supplier<HostReport> reportSupplier;
  private final Consumer<FleetState> onFleetState;
  private final BiConsumer<TargetIncarnation, String> onLeaving;
  private final MemberLinks links;
  private final LinkBudget budget;
  private final StoreUpdateRelay relay = StoreUpdateRelay.create();
  private final RelayLog log = new RelayLog(System.nanoTime());
  private final FleetAggregator aggregator = FleetAggregator.create(System.nanoTime());
  private final LeavingReports leavingReports = LeavingReports.create();
  private final PredecessorNotifier predecessorNotifier = new PredecessorNotifier();
  private final AllowanceLedger allowanceLedger = AllowanceLedger.create();
  private AllowanceHandler allowanceHandler = AllowanceHandler.NONE;
  private StoreView.@Nullable Coordinator predecessor;
  private @Nullable Membership membership;
  private boolean isWritingMembers;
  private long joinLoggedAt = System.nanoTime() - MIN_JOIN_LOG_INTERVAL_NANOS;
  private StorePlace membersPlace = StorePlace.START;
  private boolean relayEnded;
  private StorePlace relayedPlace = StorePlace.START;
  private long relayedConfirmedAt;
  private boolean isMovingAnnouncementDue;
  private long movingAnnouncedAt = System.nanoTime();

  /**
   * Creates the exchange of a host.
   *
   * @param group event loops for the links
   * @param host id of this host
   * @param linkBytesPerSecond capacity of this host's network link
   * @param reportSupplier creates the report of this host's load since its last one
   * @param onFleetState receives the state of the fleet
   * @param onLeaving receives each target that a host reports as leaving, and that host's id
   */
  public FleetExchange(
      EventLoopGroup group,
      String host,
      String dataCentre,
      double linkBytesPerSecond,
      SharedStore store,
      Coordination coordination,
      Supplier<StoreView> view,
      Supplier<HostReport> reportSupplier,
      Consumer<FleetState> onFleetState,
      BiConsumer<TargetIncarnation, String> onLeaving) {
    this.host = host;
    this.store = store;
    this.coordination = coordination;
    this.view = view;
    this.reportSupplier = reportSupplier;
    this.onFleetState = onFleetState;
    this.onLeaving = onLeaving;
    Hello hello =
        Hello.newBuilder().setSetup(SETUP).setMemberId(host).setDataCentre(dataCentre).build();
    this.budget = LinkBudget.create(linkBytesPerSecond, System.nanoTime());
    this.links = MemberLinks.withEventLoops(group, hello, this::linkAddress, this);
    coordination.onReleaseStarted(this::onReleaseStarted);
    coordination.onAsk(this::askForRecords);
  }

  /** Starts to accept links from other hosts. */
  public void listen(HostAndPort address) throws InterruptedException {
    links.listen(address.getHost(), address.getPort());
  }

  /** Sets what knows the cold targets and receives the allowances. */
  public void onAllowances(AllowanceHandler handler) {
    allowanceHandler = handler;
  }

  /** Asks the coordinator for allowances for cold targets. */
  public void ask(AllowanceRequest request) {
    if (coordination.allowanceTerm().isPresent()) {
      allowanceHandler.onAllowance(answer(request));
      return;
    }
    StoreView.Coordinator coordinator = view.get().coordinator();
    if (coordinator != null && !coordinator.host().equals(host)) {
      links.send(
          coordinator.host(),
          Envelope.newBuilder()
              .setColdAllowanceRequest(FleetCodec.encodeAllowanceRequest(request))
              .build());
    }
  }

  /** Decides on a request for allowances; hands out nothing unless this host's lease is certain. */
  private Allowance answer(AllowanceRequest request) {
    long now = System.nanoTime();
    boolean leads = updateAllowanceTerm(now);
    ImmutableMap.Builder<TargetIncarnation, Integer> handedOut = ImmutableMap.builder();
    request
        .requests()
        .forEach(
            (target, asked) -> {
              int requests = leads ? handOut(target, asked, now) : 0;
              // A report that a target may have restarted needs no answer.
              if (asked > 0) {
                allowanceHandler.onDecided(asked, requests);
                handedOut.put(target, requests);
              }
            });
    return new Allowance(handedOut.buildOrThrow(), request.sentAt(), ColdLimit.VALID_NANOS);
  }

  private int handOut(TargetIncarnation target, int asked, long now) {
    Optional<ColdLimit> limit = allowanceHandler.coldLimit(target.id());
    if (limit.isEmpty()) {
      return 0;
    }
    return allowanceHandler.isCheckedWarm(target, asked == 0, () -> announceSuspicion(target))
        ? allowanceLedger.handOutForWarm(target.id(), asked, now)
        : allowanceLedger.handOut(target.id(), asked, limit.get(), now);
  }

  /**
   * Tells all hosts that a target may have restarted: those without a connection to it have not
   * noticed.
   */
  private void announceSuspicion(TargetIncarnation target) {
    if (coordination.allowanceTerm().isEmpty()) {
      return;
    }
    long now = System.nanoTime();
    Allowance notice = Allowance.notice(target);
    allowanceHandler.onAllowance(notice);
    Envelope frame =
        Envelope.newBuilder().setColdAllowance(FleetCodec.encodeAllowance(notice)).build();
    aggregator.hosts(now).keySet().stream()
        .filter(other -> !other.equals(host))
        .forEach(other -> links.send(other, frame));
  }

  private boolean updateAllowanceTerm(long now) {
    Optional<StorePlace> term = coordination.allowanceTerm();
    term.ifPresent(t -> allowanceLedger.onTerm(t, now));
    return term.isPresent();
  }

  /** Sends the load report or fleet state that is due; must be called a few times a second. */
  public void tick() {
    HostReport own = ownReport();
    if (coordination.isCoordinator()) {
      onReport(host, own);
      updateMembers();
      long now = System.nanoTime();
      if (budget.mayBroadcast(links.unsentBytes(), now)) {
        budget.onBroadcast(broadcast(state(now)), now);
      } else if (aggregator.hasUnlistedLeaving() && budget.hasCapacity(links.unsentBytes())) {
        // The loads of many targets are sent seldom, which would delay this for too long.
        broadcast(state(now).withoutTargets());
      }
      log.tick(now, aggregator.hosts(now).size(), links.unsentBytes());
      predecessorNotifier
          .nextNotice(aggregator.hosts(now).keySet(), now)
          .ifPresent(to -> links.send(to, coordinatorUpdate()));
      return;
    }
    membership = null;
    objectToRemoval();
    relay.clear();
    StoreView.Coordinator coordinator = view.get().coordinator();
    if (coordinator != null && !coordinator.host().equals(host)) {
      Envelope frame = Envelope.newBuilder().setHostReport(FleetCodec.encodeReport(own)).build();
      links.send(coordinator.host(), frame);
    }
  }

  private HostReport ownReport() {
    HostReport report = reportSupplier.get();
    return report.withLeaving(leavingReports.pending(report.leaving(), view.get().directory()));
  }

  /** Returns the load of a keyed service, as reported to this host while it is the coordinator. */
  public ServiceLoad load(String service) {
    List<DiscoveredTarget> targets = view.get().directory().usable(service);
    return aggregator.load(service, targets, System.nanoTime());
  }

  /** Applies a change of the store. */
  public void onView(StoreView newView) {
    aggregator.onTargets(newView.directory().all().values());
    StoreView.Coordinator c = newView.coordinator();
    if (c != null) {
      leavingReports.onTerm(c.term());
    }
    if (c != null && !c.host().equals(host)) {
      onOtherCoordinator(c);
    }
    relay();
  }

  private void onOtherCoordinator(StoreView.Coordinator c) {
    predecessor = c;
    predecessorNotifier.onOtherCoordinator(c.host());
    if (coordination.onOtherCoordinator(c.term())) {
      // Hosts that can't reach the store still report to this one.
      Envelope frame = coordinatorUpdate();
      aggregator.hosts(System.nanoTime()).keySet().stream()
          .filter(other -> !other.equals(host))
          .forEach(other -> links.send(other, frame));
    }
  }

  private Envelope coordinatorUpdate() {
    return Envelope.newBuilder().setStoreNews(store.coordinatorUpdate()).build();
  }

  /**
   * Relays new store updates, and announces the key ranges that are being revoked; must be called
   * every few tens of milliseconds.
   */
  public void relay() {
    updateAllowanceTerm(System.nanoTime());
    if (!coordination.isCoordinator()) {
      return;
    }
    long now = System.nanoTime();
    if (isMovingAnnouncementDue && now - movingAnnouncedAt >= MIN_MOVING_INTERVAL_NANOS) {
      announceMoving(now);
    }
    StorePlace place = store.place();
    if (!place.equals(relayedPlace) || store.confirmedAt() != relayedConfirmedAt) {
      relayedPlace = place;
      relayedConfirmedAt = store.confirmedAt();
      relayUpdates(place, now);
    }
  }

  /** Announces to the other hosts that they must poll the store, since this host is stopping. */
  public void endRelay() {
    if (coordination.isCoordinator()) {
      relayEnded = true;
      broadcast(state(System.nanoTime()).withoutTargets());
    }
  }

  @Override
  public void onFrame(String from, Envelope frame) {
    try {
      switch (frame.getContentCase()) {
        case HOST_REPORT -> onReport(from, FleetCodec.decodeReport(frame.getHostReport()));
        case FLEET_STATE -> onState(from, FleetCodec.decodeState(frame.getFleetState()));
        case COLD_ALLOWANCE_REQUEST -> {
          Allowance allowance =
              answer(FleetCodec.decodeAllowanceRequest(frame.getColdAllowanceRequest()));
          links.send(
              from,
              Envelope.newBuilder()
                  .setColdAllowance(FleetCodec.encodeAllowance(allowance))
                  .build());
        }
        case COLD_ALLOWANCE ->
            allowanceHandler.onAllowance(FleetCodec.decodeAllowance(frame.getColdAllowance()));
        case FORMER_ITEMS -> onFormerItems(from, frame.getFormerItems());
        case STORE_NEWS -> store.onRelayedUpdates(frame.getStoreNews());
        default -> Logger.debug("host {} sent a frame of a type that is not handled here", from);
      }
    } catch (IllegalArgumentException e) {
      Logger.warn("host {} sent an invalid frame: {}", from, e.getMessage());
    }
  }

  private void onState(String from, FleetState state) {
    StoreView.Coordinator c = view.get().coordinator();
    if (c != null && c.host().equals(from)) {
      leavingReports.onState(state);
    }
    coordination.onFleetState(state);
    onFleetState.accept(state);
  }

  private void askForRecords(String to) {
    links.send(to, Envelope.newBuilder().setFormerItems(store.recordsRequest()).build());
  }

  private void onFormerItems(String from, StoreNews message) {
    if (store.isRecordsRequest(message)) {
      StoreNews records = store.encodeRecords(coordination.records());
      links.send(from, Envelope.newBuilder().setFormerItems(records).build());
    } else {
      coordination.onRecords(from, store.decodeRecords(message));
    }
  }

  private void onReport(String from, HostReport hostReport) {
    coordination.onReport(from, hostReport.store());
    long now = System.nanoTime();
    aggregator.onReport(from, hostReport, now).forEach(target -> onLeaving.accept(target, from));
    if (!from.equals(host)) {
      relay.onReport(from, hostReport.store().place(), hostReport.sentAt());
    }
    if (membership != null) {
      membership.onReport(from, hostReport.approvals(), now);
    }
  }

  private void updateMembers() {
    long now = System.nanoTime();
    StoreView v = view.get();
    Leadership.Lease lease = coordination.lease();
    boolean areMembersOfFormerEra =
        lease != null
            && v.membersPlace().revision() > 0
            && v.membersPlace().era() < lease.term().era();
    if (coordination.isRestoring() || areMembersOfFormerEra) {
      // The store's members may be older than those that this host knows.
      membership = null;
      return;
    }
    Membership m = membership;
    if (m == null) {
      membersPlace = v.membersPlace();
      membership = Membership.create(v.memberList(), host, now);
      return;
    }
    // A view from before this host's last write says nothing about it.
    if (!v.membersPlace().equals(membersPlace) && !membersPlace.isAfter(v.place())) {
      membersPlace = v.membersPlace();
      m.onStored(v.memberList(), now);
    }
    if (!store.isCurrent(now)) {
      m.onStoreUnavailable(now);
    }
    Optional<MemberList> next = m.nextList(now);
    if (next.isEmpty()
        && !m.candidates(now).isEmpty()
        && now - joinLoggedAt >= MIN_JOIN_LOG_INTERVAL_NANOS) {
      joinLoggedAt = now;
      Logger.info(
          "hosts {} can join once members {} have approved them",
          m.candidates(now),
          m.missingApprovals(now));
    }
    if (lease == null || isWritingMembers || next.isEmpty()) {
      return;
    }
    isWritingMembers = true;
    store
        .writeMembers(next.get(), membersPlace.revision(), lease)
        .thenAccept(
            result -> {
              isWritingMembers = false;
              if (result.result() == SharedStore.CallResult.DONE) {
                logMembers(next.get());
                membersPlace = new StorePlace(lease.term().era(), result.revision());
                m.onStored(next.get(), System.nanoTime());
              } else {
                Logger.warn(
                    "writing the members {} ended with {}; retrying from the store's members",
                    next.get(),
                    result.result());
              }
            });
  }

  private static void logMembers(MemberList list) {
    Logger.info("the members are now {}", list.members());
    if (!list.suspected().isEmpty()) {
      Logger.warn("members {} are removed unless they object", list.suspected());
    }
  }

  /** Objects in the store if this host is a member that is about to be removed as lost. */
  private void objectToRemoval() {
    StoreView v = view.get();
    if (isWritingMembers || !v.memberList().suspected().contains(host)) {
      return;
    }
    isWritingMembers = true;
    store
        .objectToRemoval(v.memberList().trusting(host), v.membersPlace())
        .thenAccept(
            result -> {
              isWritingMembers = false;
              Logger.info("objecting to this host's removal ended with {}", result.result());
            });
  }

  private void onReleaseStarted() {
    isMovingAnnouncementDue = true;
    relay();
  }

  private void announceMoving(long now) {
    isMovingAnnouncementDue = false;
    movingAnnouncedAt = now;
    FleetState state = state(now).withoutTargets();
    broadcast(aggregator.hasUnlistedLeaving() ? state : state.withoutLeaving());
  }

  private FleetState state(long now) {
    return aggregator.state(
        now,
        coordination.tableVersion(),
        coordination.moving(),
        membership == null ? ImmutableSet.of() : membership.candidates(now),
        !relayEnded && coordination.lease() != null && store.isCurrent(now));
  }

  /** Sends fleet state to all hosts; returns the number of bytes queued on the link. */
  private long broadcast(FleetState state) {
    Envelope frame = Envelope.newBuilder().setFleetState(FleetCodec.encodeState(state)).build();
    int sent = 0;
    for (String other : aggregator.hosts(System.nanoTime()).keySet()) {
      if (!other.equals(host)) {
        links.send(other, frame);
        log.onState(frame.getSerializedSize());
        sent++;
      }
    }
    aggregator.onSent(state);
    onState(host, state);
    return (long) sent * frame.getSerializedSize();
  }

  /** Sends each host the store updates that it lacks, or the confirmation that there are none. */
  private void relayUpdates(StorePlace place, long now) {
    relay.retain(aggregator.hosts(now).keySet());
    long ageMicros = TimeUnit.NANOSECONDS.toMicros(now - store.confirmedAt());
    Map<StorePlace, StoreNews> updatesBySince = new HashMap<>();
    for (StoreUpdateRelay.Frame f : relay.due(place, store.trackedSince(), now)) {
      if (!budget.hasCapacity(links.unsentBytes())) {
        Logger.debug("the link is at capacity; hosts that lack updates poll the store");
        return;
      }
      StoreNews updates = updatesBySince.computeIfAbsent(f.since(), store::updatesSince);
      StoreNews message =
          updates.toBuilder().setEchoedAt(f.echoedAt()).setAgeMicros(ageMicros).build();
      Envelope frame = Envelope.newBuilder().setStoreNews(message).build();
      links.send(f.host(), frame);
      relay.onSent(f, place, now);
      log.onUpdate(frame.getSerializedSize());
    }
  }

  private Optional<InetSocketAddress> linkAddress(String member) {
    StoreView.Coordinator current = view.get().coordinator();
    StoreView.Coordinator c =
        current != null && current.host().equals(member) ? current : predecessor;
    if (c == null || !c.host().equals(member)) {
      return Optional.empty();
    }
    HostAndPort address = HostAndPort.fromString(c.linkAddress());
    return Optional.of(new InetSocketAddress(address.getHost(), address.getPort()));
  }
}
