package org.cowslipmoor.core.range;

import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.jspecify.annotations.Nullable;

/** What the coordinator knows of one entry's grant. Times are nanoseconds. */
final class Holding {
  final RangeEntry entry;

  /** Whether the store has the entry, so that it may be granted. */
  boolean isWritten;

  /** Whether the owner has accepted a grant under this fence. */
  boolean isAccepted;

  /** Whether it has accepted one when no former coordinator could grant any more. */
  boolean isFenceSettled;

  boolean isGrantInFlight;
  boolean isReleaseInFlight;
  boolean isReleased;
  @Nullable String handover;

  /** Where the keys are to go; null when the owner keeps them or is chosen once they are free. */
  @Nullable DiscoveredTarget destination;

  /** Hold of the newest grant. */
  long holdInFlight;

  /** When the newest grant was decided. */
  long grantedAt;

  long nextGrantAt;
  long nextReleaseAt;

  /** When the owner last accepted a grant, or this entry began. */
  long acceptedAt;

  /** Until when the owner may hold the keys. */
  long heldUntil;

  /** Until when a grant under this fence that got no answer may still be carried out and hold. */
  long unsettledUntil;

  /** Until when the owner may hold the keys by grants under lower fences. */
  long inheritedUntil;

  Holding(RangeEntry entry, long now) {
    this.entry = entry;
    this.nextGrantAt = now;
    this.nextReleaseAt = now;
    this.acceptedAt = now;
    this.heldUntil = now;
    this.unsettledUntil = now;
    this.inheritedUntil = now;
  }

  /** Returns a part of this holding; nothing may be in flight. */
  Holding part(KeyRange range) {
    Holding part = new Holding(entry.part(range.from(), range.to()), nextGrantAt);
    part.isWritten = isWritten;
    part.isAccepted = isAccepted;
    part.isFenceSettled = isFenceSettled;
    part.nextReleaseAt = nextReleaseAt;
    part.acceptedAt = acceptedAt;
    part.heldUntil = heldUntil;
    part.unsettledUntil = unsettledUntil;
    part.inheritedUntil = inheritedUntil;
    return part;
  }

  /** Takes over until when the owner of the former entry may hold the keys. */
  void inheritFrom(Holding former) {
    inheritedUntil = former.mayHoldUntil();
  }

  /** Returns until when the owner may hold the keys if it does not release them. */
  long mayHoldUntil() {
    return later(later(heldUntil, unsettledUntil), inheritedUntil);
  }

  /** Tells whether an order to the owner has no outcome yet. */
  boolean isInFlight() {
    return isGrantInFlight || isReleaseInFlight;
  }

  /** Returns the entry as it will be once the keys have reached their destination. */
  RangeEntry placed() {
    DiscoveredTarget to = destination;
    return to == null ? entry : entry.ownedBy(to, entry.fence(), null);
  }

  /** Tells whether the owner, as far as it still runs, surely does not hold the keys any more. */
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

  /** Describes the decision that {@code next} takes the place of this holding's entry. */
  RangeListener.Reassignment reassigned(RangeEntry next, long now) {
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
