package org.cowslipmoor.core.admission;

/**
 * What a request needs of a target.
 *
 * @param objectiveNanos nanoseconds within which its answer is on time, counted from its arrival
 * @param deadlineNanos nanoseconds left until nobody waits for the answer
 * @param priority rank of the request; 0 is the most urgent
 */
public record RequestRequirements(long objectiveNanos, long deadlineNanos, int priority) {}
