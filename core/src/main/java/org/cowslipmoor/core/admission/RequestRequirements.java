package org.cowslipmoor.core.admission;

/**
 * Requirements of a request on the target that serves it.
 *
 * @param objectiveNanos response time objective in nanoseconds, counted from the request's arrival
 * @param deadlineNanos nanoseconds left until the caller stops waiting for the response
 * @param priority priority of the request; 0 is the most urgent
 */
public record RequestRequirements(long objectiveNanos, long deadlineNanos, int priority) {}
