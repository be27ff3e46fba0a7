package org.cowslipmoor.core.range;

/** Is notified of decisions that assign keys to another owner. */
public interface RangeListener {

  /** Ignores everything. */
  RangeListener NONE = unused -> {};

  /** Called when the coordinator decides that an entry's keys get another owner. */
  void onReassigned(Reassignment reassignment);

  /** The reason why the keys may get another owner. */
  enum Reason {
    /** The former owner has released them. */
    RELEASED,
    /** All grants to the former owner have expired. */
    LAPSED,
    /**
     * The process at the former owner's address is another incarnation of its id, and keeps the
     * keys.
     */
    RESTARTED
  }

  /**
   * A decision to assign an entry's keys to another owner. Durations are remaining or elapsed
   * nanoseconds; a remaining one is negative once it is over.
   *
   * @param former the entry before the decision
   * @param next the entry that replaces it
   * @param reason why the keys may be reassigned
   * @param sinceAcceptedNanos time since the former owner last accepted a grant, or since the entry
   *     was created
   * @param heldForNanos time for which accepted grants may still be valid
   * @param unsettledForNanos time for which a grant without a response may still be valid
   * @param inheritedForNanos time for which grants under lower fences may still be valid
   */
  record Reassignment(
      RangeEntry former,
      RangeEntry next,
      Reason reason,
      long sinceAcceptedNanos,
      long heldForNanos,
      long unsettledForNanos,
      long inheritedForNanos) {}
}
