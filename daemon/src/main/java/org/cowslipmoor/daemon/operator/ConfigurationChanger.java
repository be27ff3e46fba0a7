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
 * Changes the configuration in the store: one compare-and-swap makes a change accepted. A lost
 * answer is settled by reading back the operation's id.
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
   * @param code whether it was accepted
   * @param message says more, for people
   * @param revision revision that is accepted now; 0 when it is not known
   */
  record Outcome(ResultCode code, String message, long revision) {}

  /**
   * What a change would do.
   *
   * @param code whether it could be applied
   * @param message says more, for people
   * @param revision revision that it would be applied to; 0 when it is not known
   * @param differences the differences, a line each
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
            answer -> {
              if (!(answer instanceof StoreResponse.ConfigurationRead r)) {
                return unavailable();
              }
              Configuration present = r.configuration();
              if (present != null) {
                return present.operationId().equals(operationId)
                    ? done(ResultCode.OK, "created", present.revision())
                    : done(
                        ResultCode.ALREADY_EXISTS,
                        "setup " + present.setup() + " exists",
                        present.revision());
              }
              return write(r.revision(), first);
            });
  }

  /**
   * Applies a change.
   *
   * @param expectedRevision revision to apply it to; 0 for the newest
   */
  CompletableFuture<Outcome> apply(
      ConfigurationChange change, long expectedRevision, String operationId) {
    if (expectedRevision == 0 && change instanceof ConfigurationChange.Replace) {
      return done(
          ResultCode.INVALID_CHANGE, "replacing a configuration needs an expected revision", 0);
    }
    return tryApply(change, expectedRevision, operationId, MAX_CONFLICT_ATTEMPTS);
  }

  /** Tells what a change would do. */
  CompletableFuture<Plan> plan(ConfigurationChange change) {
    return read()
        .thenApply(
            answer -> {
              Configuration base =
                  answer instanceof StoreResponse.ConfigurationRead r ? r.configuration() : null;
              if (base == null) {
                return new Plan(
                    ResultCode.STORE_UNAVAILABLE,
                    "the store has no configuration or did not answer",
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
      ConfigurationChange change, long expectedRevision, String operationId, int tries) {
    UnaryOperator<Configuration> edit =
        base -> ConfigurationEditor.apply(base, change, operationId);
    return read()
        .thenCompose(answer -> applyTo(answer, edit, expectedRevision, operationId))
        .thenCompose(
            outcome ->
                outcome.code() == ResultCode.REVISION_CONFLICT && expectedRevision == 0 && tries > 1
                    ? tryApply(change, expectedRevision, operationId, tries - 1)
                    : CompletableFuture.completedFuture(outcome));
  }

  private CompletableFuture<Outcome> applyTo(
      StoreResponse answer,
      UnaryOperator<Configuration> edit,
      long expectedRevision,
      String operationId) {
    if (!(answer instanceof StoreResponse.ConfigurationRead r)) {
      return unavailable();
    }
    Configuration base = r.configuration();
    if (base == null) {
      return done(ResultCode.NOT_FOUND, "the setup has not been created", 0);
    }
    if (base.operationId().equals(operationId)) {
      return done(ResultCode.OK, "this operation is applied", base.revision());
    }
    Configuration inForce = loop.view().configuration();
    if (inForce != null && base.revision() < inForce.revision()) {
      return done(
          ResultCode.STORE_REGRESSED,
          "the store holds revision " + base.revision() + ", which is older than what is in force",
          inForce.revision());
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

  private CompletableFuture<Outcome> write(long record, Configuration next) {
    return store
        .call(new StoreCall.WriteConfiguration(record, next))
        .thenCompose(
            answer -> {
              if (!(answer instanceof StoreResponse.WriteDone w)) {
                return settle(next, MAX_READ_BACK_ATTEMPTS);
              }
              return w.written()
                  ? accepted(next)
                  : done(ResultCode.REVISION_CONFLICT, "another operator's change came first", 0);
            });
  }

  private CompletableFuture<Outcome> accepted(Configuration next) {
    loop.onConfiguration(next);
    return done(ResultCode.OK, "accepted", next.revision());
  }

  /** Finds out whether a write took effect whose answer was lost. */
  private CompletableFuture<Outcome> settle(Configuration next, int tries) {
    return read()
        .thenCompose(
            answer -> {
              Configuration present =
                  answer instanceof StoreResponse.ConfigurationRead r ? r.configuration() : null;
              if (present != null && present.operationId().equals(next.operationId())) {
                return accepted(present);
              }
              if (present != null && present.revision() == next.revision()) {
                return done(
                    ResultCode.REVISION_CONFLICT,
                    "another operator's change came first",
                    present.revision());
              }
              if (tries <= 1) {
                return done(
                    ResultCode.OUTCOME_UNKNOWN,
                    "the store did not tell whether the change was accepted; the same operation"
                        + " id may be sent again",
                    0);
              }
              return CompletableFuture.supplyAsync(
                      () -> tries - 1,
                      CompletableFuture.delayedExecutor(
                          READ_BACK_DELAY_MILLIS, TimeUnit.MILLISECONDS, workers))
                  .thenCompose(left -> settle(next, left));
            });
  }

  private CompletableFuture<StoreResponse> read() {
    return store.call(new StoreCall.ReadConfiguration());
  }

  private static CompletableFuture<Outcome> unavailable() {
    return done(ResultCode.STORE_UNAVAILABLE, "the platform's key-value service did not answer", 0);
  }

  private static CompletableFuture<Outcome> done(
      ResultCode code, @Nullable String message, long revision) {
    return CompletableFuture.completedFuture(
        new Outcome(code, message == null ? "" : message, revision));
  }
}
