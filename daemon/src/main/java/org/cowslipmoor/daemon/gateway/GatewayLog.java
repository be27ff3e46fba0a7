package org.cowslipmoor.daemon.gateway;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.Evacuations;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.limit.LogLimit;
import org.cowslipmoor.daemon.http.Exchange;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Logs what happens to single requests, with a bound on the number of lines for each kind of event.
 * Confined to the event loop; times are nanoseconds.
 */
final class GatewayLog {
  private static final int MAX_LINES = 20;
  private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final LogLimit rejections;
  private final LogLimit surplusResponses;
  private final LogLimit abortedResponses;
  private final LogLimit exceptions;
  private final LogLimit leaving;
  private final LogLimit sentToLeaving;
  private final LogLimit cold;
  private final LogLimit allowances;
  private final LogLimit failing;
  private int allowancesAsked;
  private int allowancesHandedOut;

  GatewayLog(long now) {
    rejections = LogLimit.create(MAX_LINES, PERIOD_NANOS, now);
    surplusResponses = LogLimit.create(MAX_LINES, PERIOD_NANOS, now);
    abortedResponses = LogLimit.create(MAX_LINES, PERIOD_NANOS, now);
    exceptions = LogLimit.create(MAX_LINES, PERIOD_NANOS, now);
    leaving = LogLimit.create(MAX_LINES, PERIOD_NANOS, now);
    sentToLeaving = LogLimit.create(MAX_LINES, PERIOD_NANOS, now);
    cold = LogLimit.create(MAX_LINES, PERIOD_NANOS, now);
    allowances = LogLimit.create(1, PERIOD_NANOS, now);
    failing = LogLimit.create(MAX_LINES, PERIOD_NANOS, now);
  }

  /**
   * Logs that a target rejected a request.
   *
   * @param attempt number of the attempt, from 1
   * @param isIdRetired whether the connection had rejected a request with the same id before
   */
  void onRejection(
      String requestId,
      DiscoveredTarget target,
      int status,
      int attempt,
      Exchange exchange,
      boolean isIdRetired,
      long now) {
    if (rejections.tryAcquire(now)) {
      Logger.info(
          "event=rejection request={} target={} status={} attempt={} connection={} exchanges={}"
              + " rejected_before={} suppressed={}",
          requestId,
          target.id(),
          status,
          attempt,
          exchange.connectionId(),
          exchange.connectionExchanges(),
          isIdRetired,
          rejections.drainSuppressed());
    }
  }

  /**
   * Logs that a response was skipped because it does not belong to the pending request.
   *
   * @param responseId the id that the response bears; null if it bears none
   */
  void onSurplusResponse(
      String requestId,
      DiscoveredTarget target,
      int status,
      @Nullable String responseId,
      Exchange exchange,
      long now) {
    if (surplusResponses.tryAcquire(now)) {
      Logger.info(
          "event=surplus_response pending={} response={} target={} status={} connection={}"
              + " exchanges={} suppressed={}",
          requestId,
          responseId,
          target.id(),
          status,
          exchange.connectionId(),
          exchange.connectionExchanges(),
          surplusResponses.drainSuppressed());
    }
  }

  /** Logs that a caller's request ended without a complete response. */
  void onAbortedResponse(String requestId, String service, String reason, long now) {
    if (abortedResponses.tryAcquire(now)) {
      Logger.info(
          "event=response_aborted request={} service={} reason=\"{}\" suppressed={}",
          requestId,
          service,
          reason,
          abortedResponses.drainSuppressed());
    }
  }

  /**
   * Logs that the host has learnt that a target is leaving.
   *
   * @param source how the host learnt it
   * @param requestId id of the request whose response states it; null if it was another message
   * @param storeState what the store says of the target
   */
  void onLeaving(
      TargetIncarnation target,
      String source,
      @Nullable String requestId,
      String storeState,
      long now) {
    if (leaving.tryAcquire(now)) {
      Logger.info(
          "event=leaving target={} life={} source={} request={} store_state={} suppressed={}",
          target.id(),
          target.startedAt(),
          source,
          requestId,
          storeState,
          leaving.drainSuppressed());
    }
  }

  /**
   * Logs that a request is sent to a target that is leaving.
   *
   * @param storeState what the store says of the target
   * @param ageNanos time since the host learnt that the target is leaving
   */
  void onSentToLeaving(
      TargetIncarnation target, String requestId, String storeState, long ageNanos, long now) {
    if (sentToLeaving.tryAcquire(now)) {
      Logger.info(
          "event=sent_to_leaving target={} life={} request={} store_state={} age_ms={}"
              + " suppressed={}",
          target.id(),
          target.startedAt(),
          requestId,
          storeState,
          TimeUnit.NANOSECONDS.toMillis(ageNanos),
          sentToLeaving.drainSuppressed());
    }
  }

  /**
   * Logs the evacuations that have begun or ended.
   *
   * @param before the data centres that were evacuated before
   * @param evacuations the evacuations as they are now
   */
  void onEvacuations(
      ImmutableSet<String> before, Evacuations evacuations, TargetDirectory directory, long now) {
    ImmutableSet<String> after = evacuations.inForce().keySet();
    for (String dataCentre : Sets.difference(after, before)) {
      OptionalLong clearAt = evacuations.clearAt(dataCentre);
      Logger.info(
          "event=evacuation data_centre={} targets={} clear_age_ms={}",
          dataCentre,
          countTargets(dataCentre, directory),
          clearAt.isEmpty() ? "unknown" : TimeUnit.NANOSECONDS.toMillis(now - clearAt.getAsLong()));
    }
    for (String dataCentre : Sets.difference(before, after)) {
      Logger.info(
          "event=evacuation_end data_centre={} targets={}",
          dataCentre,
          countTargets(dataCentre, directory));
    }
  }

  private static long countTargets(String dataCentre, TargetDirectory directory) {
    return directory.all().values().stream().filter(t -> t.dataCentre().equals(dataCentre)).count();
  }

  /**
   * Logs once a period what this host has decided as the coordinator on requests for allowances.
   */
  void onAllowances(int asked, int handedOut, long now) {
    allowancesAsked += asked;
    allowancesHandedOut += handedOut;
    if (allowances.tryAcquire(now)) {
      allowances.drainSuppressed();
      Logger.info(
          "event=allowances asked={} handed_out={} denied={}",
          allowancesAsked,
          allowancesHandedOut,
          allowancesAsked - allowancesHandedOut);
      allowancesAsked = 0;
      allowancesHandedOut = 0;
    }
  }

  /** Logs that a target is suspected to have restarted. */
  void onSuspected(TargetIncarnation target, long now) {
    if (cold.tryAcquire(now)) {
      Logger.info(
          "event=cold_suspected target={} life={} suppressed={}",
          target.id(),
          target.startedAt(),
          cold.drainSuppressed());
    }
  }

  /** Logs the result of a health check of a target that hosts suspect to have restarted. */
  void onChecked(TargetIncarnation target, OptionalLong coldMillis, boolean isSuspected, long now) {
    if (cold.tryAcquire(now)) {
      Logger.info(
          "event=cold_check target={} life={} left_ms={} suspected={} suppressed={}",
          target.id(),
          target.startedAt(),
          coldMillis.isPresent() ? coldMillis.getAsLong() : "unknown",
          isSuspected,
          cold.drainSuppressed());
    }
  }

  /** Logs that the host has learnt that a target is cold. */
  void onCold(TargetIncarnation target, long leftMillis, long now) {
    if (cold.tryAcquire(now)) {
      Logger.info(
          "event=cold target={} life={} left_ms={} suppressed={}",
          target.id(),
          target.startedAt(),
          leftMillis,
          cold.drainSuppressed());
    }
  }

  /** Logs the targets that the coordinator publishes as failing, when they have changed. */
  void onFailingTargets(
      List<FleetState.FailingTarget> before, List<FleetState.FailingTarget> after, long now) {
    Set<String> added = describe(after);
    added.removeAll(describe(before));
    Set<String> removed = describe(before);
    removed.removeAll(describe(after));
    if ((!added.isEmpty() || !removed.isEmpty()) && failing.tryAcquire(now)) {
      Logger.info(
          "event=failing_targets ejected={} returned={} suppressed={}",
          added,
          removed,
          failing.drainSuppressed());
    }
  }

  /** Returns each target with the data centre for whose hosts it is ejected, if not for all. */
  private static Set<String> describe(List<FleetState.FailingTarget> targets) {
    Set<String> names = new TreeSet<>();
    for (FleetState.FailingTarget t : targets) {
      names.add(t.dataCentre().isEmpty() ? t.target() : t.target() + "@" + t.dataCentre());
    }
    return names;
  }

  /** Returns a task of the event loop that also logs the exception that it ends with. */
  Runnable logged(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        onException(e, System.nanoTime());
        throw e;
      }
    };
  }

  /** Logs an exception that ended a request. */
  void onException(RuntimeException exception, long now) {
    if (exceptions.tryAcquire(now)) {
      Logger.error(exception, "event=request_failed suppressed={}", exceptions.drainSuppressed());
    }
  }
}
