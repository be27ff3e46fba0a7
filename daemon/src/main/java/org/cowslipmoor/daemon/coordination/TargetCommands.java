package org.cowslipmoor.daemon.coordination;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.range.GrantOutcome;
import org.cowslipmoor.core.range.RangeEntry;
import org.jspecify.annotations.Nullable;

/** Sends targets commands that grant and release keys. The futures never fail. */
public interface TargetCommands {
  /** Time after which a grant without a response is given up and its connection closed. */
  long GRANT_TIMEOUT_MILLIS = 600;

  /**
   * Grants the entry's keys to its owner for a time that counts from the grant's arrival. When the
   * outcome is unknown, the connection has been closed, so that the grant can't arrive any more.
   *
   * @param isAllowed checked right before the grant is written, which may be long after this call
   */
  CompletableFuture<GrantOutcome> grant(
      RangeEntry entry, long holdNanos, BooleanSupplier isAllowed);

  /**
   * Revokes the entry's keys from its owner. The future completes when the target no longer
   * processes requests for them.
   *
   * @param isAllowed checked right before the release is written
   */
  CompletableFuture<ReleaseResult> release(RangeEntry entry, BooleanSupplier isAllowed);

  /**
   * Sets a listener that receives each target whose response to a command states that it is
   * leaving. Called on the thread that completes the futures, before the command's future completes
   * for its caller.
   */
  default void onLeaving(Consumer<TargetIncarnation> listener) {}

  /**
   * The outcome of a release.
   *
   * @param done whether the target no longer holds the keys
   * @param handover what the target passes on to the next owner; null for nothing
   */
  record ReleaseResult(boolean done, @Nullable String handover) {}
}
