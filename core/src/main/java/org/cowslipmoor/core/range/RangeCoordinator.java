package org.cowslipmoor.core.range;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.FleetState;
import org.jspecify.annotations.Nullable;

/**
 * Decides, during one tenure of the coordinator, who holds which keys. Takes the present time, what
 * is known, and the outcomes of its actions; does no I/O and reads no clock. Not thread-safe.
 *
 * <p>A new owner is written to the store before it is granted the keys, and only once the former
 * one surely does not hold them: it has released them and no unanswered grant can still be carried
 * out, or all its grants have lapsed. That a target has ended is never inferred from what is
 * announced: the next life of its id may have accepted grants that were meant for the former one.
 * The keys stay at that address then, under a higher fence. A tenure begins by raising all fences,
 * so that grants of the former coordinator that are carried out late are refused by the targets.
 */
public final class RangeCoordinator {
  /** Added to the last fence when a target knows a higher one than the store. */
  private static final long FENCE_JUMP = 1_000;

  /** Longest time that the first division of a service waits for its targets to settle. */
  private static final long LONGEST_SETTLING = 4_000_000_000L;

  /** Least time between two writes: each one costs a call of every host that watches. */
  private static final long WRITE_PAUSE = 150_000_000L;

  private final RangeTiming timing;
  private final RangeListener listener;
  private final List<Holding> holdings = new ArrayList<>();
  private final Map<String, Settling> settling = new HashMap<>();

  /** Until when a former coordinator may go on granting. */
  private final long overlapUntil;

  private long version;
  private long lastFence;
  private @Nullable RangeTable writing;
  private boolean mustWrite;
  private boolean wasLeaseRecentlyRenewed = true;
  private long lastTickAt;
  private long nextRebalanceAt;
  private long nextWriteAt;

  private record Settling(ImmutableSet<String> targets, long since, long firstSeen) {}

  private RangeCoordinator(
      RangeTable stored, RangeTiming timing, RangeListener listener, long now) {
    this.timing = timing;
    this.listener = listener;
    this.version = stored.version();
    this.lastFence = stored.lastFence();
    this.overlapUntil = now + timing.overlap();
    this.nextRebalanceAt = now + timing.rebalance();
    this.nextWriteAt = now;
    this.lastTickAt = now;
    for (RangeEntry e : merged(stored)) {
      lastFence++;
      Holding h = new Holding(e.withFence(lastFence), now);
      h.inheritedUntil = timing.lapse(overlapUntil, timing.longHold());
      holdings.add(h);
      mustWrite = true;
    }
  }

  /**
   * Begins a tenure.
   *
   * @param stored the table in the store
   * @param timing durations of grants
   * @param listener is told of decisions
   * @param now the present time in nanoseconds
   */
  public static RangeCoordinator begin(
      RangeTable stored, RangeTiming timing, RangeListener listener, long now) {
    return new RangeCoordinator(stored, timing, listener, now);
  }

  /** Does what is due; to be called every few tens of milliseconds while the lease is held. */
  public ImmutableList<RangeAction> tick(long now, RangeInputs inputs) {
    if (wasLeaseRecentlyRenewed && !inputs.leaseRecentlyRenewed()) {
      holdings.forEach(h -> h.nextGrantAt = now);
    }
    wasLeaseRecentlyRenewed = inputs.leaseRecentlyRenewed();
    if (now - lastTickAt >= timing.renewal()) {
      // Owners are not lost because nobody asked them, and keep their keys if they still run.
      holdings.forEach(h -> h.acceptedAt = now);
      nextRebalanceAt = now + timing.rebalance();
    }
    lastTickAt = now;
    ImmutableList.Builder<RangeAction> actions = ImmutableList.builder();
    if (writing == null) {
      divideNewServices(now, inputs);
      rebalance(now, inputs);
      reassignFree(now, inputs);
      if (mustWrite && now - nextWriteAt >= 0) {
        nextWriteAt = now + WRITE_PAUSE;
        write(actions);
      }
    }
    long hold = inputs.leaseRecentlyRenewed() ? timing.hold() : timing.longHold();
    for (Holding h : holdings) {
      act(now, h, hold, inputs.directory(), actions);
    }
    return actions.build();
  }

  /** Takes the outcome of a {@link RangeAction.Grant}. */
  public void onGrant(long now, RangeEntry entry, GrantOutcome outcome) {
    Holding h = find(entry);
    if (h == null) {
      return;
    }
    h.isGrantInFlight = false;
    long lapse = timing.lapse(now, h.holdInFlight);
    switch (outcome) {
      case ACCEPTED -> {
        h.isAccepted = true;
        h.acceptedAt = now;
        h.heldUntil = Holding.later(h.heldUntil, lapse);
        if (h.grantedAt - overlapUntil >= 0) {
          // No coordinator is left that grants under lower fences; what they granted may last.
          h.isFenceSettled = true;
        }
        h.nextGrantAt = now + timing.renewal();
      }
      case UNKNOWN -> {
        h.unsettledUntil = Holding.later(h.unsettledUntil, lapse);
        h.heldUntil = Holding.later(h.heldUntil, lapse);
        h.nextGrantAt = now + timing.releaseRetry();
      }
      case FENCED -> {
        raiseFence(now, h);
      }
      case REFUSED, NOT_SENT -> h.nextGrantAt = now + timing.releaseRetry();
      default -> throw new IllegalArgumentException("unknown outcome: " + outcome);
    }
  }

  /**
   * Takes the outcome of a {@link RangeAction.Release}.
   *
   * @param released whether the target has told that it no longer holds the keys
   * @param handover what it gave for the next owner; null when nothing
   */
  public void onRelease(long now, RangeEntry entry, boolean released, @Nullable String handover) {
    Holding h = find(entry);
    if (h == null) {
      return;
    }
    h.isReleaseInFlight = false;
    if (released && h.isFenceSettled) {
      h.inheritedUntil = now;
    }
    h.isReleased |= released;
    h.handover = released ? handover : h.handover;
    h.nextReleaseAt = now + timing.releaseRetry();
  }

  /** Takes the news that the store has the table of the newest {@link RangeAction.Write}. */
  public void onWritten(RangeTable table) {
    version = table.version();
    writing = null;
    ImmutableSet<RangeEntry> written = ImmutableSet.copyOf(table.entries());
    holdings.forEach(h -> h.isWritten |= written.contains(h.entry));
  }

  /** Takes the news that the newest {@link RangeAction.Write} was not done and never will be. */
  public void onNotWritten() {
    writing = null;
    mustWrite = true;
  }

  /** Returns the ranges whose owners were asked to give them back. */
  public ImmutableList<FleetState.MovingRange> moving() {
    return holdings.stream()
        .filter(h -> h.isReleaseInFlight || h.isReleased)
        .map(h -> new FleetState.MovingRange(h.entry.service(), h.entry.range()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the version of the table that is in the store. */
  public long version() {
    return version;
  }

  private void act(
      long now,
      Holding h,
      long hold,
      TargetDirectory directory,
      ImmutableList.Builder<RangeAction> actions) {
    if (!h.isWritten || h.isInFlight()) {
      return;
    }
    if (isLeaving(now, h, directory) && !isGrantedBeforeRelease(now, h, hold, directory)) {
      if (!h.isReleased && now - h.nextReleaseAt >= 0) {
        h.isReleaseInFlight = true;
        actions.add(new RangeAction.Release(h.entry));
      }
    } else if (now - h.nextGrantAt >= 0 && !(isSilent(now, h) && isProlonging(now, h, hold))) {
      h.isGrantInFlight = true;
      // What it released before, it is about to hold again.
      h.isReleased = false;
      h.handover = null;
      h.holdInFlight = hold;
      h.grantedAt = now;
      actions.add(new RangeAction.Grant(h.entry, hold));
    }
  }

  /**
   * Tells whether a leaving owner is to take this fence once more before it is asked to release:
   * only then does the release end the grants of former coordinators, too. An owner that is no
   * longer announced may be gone, and must not be waited for.
   */
  private boolean isGrantedBeforeRelease(
      long now, Holding h, long hold, TargetDirectory directory) {
    return !h.isFenceSettled
        && (directory.find(h.entry.owner()).isPresent() || !isProlonging(now, h, hold));
  }

  /** Tells whether a grant, if it gets no answer, makes the time longer until the keys are free. */
  private boolean isProlonging(long now, Holding h, long hold) {
    return timing.lapse(now + timing.order(), hold) - h.mayHoldUntil() > 0;
  }

  /** Tells whether the owner has not taken a grant for so long that it is to lose its keys. */
  private boolean isSilent(long now, Holding h) {
    return now - h.acceptedAt >= timing.hold() + timing.renewal();
  }

  private boolean isLeaving(long now, Holding h, TargetDirectory directory) {
    return h.destination != null
        || h.isReleased
        || !directory.isUsable(h.entry.owner())
        || isLost(now, h);
  }

  /** Tells whether the owner has not taken a grant for so long that it no longer holds the keys. */
  private boolean isLost(long now, Holding h) {
    return h.isWritten && isSilent(now, h) && h.isFree(now);
  }

  private void divideNewServices(long now, RangeInputs inputs) {
    for (String service : inputs.services()) {
      if (holdings.stream().anyMatch(h -> h.entry.service().equals(service))) {
        settling.remove(service);
        continue;
      }
      ImmutableList<DiscoveredTarget> targets = inputs.directory().usable(service);
      if (targets.isEmpty() || !isSettled(now, service, targets)) {
        continue;
      }
      ImmutableList<RangeEntry> entries =
          new RangePlanner(targets, load(service, inputs)).initial(service, lastFence);
      entries.forEach(e -> holdings.add(new Holding(e, now)));
      lastFence += entries.size();
      mustWrite = true;
    }
  }

  private boolean isSettled(long now, String service, List<DiscoveredTarget> targets) {
    ImmutableSet<String> ids =
        targets.stream().map(DiscoveredTarget::id).collect(ImmutableSet.toImmutableSet());
    Settling before = settling.get(service);
    if (before == null || !before.targets().equals(ids)) {
      long firstSeen = before == null ? now : before.firstSeen();
      settling.put(service, new Settling(ids, now, firstSeen));
      return now - firstSeen >= LONGEST_SETTLING;
    }
    return now - before.since() >= timing.settling();
  }

  private void rebalance(long now, RangeInputs inputs) {
    if (now - nextRebalanceAt < 0 || !inputs.leaseRecentlyRenewed()) {
      return;
    }
    nextRebalanceAt = now + timing.rebalance();
    for (String service : inputs.services()) {
      ImmutableList<DiscoveredTarget> targets = receivers(now, service, inputs.directory());
      if (targets.size() < 2) {
        continue;
      }
      List<RangeEntry> placed = new ArrayList<>();
      Set<RangeEntry> fixed = new HashSet<>();
      for (Holding h : holdings) {
        if (h.entry.service().equals(service)) {
          RangeEntry e = h.placed();
          placed.add(e);
          if (!h.isAccepted || h.isGrantInFlight || isLeaving(now, h, inputs.directory())) {
            fixed.add(e);
          }
        }
      }
      new RangePlanner(targets, load(service, inputs)).moves(placed, fixed).forEach(this::split);
    }
  }

  /** Returns the targets that may be given keys: those that take their grants. */
  private ImmutableList<DiscoveredTarget> receivers(
      long now, String service, TargetDirectory directory) {
    Set<String> silent = new HashSet<>();
    for (Holding h : holdings) {
      if (h.isWritten && now - h.acceptedAt >= 2 * timing.renewal()) {
        silent.add(h.entry.owner().id());
      }
    }
    return directory.usable(service).stream()
        .filter(t -> !silent.contains(t.id()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Cuts the piece out of its holding and marks it for its destination. */
  private void split(RangePlanner.Move move) {
    Holding whole = find(move.entry());
    if (whole == null) {
      return;
    }
    holdings.remove(whole);
    move.remainder().forEach(e -> holdings.add(whole.part(e.range())));
    Holding moved = whole.part(move.piece());
    moved.destination = move.to();
    holdings.add(moved);
  }

  private void reassignFree(long now, RangeInputs inputs) {
    for (Holding h : List.copyOf(holdings)) {
      if (h.isFree(now)) {
        if (isLeaving(now, h, inputs.directory())) {
          destination(h, inputs).ifPresent(next -> reassign(now, h, next, h.handover));
        }
      } else if (!h.isInFlight()) {
        // Only the process at the owner's address can hold the keys, and it is their next owner.
        successor(h, inputs.directory())
            .ifPresent(next -> reassign(now, h, next, null).inheritFrom(h));
      }
    }
  }

  private Holding reassign(long now, Holding h, DiscoveredTarget owner, @Nullable String handover) {
    lastFence++;
    Holding next = new Holding(h.entry.ownedBy(owner, lastFence, handover), now);
    listener.onReassigned(h.reassigned(next.entry, now));
    replace(h, next);
    return next;
  }

  private void replace(Holding h, Holding next) {
    holdings.set(holdings.indexOf(h), next);
    mustWrite = true;
  }

  private Optional<DiscoveredTarget> destination(Holding h, RangeInputs inputs) {
    DiscoveredTarget wanted = h.destination;
    if (wanted != null && inputs.directory().isUsable(wanted.incarnation())) {
      return Optional.of(wanted);
    }
    String service = h.entry.service();
    ImmutableList<DiscoveredTarget> usable = inputs.directory().usable(service);
    ImmutableList<DiscoveredTarget> targets =
        usable.stream()
            .filter(t -> !t.incarnation().equals(h.entry.owner()))
            .collect(ImmutableList.toImmutableList());
    if (targets.isEmpty()) {
      // The owner is the only one, if any.
      return usable.stream().findFirst();
    }
    List<RangeEntry> others =
        holdings.stream()
            .filter(o -> o != h && o.entry.service().equals(service))
            .map(o -> o.entry)
            .toList();
    return Optional.of(
        new RangePlanner(targets, load(service, inputs)).newOwner(h.entry.range(), others));
  }

  /** Returns the other life of the owner's id that answers at the owner's address, if usable. */
  private static Optional<DiscoveredTarget> successor(Holding h, TargetDirectory directory) {
    TargetIncarnation owner = h.entry.owner();
    return Optional.ofNullable(directory.all().get(owner.id()))
        .filter(t -> !t.incarnation().equals(owner) && t.address().equals(h.entry.address()))
        .filter(t -> directory.isUsable(t.incarnation()) && t.service().equals(h.entry.service()));
  }

  private void raiseFence(long now, Holding h) {
    lastFence += FENCE_JUMP;
    Holding raised = new Holding(h.entry.withFence(lastFence), now);
    raised.inheritFrom(h);
    replace(h, raised);
  }

  private void write(ImmutableList.Builder<RangeAction> actions) {
    mustWrite = false;
    RangeTable table =
        RangeTable.of(version + 1, lastFence, holdings.stream().map(h -> h.entry).toList());
    writing = table;
    actions.add(new RangeAction.Write(table));
  }

  private @Nullable Holding find(RangeEntry entry) {
    for (Holding h : holdings) {
      if (h.entry.equals(entry)) {
        return h;
      }
    }
    return null;
  }

  /** Joins neighbouring entries of one owner; they get a new fence in any case. */
  private static List<RangeEntry> merged(RangeTable stored) {
    List<RangeEntry> result = new ArrayList<>();
    for (RangeEntry e : stored.entries()) {
      if (result.isEmpty() || !isNeighbour(result.get(result.size() - 1), e)) {
        result.add(e);
        continue;
      }
      RangeEntry last = result.remove(result.size() - 1);
      KeyRange joined = new KeyRange(last.range().from(), e.range().to());
      result.add(
          new RangeEntry(e.service(), joined, e.owner(), e.address(), e.fence(), e.handover()));
    }
    return result;
  }

  private static boolean isNeighbour(RangeEntry before, RangeEntry after) {
    return before.service().equals(after.service())
        && before.owner().equals(after.owner())
        && before.range().to() + 1 == after.range().from();
  }

  private static ServiceLoad load(String service, RangeInputs inputs) {
    return inputs.loads().apply(service);
  }
}
