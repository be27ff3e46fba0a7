package org.cowslipmoor.core.range;

/** Is told of the decisions by which keys change hands. */
public interface RangeListener {

  /** Ignores everything. */
  RangeListener NONE = unused -> {};

  /** Takes the decision that an entry's keys get another owner. */
  void onReassigned(Reassignment reassignment);

  /** Why the former owner surely does not hold the keys any more. */
  enum Reason {
    /** It has released them. */
    RELEASED,
    /** All its grants have lapsed. */
    LAPSED,
    /** Its id runs another life. */
    RESTARTED
  }

  /**
   * A decision that keys change hands. Durations are nanoseconds, and negative once they are over.
   *
   * @param former the entry as it was
   * @param next the entry that takes its place
   * @param reason why the keys are free
   * @param sinceAccepted time since the former owner accepted a grant, or the entry began
   * @param heldFor time for which accepted grants may still hold
   * @param unsettledFor time for which a grant without an answer may still hold
   * @param inheritedFor time for which grants under lower fences may still hold
   */
  record Reassignment(
      RangeEntry former,
      RangeEntry next,
      Reason reason,
      long sinceAccepted,
      long heldFor,
      long unsettledFor,
      long inheritedFor) {}
}
