package org.cowslipmoor.daemon.caller;

import java.util.concurrent.CompletableFuture;

/**
 * Counts the requests in progress and refuses new ones in the steps of a planned stop. Thread-safe;
 * its lock is an innermost one.
 */
public final class CallerDrain {
  private final CompletableFuture<Void> idle = new CompletableFuture<>();
  private Step step = Step.SERVING;
  private int inProgress;

  private enum Step {
    /** Takes every request. */
    SERVING,
    /** Refuses what other hosts forward, which know other ways; callers' balancer still sends. */
    REJECTING_FORWARDED,
    /** Refuses every request. */
    REJECTING_ALL
  }

  /** Begins a request; returns false when it is to be refused as not run. */
  synchronized boolean tryBegin(boolean forwarded) {
    boolean taken = step == Step.SERVING || (step == Step.REJECTING_FORWARDED && !forwarded);
    if (taken) {
      inProgress++;
    }
    return taken;
  }

  /** Ends a request that {@link #tryBegin} took, its whole answer included. */
  synchronized void end() {
    inProgress--;
    completeIfIdle();
  }

  /** Refuses from now on what other hosts forward. */
  public synchronized void rejectForwarded() {
    step = Step.REJECTING_FORWARDED;
  }

  /** Refuses from now on every request; the future completes when none is in progress. */
  public synchronized CompletableFuture<Void> rejectAll() {
    step = Step.REJECTING_ALL;
    completeIfIdle();
    return idle;
  }

  private void completeIfIdle() {
    if (step == Step.REJECTING_ALL && inProgress == 0) {
      idle.complete(null);
    }
  }
}
