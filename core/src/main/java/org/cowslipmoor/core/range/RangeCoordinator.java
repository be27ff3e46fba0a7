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
import java.util.TreeSet;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.FleetState;
import org.jspecify.annotations.Nullable;

/**
 * Assigns key ranges to targets during one leadership term. A pure state machine: it receives the
 * current time, its inputs and the outcomes of its actions, does no I/O and reads no clock. Not
 * thread-safe.
 *
 * <p>A new owner is written to the store before it is granted the keys, and only once it is certain
 * that the former owner no longer holds them: it has released them and no grant without a response
 * can still be executed, or all its grants have expired. A missing or replaced announcement is
 * never taken as proof that a target has ended, since the next incarnation of the same id may have
 * accepted grants that were meant for the former one. In that case the keys stay at that address,
 * under a higher fence. A term begins by raising all fences, so that targets reject grants of the
 * former coordinator that arrive late.
 */
public final class RangeCoordinator {
  /** Increment of the last fence when a target has seen a higher one than the store has. */
  private static final long FENCE_INCREMENT = 1_000;

  /**
   * Maximum time for which the first assignment of a service waits until its set of targets is
   * stable.
   */
  private static final long MAX_SETTLING_NANOS = 4_000_000_000L;

  /**
   * Minimum time between two writes of the table: each write causes a call of every host that
   * watches the store.
   */
  private static final long MIN_WRITE_INTERVAL_NANOS = 150_000_000L;

  private final RangeTiming timing;
  private final RangeListener listener;
  private final List<EntryState> states = new ArrayList<>();
  private final Map<String, ObservedTargets> observedTargets = new HashMap<>();

  /** Time until which grants of a former coordinator may still arrive. */
  private final long overlapUntil;

  private long version;
  private long lastFence;
  private @Nullable RangeTable pendingWrite;
  private boolean isWriteNeeded;
  private boolean wasLeaseRecentlyRenewed = true;
  private long lastTickAt;
  private long nextRebalanceAt;
  private long nextWriteAt;

  private record ObservedTargets(ImmutableSet<String> targets, long since, long firstSeen) {}

  /** Time from which on services without an owner of any key are assigned. */
  private final long assignsFrom;

  private RangeCoordinator(
      RangeTable stored,
      List<FleetState.MovingRange> withheld,
      long restoredAt,
      RangeTiming timing,
      RangeListener listener,
      long now) {
    this.timing = timing;
    this.listener = listener;
    this.version = stored.version();
    this.lastFence = stored.lastFence();
    this.overlapUntil = now + timing.overlapNanos();
    this.nextRebalanceAt = now + timing.rebalanceIntervalNanos();
    this.nextWriteAt = now;
    this.lastTickAt = now;
    this.assignsFrom = timing.expiry(restoredAt + timing.overlapNanos(), timing.longHoldNanos());
    for (RangeEntry e : splitAtMoving(mergeAdjacent(stored), withheld)) {
      lastFence++;
      EntryState s = new EntryState(e.withFence(lastFence), now);
      s.inheritedUntil = timing.expiry(overlapUntil, timing.longHoldNanos());
      s.withheldUntil = isMoving(e, withheld) ? s.inheritedUntil : now;
      states.add(s);
      isWriteNeeded = true;
    }
  }

  /**
   * Begins a leadership term.
   *
   * @param stored the table in the store
   * @param timing durations of grants
   * @param listener is notified of reassignments
   * @param now the current time in nanoseconds
   */
  public static RangeCoordinator begin(
      RangeTable stored, RangeTiming timing, RangeListener listener, long now) {
    // All grants of an era that ended so long ago have expired.
    long longAgo = now - timing.expiry(timing.overlapNanos(), timing.longHoldNanos());
    return new RangeCoordinator(stored, ImmutableList.of(), longAgo, timing, listener, now);
  }

  /**
   * Begins a leadership term while grants may be valid that were given under a table that the store
   * has lost. Services without an entry, which may have had owners, wait until all of these have
   * expired.
   *
   * @param stored the restored table
   * @param withheld ranges that were being transferred as of the newest table that is known: the
   *     next owner may hold them already, so that no grant of them is sent until all have expired
   * @param restoredAt time of the restoration, or at which this host learnt of the new era
   */
  public static RangeCoordinator beginRestored(
      RangeTable stored,
      List<FleetState.MovingRange> withheld,
      long restoredAt,
      RangeTiming timing,
      RangeListener listener,
      long now) {
    return new RangeCoordinator(stored, withheld, restoredAt, timing, listener, now);
  }

  /**
   * Returns the actions that are due. To be called every few tens of milliseconds while the lease
   * is held.
   */
  public ImmutableList<RangeAction> tick(long now, RangeInputs inputs) {
    if (wasLeaseRecentlyRenewed && !inputs.leaseRecentlyRenewed()) {
      states.forEach(s -> s.nextGrantAt = now);
    }
    wasLeaseRecentlyRenewed = inputs.leaseRecentlyRenewed();
    if (now - lastTickAt >= timing.renewalIntervalNanos()) {
      // This host was stalled and sent no grants, so missing acceptances don't show that an owner
      // is lost. Owners that still run keep their keys.
      states.forEach(s -> s.acceptedAt = now);
      nextRebalanceAt = now + timing.rebalanceIntervalNanos();
    }
    lastTickAt = now;
    ImmutableList.Builder<RangeAction> actions = ImmutableList.builder();
    if (pendingWrite == null) {
      assignNewServices(now, inputs);
      rebalance(now, inputs);
      reassignFreeRanges(now, inputs);
      if (isWriteNeeded && now - nextWriteAt >= 0) {
        nextWriteAt = now + MIN_WRITE_INTERVAL_NANOS;
        write(actions);
      }
    }
    long holdNanos = inputs.leaseRecentlyRenewed() ? timing.holdNanos() : timing.longHoldNanos();
    for (EntryState s : states) {
      addCommand(now, s, holdNanos, inputs.directory(), actions);
    }
    return actions.build();
  }

  /** Handles the outcome of a {@link RangeAction.Grant}. */
  public void onGrant(long now, RangeEntry entry, GrantOutcome outcome) {
    EntryState s = find(entry);
    if (s == null) {
      return;
    }
    s.isGrantInFlight = false;
    long expiry = timing.expiry(now, s.inFlightHoldNanos);
    switch (outcome) {
      case ACCEPTED -> {
        s.isAccepted = true;
        s.acceptedAt = now;
        s.heldUntil = EntryState.later(s.heldUntil, expiry);
        if (s.grantedAt - overlapUntil >= 0) {
          // No former coordinator can send grants under lower fences any more, though grants that
          // they sent earlier may still be valid.
          s.isAcceptedAfterOverlap = true;
        }
        s.nextGrantAt = now + timing.renewalIntervalNanos();
      }
      case UNKNOWN -> {
        s.unsettledUntil = EntryState.later(s.unsettledUntil, expiry);
        s.heldUntil = EntryState.later(s.heldUntil, expiry);
        s.nextGrantAt = now + timing.retryIntervalNanos();
      }
      case FENCED -> {
        raiseFence(now, s);
      }
      case REFUSED, NOT_SENT -> s.nextGrantAt = now + timing.retryIntervalNanos();
      default -> throw new IllegalArgumentException("unknown grant outcome: " + outcome);
    }
  }

  /**
   * Handles the outcome of a {@link RangeAction.Release}.
   *
   * @param released whether the target has confirmed that it no longer holds the keys
   * @param handover the token that it returned for the next owner; null if there is none
   */
  public void onRelease(long now, RangeEntry entry, boolean released, @Nullable String handover) {
    EntryState s = find(entry);
    if (s == null) {
      return;
    }
    s.isReleaseInFlight = false;
    if (released && s.isAcceptedAfterOverlap) {
      s.inheritedUntil = now;
    }
    s.isReleased |= released;
    s.handover = released ? handover : s.handover;
    s.nextReleaseAt = now + timing.retryIntervalNanos();
  }

  /**
   * Handles the confirmation that the store has the table of the latest {@link RangeAction.Write}.
   */
  public void onWritten(RangeTable table) {
    version = table.version();
    pendingWrite = null;
    ImmutableSet<RangeEntry> written = ImmutableSet.copyOf(table.entries());
    states.forEach(s -> s.isWritten |= written.contains(s.entry));
  }

  /**
   * Handles the confirmation that the latest {@link RangeAction.Write} was not executed and never
   * will be.
   */
  public void onNotWritten() {
    pendingWrite = null;
    isWriteNeeded = true;
  }

  /**
   * Returns the ranges that are being transferred: those whose owners are asked to release them or
   * have done so.
   */
  public ImmutableList<FleetState.MovingRange> moving() {
    return states.stream()
        .filter(s -> s.isReleaseInFlight || s.isReleased)
        .map(s -> new FleetState.MovingRange(s.entry.service(), s.entry.range()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the version of the table in the store. */
  public long version() {
    return version;
  }

  private void addCommand(
      long now,
      EntryState s,
      long holdNanos,
      TargetDirectory directory,
      ImmutableList.Builder<RangeAction> actions) {
    if (!s.isWritten || s.isInFlight() || now - s.withheldUntil < 0) {
      return;
    }
    if (mustRelease(now, s, directory) && !mustGrantBeforeRelease(now, s, holdNanos, directory)) {
      if (!s.isReleased && now - s.nextReleaseAt >= 0) {
        s.isReleaseInFlight = true;
        actions.add(new RangeAction.Release(s.entry));
      }
    } else if (now - s.nextGrantAt >= 0
        && !(isUnresponsive(now, s) && wouldExtendHold(now, s, holdNanos))) {
      s.isGrantInFlight = true;
      // The owner is about to hold the keys again, so an earlier release no longer counts.
      s.isReleased = false;
      s.handover = null;
      s.inFlightHoldNanos = holdNanos;
      s.grantedAt = now;
      actions.add(new RangeAction.Grant(s.entry, holdNanos));
    }
  }

  /**
   * Returns whether an owner that must release its keys is to be granted this fence before it is
   * asked to: only then does its release end the grants of former coordinators as well. An owner
   * that is no longer announced may have ended, so that a grant must not delay the time at which
   * its keys are free.
   */
  private boolean mustGrantBeforeRelease(
      long now, EntryState s, long holdNanos, TargetDirectory directory) {
    return !s.isAcceptedAfterOverlap
        && (directory.find(s.entry.owner()).isPresent() || !wouldExtendHold(now, s, holdNanos));
  }

  /**
   * Returns whether a grant that gets no response would extend the time until the keys are free.
   */
  private boolean wouldExtendHold(long now, EntryState s, long holdNanos) {
    return timing.expiry(now + timing.commandTimeoutNanos(), holdNanos) - s.mayHoldUntil() > 0;
  }

  /** Returns whether the owner has not accepted a grant for so long that it is to lose its keys. */
  private boolean isUnresponsive(long now, EntryState s) {
    return now - s.acceptedAt >= timing.holdNanos() + timing.renewalIntervalNanos();
  }

  private boolean mustRelease(long now, EntryState s, TargetDirectory directory) {
    return s.destination != null
        || s.isReleased
        || isOwnerLeaving(s, directory)
        || isOwnerLost(now, s);
  }

  /**
   * Returns whether the owner is not announced, or drains while another target can take its keys.
   */
  private static boolean isOwnerLeaving(EntryState s, TargetDirectory directory) {
    Optional<DiscoveredTarget> owner = directory.find(s.entry.owner());
    return owner.isEmpty()
        || (owner.get().draining() && !directory.usable(s.entry.service()).isEmpty());
  }

  /**
   * Returns whether the owner has not accepted a grant for so long that it no longer holds its
   * keys.
   */
  private boolean isOwnerLost(long now, EntryState s) {
    return s.isWritten && isUnresponsive(now, s) && s.isFree(now);
  }

  private void assignNewServices(long now, RangeInputs inputs) {
    if (now - assignsFrom < 0) {
      return;
    }
    for (String service : inputs.services()) {
      if (states.stream().anyMatch(s -> s.entry.service().equals(service))) {
        observedTargets.remove(service);
        continue;
      }
      ImmutableList<DiscoveredTarget> targets = inputs.directory().usable(service);
      if (targets.isEmpty() || !areTargetsStable(now, service, targets)) {
        continue;
      }
      ImmutableList<RangeEntry> entries =
          new RangePlanner(inputs.preferred(targets), load(service, inputs))
              .initialAssignment(service, lastFence);
      entries.forEach(e -> states.add(new EntryState(e, now)));
      lastFence += entries.size();
      isWriteNeeded = true;
    }
  }

  private boolean areTargetsStable(long now, String service, List<DiscoveredTarget> targets) {
    ImmutableSet<String> ids =
        targets.stream().map(DiscoveredTarget::id).collect(ImmutableSet.toImmutableSet());
    ObservedTargets before = observedTargets.get(service);
    if (before == null || !before.targets().equals(ids)) {
      long firstSeen = before == null ? now : before.firstSeen();
      observedTargets.put(service, new ObservedTargets(ids, now, firstSeen));
      return now - firstSeen >= MAX_SETTLING_NANOS;
    }
    return now - before.since() >= timing.settlingNanos();
  }

  private void rebalance(long now, RangeInputs inputs) {
    if (now - nextRebalanceAt < 0 || !inputs.leaseRecentlyRenewed()) {
      return;
    }
    nextRebalanceAt = now + timing.rebalanceIntervalNanos();
    for (String service : inputs.services()) {
      ImmutableList<DiscoveredTarget> targets =
          inputs.preferred(eligibleTargets(now, service, inputs.directory()));
      if (targets.size() < 2) {
        continue;
      }
      List<RangeEntry> planned = new ArrayList<>();
      Set<RangeEntry> fixed = new HashSet<>();
      for (EntryState s : states) {
        if (s.entry.service().equals(service)) {
          RangeEntry e = s.plannedEntry();
          planned.add(e);
          if (!s.isAccepted || s.isGrantInFlight || mustRelease(now, s, inputs.directory())) {
            fixed.add(e);
          }
        }
      }
      new RangePlanner(targets, load(service, inputs))
          .moves(planned, fixed)
          .forEach(this::planMove);
    }
  }

  /**
   * Returns the targets that keys may be moved to: the usable ones, except those that have not
   * accepted a grant of one of their entries for two renewal intervals.
   */
  private ImmutableList<DiscoveredTarget> eligibleTargets(
      long now, String service, TargetDirectory directory) {
    Set<String> unresponsive = new HashSet<>();
    for (EntryState s : states) {
      if (s.isWritten && now - s.acceptedAt >= 2 * timing.renewalIntervalNanos()) {
        unresponsive.add(s.entry.owner().id());
      }
    }
    return directory.usable(service).stream()
        .filter(t -> !unresponsive.contains(t.id()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Splits the piece off its entry and sets the target that it is to be transferred to. */
  private void planMove(RangePlanner.Move move) {
    EntryState whole = find(move.entry());
    if (whole == null) {
      return;
    }
    states.remove(whole);
    move.remainder().forEach(e -> states.add(whole.subrange(e.range())));
    EntryState moved = whole.subrange(move.piece());
    moved.destination = move.to();
    states.add(moved);
  }

  private void reassignFreeRanges(long now, RangeInputs inputs) {
    for (EntryState s : List.copyOf(states)) {
      if (s.isFree(now)) {
        if (mustRelease(now, s, inputs.directory())) {
          chooseOwner(s, inputs).ifPresent(next -> reassign(now, s, next, s.handover));
        }
      } else if (!s.isInFlight()) {
        // Only the process at the owner's address can hold the keys, so it can become their owner
        // at once.
        restartedOwner(s, inputs.directory())
            .ifPresent(next -> reassign(now, s, next, null).inheritFrom(s));
      }
    }
  }

  private EntryState reassign(
      long now, EntryState s, DiscoveredTarget owner, @Nullable String handover) {
    lastFence++;
    EntryState next = new EntryState(s.entry.withOwner(owner, lastFence, handover), now);
    listener.onReassigned(s.reassignment(next.entry, now));
    replace(s, next);
    return next;
  }

  private void replace(EntryState s, EntryState next) {
    states.set(states.indexOf(s), next);
    isWriteNeeded = true;
  }

  private Optional<DiscoveredTarget> chooseOwner(EntryState s, RangeInputs inputs) {
    TargetDirectory directory = inputs.directory();
    String service = s.entry.service();
    ImmutableList<DiscoveredTarget> usable = directory.usable(service);
    ImmutableList<DiscoveredTarget> targets =
        inputs.preferred(
            usable.stream()
                .filter(t -> !t.incarnation().equals(s.entry.owner()))
                .collect(ImmutableList.toImmutableList()));
    DiscoveredTarget planned = s.destination;
    if (planned != null
        && targets.stream().anyMatch(t -> t.incarnation().equals(planned.incarnation()))) {
      return Optional.of(planned);
    }
    if (targets.isEmpty()) {
      // At most the present owner is usable. One that drains and has released the keys still serves
      // while no other target can.
      return usable.stream()
          .findFirst()
          .or(() -> directory.find(s.entry.owner()).filter(unused -> s.isReleased));
    }
    List<RangeEntry> others =
        states.stream()
            .filter(o -> o != s && o.entry.service().equals(service))
            .map(o -> o.entry)
            .toList();
    return Optional.of(
        new RangePlanner(targets, load(service, inputs)).newOwner(s.entry.range(), others));
  }

  /**
   * Returns the other incarnation of the owner's id that listens at the owner's address, if it is
   * usable.
   */
  private static Optional<DiscoveredTarget> restartedOwner(
      EntryState s, TargetDirectory directory) {
    TargetIncarnation owner = s.entry.owner();
    return Optional.ofNullable(directory.all().get(owner.id()))
        .filter(t -> !t.incarnation().equals(owner) && t.address().equals(s.entry.address()))
        .filter(t -> directory.isUsable(t.incarnation()) && t.service().equals(s.entry.service()));
  }

  private void raiseFence(long now, EntryState s) {
    lastFence += FENCE_INCREMENT;
    EntryState raised = new EntryState(s.entry.withFence(lastFence), now);
    raised.inheritFrom(s);
    replace(s, raised);
  }

  private void write(ImmutableList.Builder<RangeAction> actions) {
    isWriteNeeded = false;
    RangeTable table =
        RangeTable.of(version + 1, lastFence, states.stream().map(s -> s.entry).toList());
    pendingWrite = table;
    actions.add(new RangeAction.Write(table));
  }

  private @Nullable EntryState find(RangeEntry entry) {
    for (EntryState s : states) {
      if (s.entry.equals(entry)) {
        return s;
      }
    }
    return null;
  }

  /** Splits entries so that each one's keys either all are or all are not being transferred. */
  private static List<RangeEntry> splitAtMoving(
      List<RangeEntry> entries, List<FleetState.MovingRange> moving) {
    List<RangeEntry> result = new ArrayList<>();
    for (RangeEntry e : entries) {
      TreeSet<Integer> starts = new TreeSet<>(List.of(e.range().from()));
      for (FleetState.MovingRange m : moving) {
        if (m.service().equals(e.service())) {
          starts.addAll(List.of(m.range().from(), m.range().to() + 1));
        }
      }
      for (int from : starts.subSet(e.range().from(), true, e.range().to(), true)) {
        Integer next = starts.higher(from);
        int to = next == null ? e.range().to() : Math.min(e.range().to(), next - 1);
        result.add(e.subrange(from, to));
      }
    }
    return result;
  }

  private static boolean isMoving(RangeEntry e, List<FleetState.MovingRange> moving) {
    return moving.stream()
        .anyMatch(m -> m.service().equals(e.service()) && m.range().contains(e.range().from()));
  }

  /** Merges adjacent entries of the same owner, which get a new fence in any case. */
  private static List<RangeEntry> mergeAdjacent(RangeTable stored) {
    List<RangeEntry> result = new ArrayList<>();
    for (RangeEntry e : stored.entries()) {
      if (result.isEmpty() || !areAdjacent(result.get(result.size() - 1), e)) {
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

  private static boolean areAdjacent(RangeEntry before, RangeEntry after) {
    return before.service().equals(after.service())
        && before.owner().equals(after.owner())
        && before.range().to() + 1 == after.range().from();
  }

  private static ServiceLoad load(String service, RangeInputs inputs) {
    return inputs.loads().apply(service);
  }
}
