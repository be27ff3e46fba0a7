package org.cowslipmoor.daemon.coordination;

import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.fleet.FleetAggregator;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.fleet.LinkBudget;
import org.cowslipmoor.core.fleet.Membership;
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
 * Exchanges load between this host and the coordinator, and passes the store's news on to the other
 * hosts. Confined to the host's event loop.
 */
public final class FleetExchange implements MemberLinks.FrameReceiver {
  private static final String SETUP = "platform";

  /** Least time between two frames on ranges that are being taken back, in nanoseconds. */
  private static final long MOVING_PAUSE = 50_000_000L;

  /** Least time between two log lines about hosts that wait to join, in nanoseconds. */
  private static final long WAIT_LOG_PAUSE = 2_000_000_000L;

  private final String host;
  private final SharedStore store;
  private final Coordination coordination;
  private final Supplier<StoreView> view;
  private final Supplier<HostReport> report;
  private final Consumer<FleetState> onFleet;
  private final MemberLinks links;
  private final LinkBudget budget;
  private final StoreUpdateRelay relay = StoreUpdateRelay.create();
  private final RelayLog log = new RelayLog(System.nanoTime());
  private final FleetAggregator aggregator = FleetAggregator.create(System.nanoTime());
  private @Nullable Membership membership;
  private boolean isWritingMembers;
  private long waitLoggedAt = System.nanoTime() - WAIT_LOG_PAUSE;
  private long membersRevision;
  private boolean stopped;
  private long relayedRevision;
  private long relayedConfirmedAt;
  private boolean isMovingUntold;
  private long movingToldAt = System.nanoTime();

  /**
   * Creates the exchange of a host.
   *
   * @param group event loops for the links
   * @param host id of this host
   * @param linkBytesPerSecond what this machine's network link carries
   * @param report makes the report of what this host has seen since its last one
   * @param onFleet takes what all hosts together have seen
   */
  public FleetExchange(
      EventLoopGroup group,
      String host,
      String dataCentre,
      double linkBytesPerSecond,
      SharedStore store,
      Coordination coordination,
      Supplier<StoreView> view,
      Supplier<HostReport> report,
      Consumer<FleetState> onFleet) {
    this.host = host;
    this.store = store;
    this.coordination = coordination;
    this.view = view;
    this.report = report;
    this.onFleet = onFleet;
    Hello hello =
        Hello.newBuilder().setSetup(SETUP).setMemberId(host).setDataCentre(dataCentre).build();
    this.budget = LinkBudget.create(linkBytesPerSecond, System.nanoTime());
    this.links = MemberLinks.over(group, hello, this::linkAddress, this);
    coordination.onMoving(this::onMoving);
  }

  /** Starts to take links. */
  public void listen(HostAndPort address) throws InterruptedException {
    links.listen(address.getHost(), address.getPort());
  }

  /** Sends what is due; to be called a few times a second. */
  public void tick() {
    HostReport own = report.get();
    if (coordination.isCoordinator()) {
      onReport(host, own);
      decideMembers();
      long now = System.nanoTime();
      if (budget.mayBroadcast(links.unsentBytes(), now)) {
        budget.onBroadcast(broadcast(state(now)), now);
      }
      log.tick(now, aggregator.hosts(now).size(), links.unsentBytes());
      return;
    }
    membership = null;
    relay.clear();
    StoreView.Coordinator coordinator = view.get().coordinator();
    if (coordinator != null && !coordinator.host().equals(host)) {
      Envelope frame = Envelope.newBuilder().setHostReport(FleetCodec.encodeReport(own)).build();
      links.send(coordinator.host(), frame);
    }
  }

  /** Returns the load of a keyed service, as this host knows it as coordinator. */
  public ServiceLoad load(String service) {
    List<DiscoveredTarget> targets = view.get().directory().usable(service);
    return aggregator.load(service, targets, System.nanoTime());
  }

  /** Takes a change of what the store says. */
  public void onView(StoreView newView) {
    aggregator.retain(newView.directory().all().keySet());
    relay();
  }

  /**
   * Passes on what has become known of the store, and which ranges are being taken back; to be
   * called every few tens of milliseconds.
   */
  public void relay() {
    if (!coordination.isCoordinator()) {
      return;
    }
    long now = System.nanoTime();
    if (isMovingUntold && now - movingToldAt >= MOVING_PAUSE) {
      tellMoving(now);
    }
    long revision = store.revision();
    if (revision != relayedRevision || store.confirmedAt() != relayedConfirmedAt) {
      relayedRevision = revision;
      relayedConfirmedAt = store.confirmedAt();
      relayNews(revision, now);
    }
  }

  /** Tells the other hosts to ask the store themselves, since this one is about to stop. */
  public void endRelay() {
    if (coordination.isCoordinator()) {
      stopped = true;
      broadcast(state(System.nanoTime()).withoutTargets());
    }
  }

  @Override
  public void onFrame(String from, Envelope frame) {
    try {
      switch (frame.getContentCase()) {
        case HOST_REPORT -> onReport(from, FleetCodec.decodeReport(frame.getHostReport()));
        case FLEET_STATE -> onFleet.accept(FleetCodec.decodeState(frame.getFleetState()));
        case STORE_NEWS -> store.onRelayedUpdates(frame.getStoreNews());
        default -> Logger.debug("host {} sent a frame of no use here", from);
      }
    } catch (IllegalArgumentException e) {
      Logger.warn("host {} sent a frame that contradicts itself: {}", from, e.getMessage());
    }
  }

  private void onReport(String from, HostReport hostReport) {
    long now = System.nanoTime();
    aggregator.onReport(from, hostReport, now);
    if (!from.equals(host)) {
      relay.onReport(from, hostReport.storeRevision(), hostReport.sentAt());
    }
    if (membership != null) {
      membership.onReport(from, hostReport.approvals(), now);
    }
  }

  private void decideMembers() {
    long now = System.nanoTime();
    StoreView v = view.get();
    Leadership.Lease lease = coordination.lease();
    Membership m = membership;
    if (m == null) {
      membersRevision = v.membersRevision();
      membership = Membership.create(v.members(), host, now);
      return;
    }
    Optional<ImmutableSet<String>> next = m.nextMembers(now);
    if (next.isEmpty() && !m.candidates(now).isEmpty() && now - waitLoggedAt >= WAIT_LOG_PAUSE) {
      waitLoggedAt = now;
      Logger.info("hosts {} join once {} approve them", m.candidates(now), m.missingApprovals(now));
    }
    if (lease == null || isWritingMembers || next.isEmpty()) {
      return;
    }
    isWritingMembers = true;
    store
        .writeMembers(next.get(), membersRevision, lease)
        .thenAccept(
            result -> {
              isWritingMembers = false;
              if (result.result() == SharedStore.CallResult.DONE) {
                Logger.info("the members are now {}", next.get());
                membersRevision = result.revision();
                m.onWritten(next.get());
              } else {
                // What the store has is taken up again with the next state that is read from it.
                Logger.warn("the members may not be in the store");
                membership = null;
              }
            });
  }

  private void onMoving() {
    isMovingUntold = true;
    relay();
  }

  private void tellMoving(long now) {
    isMovingUntold = false;
    movingToldAt = now;
    broadcast(state(now).withoutTargets());
  }

  private FleetState state(long now) {
    return aggregator.state(
        now,
        coordination.tableVersion(),
        coordination.moving(),
        membership == null ? ImmutableSet.of() : membership.candidates(now),
        !stopped && coordination.lease() != null && store.isCurrent(now));
  }

  /** Sends a state to all hosts; returns the bytes that it takes on the link. */
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
    onFleet.accept(state);
    return (long) sent * frame.getSerializedSize();
  }

  /** Sends the store's news to the hosts that lack them, and to the others that there are none. */
  private void relayNews(long revision, long now) {
    relay.retain(aggregator.hosts(now).keySet());
    long age = TimeUnit.NANOSECONDS.toMicros(now - store.confirmedAt());
    Map<Long, StoreNews> news = new HashMap<>();
    for (StoreUpdateRelay.Frame f : relay.due(revision, store.trackedSince(), now)) {
      if (!budget.hasCapacity(links.unsentBytes())) {
        Logger.debug("the link is full; hosts that lack news ask the store");
        return;
      }
      StoreNews changes = news.computeIfAbsent(f.since(), store::updatesSince);
      StoreNews told = changes.toBuilder().setEchoedAt(f.echoedAt()).setAgeMicros(age).build();
      Envelope frame = Envelope.newBuilder().setStoreNews(told).build();
      links.send(f.host(), frame);
      relay.onSent(f, revision, now);
      log.onNews(frame.getSerializedSize());
    }
  }

  private Optional<InetSocketAddress> linkAddress(String member) {
    StoreView.Coordinator c = view.get().coordinator();
    if (c == null || !c.host().equals(member)) {
      return Optional.empty();
    }
    HostAndPort address = HostAndPort.fromString(c.linkAddress());
    return Optional.of(new InetSocketAddress(address.getHost(), address.getPort()));
  }
}
