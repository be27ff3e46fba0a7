package org.cowslipmoor.core.admission;

/**
 * The requests of one service without a key that one host has sent to other data centres.
 *
 * @param placed requests that were assigned to a target of any data centre
 * @param leftSaturated those that left because the own targets would reject them, or serve them
 *     late, or are loaded beyond what they serve in time
 * @param leftNoneUsable those that left because the own data centre has no usable target
 * @param bytes response bytes from other data centres
 * @param share present share of requests that leaves although the own targets would accept them
 */
public record SpilloverCounts(
    long placed, long leftSaturated, long leftNoneUsable, long bytes, double share) {

  /** Returns the counts since earlier ones, with the present share. */
  public SpilloverCounts minus(SpilloverCounts earlier) {
    return new SpilloverCounts(
        placed - earlier.placed,
        leftSaturated - earlier.leftSaturated,
        leftNoneUsable - earlier.leftNoneUsable,
        bytes - earlier.bytes,
        share);
  }

  /** Returns the requests that left for any reason. */
  public long left() {
    return leftSaturated + leftNoneUsable;
  }
}
