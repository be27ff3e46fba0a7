package org.cowslipmoor.core.request;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/** Decides whether and when a request is tried again. */
public final class RetryPolicy {
  private static final long FIRST_DELAY = 5_000_000L;
  private static final long LONGEST_DELAY = 100_000_000L;
  private static final int MAX_DOUBLINGS = 10;

  private RetryPolicy() {}

  /**
   * Returns the nanoseconds to wait before the next attempt; empty when there is to be none.
   *
   * <p>A request that may have run is tried again only when it is repeatable. A request that found
   * its owner changing costs no budget, since it put no load on a target.
   *
   * @param outcome how the last attempt ended
   * @param repeatable whether the request may run more than once
   * @param attempts attempts made so far, at least 1
   * @param remaining nanoseconds left before the deadline
   * @param budget bounds the retries that put load on targets
   * @param random spreads the delays
   */
  public static OptionalLong nextDelayNanos(
      AttemptOutcome outcome,
      boolean repeatable,
      int attempts,
      long remaining,
      RetryBudget budget,
      RandomGenerator random) {
    long delay = delay(attempts, random);
    if (delay >= remaining) {
      return OptionalLong.empty();
    }
    boolean allowed =
        switch (outcome) {
          case AttemptOutcome.NotRun o ->
              o.reason() == AttemptOutcome.Reason.NOT_OWNER || budget.tryAcquire();
          case AttemptOutcome.Unknown o -> repeatable && budget.tryAcquire();
        };
    return allowed ? OptionalLong.of(delay) : OptionalLong.empty();
  }

  /** Returns half to all of a delay that doubles with each attempt, up to a limit. */
  private static long delay(int attempts, RandomGenerator random) {
    long full = FIRST_DELAY << Math.min(MAX_DOUBLINGS, attempts - 1);
    long capped = Math.min(LONGEST_DELAY, full);
    return capped / 2 + random.nextLong(capped / 2);
  }

  /** Returns the code that tells a caller how its last attempt ended. */
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
