package org.cowslipmoor.daemon.operator;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.ConfigurationChange;
import org.cowslipmoor.core.configuration.ConfigurationDifference;
import org.cowslipmoor.core.configuration.ConfigurationEditor;
import org.cowslipmoor.core.control.StoreCall;
import org.cowslipmoor.core.control.StoreResponse;
import org.cowslipmoor.core.request.ResultCode;
import org.cowslipmoor.daemon.ControlLoop;
import org.cowslipmoor.daemon.platform.PlatformStore;
import org.jspecify.annotations.Nullable;

/**
 * Changes the configuration in the store. A change is accepted by a single compare-and-swap; when
 * the response to a write is lost, the operation id is read back to find out the outcome.
 */
final class ConfigurationChanger {
  private static final int MAX_CONFLICT_ATTEMPTS = 5;
  private static final int MAX_READ_BACK_ATTEMPTS = 8;
  private static final long READ_BACK_DELAY_MILLIS = 250;

  private final PlatformStore store;
  private final ControlLoop loop;
  private final Executor workers;

  /**
   * The outcome of a change.
   *
   * @param code whether the change was accepted
   * @param message details in human-readable form
   * @param revision the accepted revision; 0 if unknown
   */
  record Outcome(ResultCode code, String message, long revision) {}

  /**
   * The preview of a change.
   *
   * @param code whether the change could be applied
   * @param message details in human-readable form
   * @param revision the revision that the change would be applied to; 0 if unknown
   * @param differences the differences, one line each
   */
  record Plan(ResultCode code, String message, long revision, ImmutableList<String> differences) {}

  ConfigurationChanger(PlatformStore store, ControlLoop loop, Executor workers) {
    this.store = store;
    this.loop = loop;
    this.workers = workers;
  }

  /** Writes the first configuration of a setup. */
  CompletableFuture<Outcome> create(Configuration proposed, String operationId) {
    Configuration first;
    try {
      first = ConfigurationEditor.create(proposed, operationId);
    } catch (IllegalArgumentException e) {
      return done(ResultCode.INVALID_CHANGE, String.valueOf(e.getMessage()), 0);
    }
    return read()
        .thenCompose(
            response -> {
              if (!(response instanceof StoreResponse.ConfigurationRead r)) {
                return unavailable();
              }
              Configuration current = r.configuration();
              if (current != null) {
                return current.operationId().equals(operationId)
                    ? done(ResultCode.OK, "created", current.revision())
                    : done(
                        ResultCode.ALREADY_EXISTS,
                        "setup " + current.setup() + " exists",
                        current.revision());
              }
              return write(r.revision(), first);
            });
  }

  /**
   * Applies a change.
   *
   * @param expectedRevision revision to apply the change to; 0 for the newest
   */
  CompletableFuture<Outcome> apply(
      ConfigurationChange change, long expectedRevision, String operationId) {
    if (expectedRevision == 0 && change instanceof ConfigurationChange.Replace) {
      return done(
          ResultCode.INVALID_CHANGE, "replacing a configuration needs an expected revision", 0);
    }
    return tryApply(change, expectedRevision, operationId, MAX_CONFLICT_ATTEMPTS);
  }

  /** Returns what a change would do. */
  CompletableFuture<Plan> plan(ConfigurationChange change) {
    return read()
        .thenApply(
            response -> {
              Configuration base =
                  response instanceof StoreResponse.ConfigurationRead r ? r.configuration() : null;
              if (base == null) {
                return new Plan(
                    ResultCode.STORE_UNAVAILABLE,
                    "the store has no configuration or did not respond",
                    0,
                    ImmutableList.of());
              }
              try {
                Configuration next = ConfigurationEditor.apply(base, change, "plan");
                return new Plan(
                    ResultCode.OK,
                    "",
                    base.revision(),
                    ConfigurationDifference.between(base, next));
              } catch (IllegalArgumentException e) {
                return new Plan(
                    ResultCode.INVALID_CHANGE,
                    String.valueOf(e.getMessage()),
                    base.revision(),
                    ImmutableList.of());
              }
            });
  }

  private CompletableFuture<Outcome> tryApply(
      ConfigurationChange change, long expectedRevision, String operationId, int attemptsLeft) {
    UnaryOperator<Configuration> edit =
        base -> ConfigurationEditor.apply(base, change, operationId);
    return read()
        .thenCompose(response -> applyTo(response, edit, expectedRevision, operationId))
        .thenCompose(
            outcome ->
                outcome.code() == ResultCode.REVISION_CONFLICT
                        && expectedRevision == 0
                        && attemptsLeft > 1
                    ? tryApply(change, expectedRevision, operationId, attemptsLeft - 1)
                    : CompletableFuture.completedFuture(outcome));
  }

  private CompletableFuture<Outcome> applyTo(
      StoreResponse response,
      UnaryOperator<Configuration> edit,
      long expectedRevision,
      String operationId) {
    if (!(response instanceof StoreResponse.ConfigurationRead r)) {
      return unavailable();
    }
    Configuration base = r.configuration();
    if (base == null) {
      return done(ResultCode.NOT_FOUND, "the setup has not been created", 0);
    }
    if (base.operationId().equals(operationId)) {
      return done(ResultCode.OK, "this operation has already been applied", base.revision());
    }
    Configuration inEffect = loop.view().configuration();
    if (inEffect != null && base.revision() < inEffect.revision()) {
      return done(
          ResultCode.STORE_REGRESSED,
          "the store holds revision "
              + base.revision()
              + ", which is older than revision "
              + inEffect.revision()
              + ", which is in effect",
          inEffect.revision());
    }
    if (expectedRevision != 0 && expectedRevision != base.revision()) {
      return done(
          ResultCode.REVISION_CONFLICT,
          "expected revision " + expectedRevision + ", but the newest is " + base.revision(),
          base.revision());
    }
    Configuration next;
    try {
      next = edit.apply(base);
    } catch (IllegalArgumentException e) {
      return done(ResultCode.INVALID_CHANGE, String.valueOf(e.getMessage()), base.revision());
    }
    return write(r.revision(), next);
  }

  private CompletableFuture<Outcome> write(long recordRevision, Configuration next) {
    return store
        .call(new StoreCall.WriteConfiguration(recordRevision, next))
        .thenCompose(
            response -> {
              if (!(response instanceof StoreResponse.WriteDone w)) {
                return resolveOutcome(next, MAX_READ_BACK_ATTEMPTS);
              }
              return w.written()
                  ? accepted(next)
                  : done(
                      ResultCode.REVISION_CONFLICT,
                      "another operator's change was accepted first",
                      0);
            });
  }

  private CompletableFuture<Outcome> accepted(Configuration next) {
    loop.onConfiguration(next);
    return done(ResultCode.OK, "accepted", next.revision());
  }

  /** Finds out whether a write whose response was lost took effect. */
  private CompletableFuture<Outcome> resolveOutcome(Configuration next, int attemptsLeft) {
    return read()
        .thenCompose(
            response -> {
              Configuration current =
                  response instanceof StoreResponse.ConfigurationRead r ? r.configuration() : null;
              if (current != null && current.operationId().equals(next.operationId())) {
                return accepted(current);
              }
              if (current != null && current.revision() == next.revision()) {
                return done(
                    ResultCode.REVISION_CONFLICT,
                    "another operator's change was accepted first",
                    current.revision());
              }
              if (attemptsLeft <= 1) {
                return done(
                    ResultCode.OUTCOME_UNKNOWN,
                    "the store did not confirm whether the change was accepted; the change may be"
                        + " retried with the same operation id",
                    0);
              }
              return CompletableFuture.supplyAsync(
                      () -> attemptsLeft - 1,
                      CompletableFuture.delayedExecutor(
                          READ_BACK_DELAY_MILLIS, TimeUnit.MILLISECONDS, workers))
                  .thenCompose(left -> resolveOutcome(next, left));
            });
  }

  private CompletableFuture<StoreResponse> read() {
    return store.call(new StoreCall.ReadConfiguration());
  }

  private static CompletableFuture<Outcome> unavailable() {
    return done(
        ResultCode.STORE_UNAVAILABLE, "the platform's key-value service did not respond", 0);
  }

  private static CompletableFuture<Outcome> done(
      ResultCode code, @Nullable String message, long revision) {
    return CompletableFuture.completedFuture(
        new Outcome(code, message == null ? "" : message, revision));
  }
}
