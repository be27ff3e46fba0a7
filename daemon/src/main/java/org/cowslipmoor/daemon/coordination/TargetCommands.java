package org.cowslipmoor.daemon.coordination;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.cowslipmoor.core.range.GrantOutcome;
import org.cowslipmoor.core.range.RangeEntry;
import org.jspecify.annotations.Nullable;

/** Tells targets which keys they hold. The futures never fail. */
public interface TargetCommands {
  /** Milliseconds after which a grant without an answer is given up and its connection closed. */
  long GRANT_TIMEOUT_MILLIS = 600;

  /**
   * Grants the entry's keys to its owner for a time that counts from the grant's arrival. When the
   * outcome is unknown, the connection has been closed, so that the grant can't arrive any more.
   *
   * @param isAllowed is asked right before the grant is written, which may be long after this call
   */
  CompletableFuture<GrantOutcome> grant(
      RangeEntry entry, long holdNanos, BooleanSupplier isAllowed);

  /**
   * Takes the entry's keys back; completes when the work on them has ended.
   *
   * @param isAllowed is asked right before the release is written
   */
  CompletableFuture<ReleaseResult> release(RangeEntry entry, BooleanSupplier isAllowed);

  /**
   * The outcome of a release.
   *
   * @param done whether the target no longer holds the keys
   * @param handover what it gives for the next owner; null when nothing
   */
  record ReleaseResult(boolean done, @Nullable String handover) {}
}
