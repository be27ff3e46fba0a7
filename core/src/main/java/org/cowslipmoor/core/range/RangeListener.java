package org.cowslipmoor.core.range;

/** Is told of the decisions by which keys change hands. */
public interface RangeListener {

  /** Ignores everything. */
  RangeListener NONE = unused -> {};

  /** Takes the decision that an entry's keys get another owner. */
  void onReassigned(Reassignment reassignment);

  /** Why the keys may get another owner. */
  enum Reason {
    /** The former owner has released them. */
    RELEASED,
    /** All grants to the former owner have lapsed. */
    LAPSED,
    /** The process at its address is another life of its id, and keeps the keys. */
    RESTARTED
  }

  /**
   * A decision that keys change hands. Durations are nanoseconds, and negative once they are over.
   *
   * @param former the entry as it was
   * @param next the entry that takes its place
   * @param reason why the keys are free
   * @param sinceAcceptedNanos time since the former owner accepted a grant, or the entry began
   * @param heldForNanos time for which accepted grants may still hold
   * @param unsettledForNanos time for which a grant without an answer may still hold
   * @param inheritedForNanos time for which grants under lower fences may still hold
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
