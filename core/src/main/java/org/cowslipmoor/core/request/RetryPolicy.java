package org.cowslipmoor.core.request;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/** Decides whether and when a request is retried. */
public final class RetryPolicy {
  private static final long INITIAL_DELAY_NANOS = 5_000_000L;
  private static final long MAX_DELAY_NANOS = 100_000_000L;
  private static final int MAX_DOUBLINGS = 10;

  private RetryPolicy() {}

  /**
   * Returns the delay in nanoseconds before the next attempt; empty if the request is not retried.
   *
   * <p>A request that may have run is retried only if it is repeatable. A retry after {@link
   * AttemptOutcome.Reason#NOT_OWNER} takes nothing from the budget, since the attempt put no load
   * on a target.
   *
   * @param outcome outcome of the last attempt
   * @param repeatable whether the request may run more than once
   * @param attempts number of attempts so far, at least 1
   * @param remainingNanos nanoseconds left before the deadline
   * @param budget budget of the retries that put load on targets
   * @param random source of the jitter
   */
  public static OptionalLong nextDelayNanos(
      AttemptOutcome outcome,
      boolean repeatable,
      int attempts,
      long remainingNanos,
      RetryBudget budget,
      RandomGenerator random) {
    long delayNanos = delayNanos(attempts, random);
    if (delayNanos >= remainingNanos) {
      return OptionalLong.empty();
    }
    boolean allowed =
        switch (outcome) {
          case AttemptOutcome.NotRun o ->
              o.reason() == AttemptOutcome.Reason.NOT_OWNER || budget.tryAcquire();
          case AttemptOutcome.Unknown o -> repeatable && budget.tryAcquire();
        };
    return allowed ? OptionalLong.of(delayNanos) : OptionalLong.empty();
  }

  /** Returns an exponential backoff with a limit, of which half is jitter. */
  private static long delayNanos(int attempts, RandomGenerator random) {
    long uncappedNanos = INITIAL_DELAY_NANOS << Math.min(MAX_DOUBLINGS, attempts - 1);
    long cappedNanos = Math.min(MAX_DELAY_NANOS, uncappedNanos);
    return cappedNanos / 2 + random.nextLong(cappedNanos / 2);
  }

  /** Returns the result code for a request whose last attempt ended with the given outcome. */
  public static ResultCode resultCode(AttemptOutcome outcome) {
    return switch (outcome) {
      case AttemptOutcome.NotRun o ->
          switch (o.reason()) {
            case NOT_OWNER -> ResultCode.OWNER_UNKNOWN;
            case SHED -> ResultCode.OVERLOADED;
            case UNREACHABLE, BROKEN -> ResultCode.TARGET_REFUSED;
            case DEADLINE -> ResultCode.DEADLINE_NOT_MET;
          };
      case AttemptOutcome.Unknown o ->
          o.reason() == AttemptOutcome.Reason.DEADLINE
              ? ResultCode.DEADLINE_PASSED
              : ResultCode.TARGET_FAILED;
    };
  }
}
