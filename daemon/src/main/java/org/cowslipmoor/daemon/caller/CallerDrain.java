package org.cowslipmoor.daemon.caller;

import java.util.concurrent.CompletableFuture;

/**
 * Counts the requests in progress and rejects new ones during a planned stop. Thread-safe; no other
 * lock is taken while its lock is held.
 */
public final class CallerDrain {
  private final CompletableFuture<Void> idle = new CompletableFuture<>();
  private Phase phase = Phase.SERVING;
  private int inProgress;

  private enum Phase {
    /** Every request is accepted. */
    SERVING,
    /**
     * Requests that other hosts forwarded are rejected, since those hosts can choose another host;
     * callers' requests are accepted, since the balancer still sends them.
     */
    REJECTING_FORWARDED,
    /** Every request is rejected. */
    REJECTING_ALL
  }

  /** Starts a request; returns false when the request is to be rejected as not run. */
  synchronized boolean tryBegin(boolean forwarded) {
    boolean accepted = phase == Phase.SERVING || (phase == Phase.REJECTING_FORWARDED && !forwarded);
    if (accepted) {
      inProgress++;
    }
    return accepted;
  }

  /** Ends a request that {@link #tryBegin} accepted, after its complete response. */
  synchronized void end() {
    inProgress--;
    completeIfIdle();
  }

  /** Rejects requests that other hosts forward from now on. */
  public synchronized void rejectForwarded() {
    phase = Phase.REJECTING_FORWARDED;
  }

  /**
   * Rejects every request from now on.
   *
   * @return a future that completes when no request is in progress
   */
  public synchronized CompletableFuture<Void> rejectAll() {
    phase = Phase.REJECTING_ALL;
    completeIfIdle();
    return idle;
  }

  private void completeIfIdle() {
    if (phase == Phase.REJECTING_ALL && inProgress == 0) {
      idle.complete(null);
    }
  }
}
