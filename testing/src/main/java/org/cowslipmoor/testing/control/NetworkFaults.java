package org.cowslipmoor.testing.control;

/**
 * Faults of the fake network and store; shares are from 0 to 1.
 *
 * @param loss share of messages that are lost
 * @param duplication share of messages that arrive twice
 * @param longDelay share of messages that take up to {@code maxDelayNanos}
 * @param maxDelayNanos maximum delay of such messages, in nanoseconds
 * @param lostStoreResponses share of the store's responses that are lost after the call took effect
 */
public record NetworkFaults(
    double loss,
    double duplication,
    double longDelay,
    long maxDelayNanos,
    double lostStoreResponses) {

  /** No faults: each message takes the normal time. */
  public static final NetworkFaults NONE = new NetworkFaults(0, 0, 0, 0, 0);
}
