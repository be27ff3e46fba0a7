package org.cowslipmoor.daemon.coordination;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.cowslipmoor.core.range.GrantOutcome;
import org.cowslipmoor.core.range.RangeEntry;

/** Targets that never respond. */
final class UnresponsiveTargets implements TargetCommands {
  @Override
  public CompletableFuture<GrantOutcome> grant(
      RangeEntry entry, long holdNanos, BooleanSupplier isAllowed) {
    return new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<ReleaseResult> release(RangeEntry entry, BooleanSupplier isAllowed) {
    return new CompletableFuture<>();
  }
}
