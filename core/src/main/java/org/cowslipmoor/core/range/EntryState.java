package org.cowslipmoor.core.range;

import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.jspecify.annotations.Nullable;

/**
 * The coordinator's state of one table entry and its grants. Times are nanoseconds of the
 * coordinator's monotonic clock.
 */
final class EntryState {
  final RangeEntry entry;

  /** Whether the store has the entry; only then may it be granted. */
  boolean isWritten;

  /** Whether the owner has accepted a grant under this fence. */
  boolean isAccepted;

  /**
   * Whether the owner has accepted a grant under this fence that was decided after the time in
   * which grants of a former coordinator may arrive.
   */
  boolean isAcceptedAfterOverlap;

  boolean isGrantInFlight;
  boolean isReleaseInFlight;
  boolean isReleased;
  @Nullable String handover;

  /**
   * The target that the keys are to be transferred to; null when the owner keeps them, or when the
   * next owner is chosen only once they are free.
   */
  @Nullable DiscoveredTarget destination;

  /** Hold duration of the latest grant. */
  long inFlightHoldNanos;

  /** Time of the decision to send the latest grant. */
  long grantedAt;

  long nextGrantAt;
  long nextReleaseAt;

  /** Time at which the owner last accepted a grant, or at which this state was created. */
  long acceptedAt;

  /** Time until which the owner may hold the keys by grants that it accepted. */
  long heldUntil;

  /**
   * Time until which the owner may hold the keys by a grant under this fence that got no response
   * and may still be executed.
   */
  long unsettledUntil;

  /** Time until which the owner may hold the keys by grants under lower fences. */
  long inheritedUntil;

  /** Time until which no command is sent, since another target may hold the keys. */
  long withheldUntil;

  EntryState(RangeEntry entry, long now) {
    this.entry = entry;
    this.nextGrantAt = now;
    this.nextReleaseAt = now;
    this.acceptedAt = now;
    this.heldUntil = now;
    this.unsettledUntil = now;
    this.inheritedUntil = now;
    this.withheldUntil = now;
  }

  /** Returns a copy of this state for a part of its keys. No command may be in flight. */
  EntryState subrange(KeyRange range) {
    EntryState copy = new EntryState(entry.subrange(range.from(), range.to()), nextGrantAt);
    copy.isWritten = isWritten;
    copy.isAccepted = isAccepted;
    copy.isAcceptedAfterOverlap = isAcceptedAfterOverlap;
    copy.nextReleaseAt = nextReleaseAt;
    copy.acceptedAt = acceptedAt;
    copy.heldUntil = heldUntil;
    copy.unsettledUntil = unsettledUntil;
    copy.inheritedUntil = inheritedUntil;
    copy.withheldUntil = withheldUntil;
    return copy;
  }

  /**
   * Records that the owner may hold the keys for as long as it may by the former entry's grants.
   */
  void inheritFrom(EntryState former) {
    inheritedUntil = former.mayHoldUntil();
    withheldUntil = former.withheldUntil;
  }

  /** Returns the time until which the owner may hold the keys if it does not release them. */
  long mayHoldUntil() {
    return later(later(heldUntil, unsettledUntil), inheritedUntil);
  }

  /** Returns whether a command to the owner is still without an outcome. */
  boolean isInFlight() {
    return isGrantInFlight || isReleaseInFlight;
  }

  /**
   * Returns the entry as it will be after the planned transfer, or the present one if none is
   * planned.
   */
  RangeEntry plannedEntry() {
    DiscoveredTarget to = destination;
    return to == null ? entry : entry.withOwner(to, entry.fence(), null);
  }

  /**
   * Returns whether it is certain that the owner no longer holds the keys: no command is in flight,
   * grants without a response and grants under lower fences have expired, and the owner has
   * released the keys or its accepted grants have expired.
   */
  boolean isFree(long now) {
    if (isInFlight()) {
      return false;
    }
    boolean settled = now - unsettledUntil >= 0 && now - inheritedUntil >= 0;
    return settled && (isReleased || now - heldUntil >= 0);
  }

  static long later(long a, long b) {
    return a - b >= 0 ? a : b;
  }

  /** Describes the decision to replace this state's entry by {@code next}. */
  RangeListener.Reassignment reassignment(RangeEntry next, long now) {
    RangeListener.Reason reason =
        isFree(now)
            ? isReleased ? RangeListener.Reason.RELEASED : RangeListener.Reason.LAPSED
            : RangeListener.Reason.RESTARTED;
    return new RangeListener.Reassignment(
        entry,
        next,
        reason,
        now - acceptedAt,
        heldUntil - now,
        unsettledUntil - now,
        inheritedUntil - now);
  }
}
