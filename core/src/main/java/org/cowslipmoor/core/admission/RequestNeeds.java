package org.cowslipmoor.core.admission;

/**
 * What a request needs of a target.
 *
 * @param objectiveNanos nanoseconds left until the answer is late; may be negative
 * @param deadlineNanos nanoseconds left until nobody waits for the answer
 * @param priority rank of the request; 0 is the most urgent
 */
public record RequestNeeds(long objectiveNanos, long deadlineNanos, int priority) {}
