package org.cowslipmoor.daemon.codec;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cowslipmoor.core.coldstart.Allowance;
import org.cowslipmoor.core.coldstart.AllowanceRequest;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.FleetState;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.KeyRange;
import org.cowslipmoor.schema.fleet.ColdAllowance;
import org.cowslipmoor.schema.fleet.ColdAllowanceRequest;
import org.cowslipmoor.schema.fleet.ColdTargetRequests;
import org.cowslipmoor.schema.fleet.FailingTarget;
import org.cowslipmoor.schema.fleet.KeyLoad;
import org.cowslipmoor.schema.fleet.LeavingTarget;
import org.cowslipmoor.schema.fleet.MovingRange;
import org.cowslipmoor.schema.fleet.TargetSample;
import org.cowslipmoor.schema.fleet.TargetState;

/** Converts the load reports of hosts and the fleet's state. */
public final class FleetCodec {
  private FleetCodec() {}

  /** Converts a report to the schema's message. */
  public static org.cowslipmoor.schema.fleet.HostReport encodeReport(HostReport report) {
    org.cowslipmoor.schema.fleet.HostReport.Builder message =
        org.cowslipmoor.schema.fleet.HostReport.newBuilder()
            .setStoreEra(report.store().place().era())
            .setStoreRevision(report.store().place().revision())
            .setTableVersion(report.store().tableVersion())
            .setLastFence(report.store().lastFence())
            .addAllApprovals(report.approvals())
            .setSentAt(report.sentAt())
            .setDataCentre(report.dataCentre());
    report
        .keyLoads()
        .forEach(
            (service, counts) -> {
              KeyLoad.Builder load = KeyLoad.newBuilder().setService(service);
              counts.forEach((key, n) -> load.addKeys(key).addRequests(n));
              message.addKeyLoads(load);
            });
    report
        .targets()
        .forEach(
            (target, s) ->
                message.addTargets(
                    TargetSample.newBuilder()
                        .setTarget(target)
                        .setInFlight(s.inFlight())
                        .setAnswers(s.responses())
                        .setServiceMicros(TimeUnit.NANOSECONDS.toMicros(s.serviceNanos()))
                        .setFailures(s.failures())));
    report.leaving().forEach(target -> message.addLeaving(encodeLeaving(target)));
    return message.build();
  }

  /**
   * Converts a report from the schema's message.
   *
   * @throws IllegalArgumentException if the message is invalid
   */
  public static HostReport decodeReport(org.cowslipmoor.schema.fleet.HostReport message) {
    ImmutableMap.Builder<String, ImmutableMap<Integer, Integer>> loads = ImmutableMap.builder();
    for (KeyLoad load : message.getKeyLoadsList()) {
      loads.put(load.getService(), decodeCounts(load));
    }
    ImmutableMap.Builder<String, HostReport.TargetSample> targets = ImmutableMap.builder();
    for (TargetSample s : message.getTargetsList()) {
      targets.put(
          s.getTarget(),
          new HostReport.TargetSample(
              s.getInFlight(),
              s.getAnswers(),
              TimeUnit.MICROSECONDS.toNanos(s.getServiceMicros()),
              s.getFailures()));
    }
    return new HostReport(
        loads.buildOrThrow(),
        targets.buildOrThrow(),
        new HostReport.StoreKnowledge(
            new StorePlace(message.getStoreEra(), message.getStoreRevision()),
            message.getTableVersion(),
            message.getLastFence()),
        ImmutableSet.copyOf(message.getApprovalsList()),
        decodeLeaving(message.getLeavingList()),
        message.getSentAt(),
        message.getDataCentre());
  }

  /** Converts the fleet's state to the schema's message. */
  public static org.cowslipmoor.schema.fleet.FleetState encodeState(FleetState state) {
    org.cowslipmoor.schema.fleet.FleetState.Builder message =
        org.cowslipmoor.schema.fleet.FleetState.newBuilder()
            .setHosts(state.hosts())
            .setTableVersion(state.tableVersion())
            .setRelaysStore(state.relaysStore())
            .addAllCandidates(state.candidates());
    state
        .targets()
        .forEach(
            (target, t) ->
                message.addTargets(
                    TargetState.newBuilder()
                        .setTarget(target)
                        .setInFlight(t.inFlight())
                        .setServiceMicros((int) TimeUnit.NANOSECONDS.toMicros(t.serviceNanos()))));
    for (FleetState.MovingRange m : state.moving()) {
      message.addMoving(
          MovingRange.newBuilder()
              .setService(m.service())
              .setFrom(m.range().from())
              .setTo(m.range().to()));
    }
    state.leaving().forEach(target -> message.addLeaving(encodeLeaving(target)));
    for (FleetState.FailingTarget f : state.failing()) {
      message.addFailing(
          FailingTarget.newBuilder()
              .setTarget(f.target())
              .setDataCentre(f.dataCentre())
              .setTrialHost(f.trialHost()));
    }
    return message.build();
  }

  /**
   * Converts the fleet's state from the schema's message.
   *
   * @throws IllegalArgumentException if the message is invalid
   */
  public static FleetState decodeState(org.cowslipmoor.schema.fleet.FleetState message) {
    ImmutableMap.Builder<String, FleetState.TargetState> targets = ImmutableMap.builder();
    for (TargetState t : message.getTargetsList()) {
      targets.put(
          t.getTarget(),
          new FleetState.TargetState(
              t.getInFlight(), TimeUnit.MICROSECONDS.toNanos(t.getServiceMicros())));
    }
    ImmutableList.Builder<FleetState.MovingRange> moving = ImmutableList.builder();
    for (MovingRange m : message.getMovingList()) {
      moving.add(new FleetState.MovingRange(m.getService(), new KeyRange(m.getFrom(), m.getTo())));
    }
    ImmutableList.Builder<FleetState.FailingTarget> failing = ImmutableList.builder();
    for (FailingTarget f : message.getFailingList()) {
      checkArgument(!f.getTarget().isEmpty(), "a failing target has no id");
      failing.add(new FleetState.FailingTarget(f.getTarget(), f.getDataCentre(), f.getTrialHost()));
    }
    return new FleetState(
        message.getHosts(),
        targets.buildOrThrow(),
        message.getTableVersion(),
        moving.build(),
        ImmutableSet.copyOf(message.getCandidatesList()),
        message.getRelaysStore(),
        decodeLeaving(message.getLeavingList()),
        failing.build());
  }

  /** Converts a request for allowances to the schema's message. */
  public static ColdAllowanceRequest encodeAllowanceRequest(AllowanceRequest request) {
    return ColdAllowanceRequest.newBuilder()
        .addAllTargets(encodeRequests(request.requests()))
        .setSentAt(request.sentAt())
        .build();
  }

  /**
   * Converts a request for allowances from the schema's message.
   *
   * @throws IllegalArgumentException if the message is invalid
   */
  public static AllowanceRequest decodeAllowanceRequest(ColdAllowanceRequest message) {
    return new AllowanceRequest(decodeRequests(message.getTargetsList()), message.getSentAt());
  }

  /** Converts an allowance to the schema's message. */
  public static ColdAllowance encodeAllowance(Allowance allowance) {
    return ColdAllowance.newBuilder()
        .addAllTargets(encodeRequests(allowance.requests()))
        .setEchoedAt(allowance.askedAt())
        .setValidMillis((int) TimeUnit.NANOSECONDS.toMillis(allowance.validNanos()))
        .build();
  }

  /**
   * Converts an allowance from the schema's message.
   *
   * @throws IllegalArgumentException if the message is invalid
   */
  public static Allowance decodeAllowance(ColdAllowance message) {
    return new Allowance(
        decodeRequests(message.getTargetsList()),
        message.getEchoedAt(),
        TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(message.getValidMillis())));
  }

  private static ImmutableList<ColdTargetRequests> encodeRequests(
      ImmutableMap<TargetIncarnation, Integer> requests) {
    return requests.entrySet().stream()
        .map(
            e ->
                ColdTargetRequests.newBuilder()
                    .setTarget(e.getKey().id())
                    .setStartedAt(e.getKey().startedAt())
                    .setRequests(e.getValue())
                    .build())
        .collect(ImmutableList.toImmutableList());
  }

  private static ImmutableMap<TargetIncarnation, Integer> decodeRequests(
      List<ColdTargetRequests> messages) {
    ImmutableMap.Builder<TargetIncarnation, Integer> requests = ImmutableMap.builder();
    for (ColdTargetRequests m : messages) {
      checkArgument(!m.getTarget().isEmpty(), "a cold target has no id");
      checkArgument(
          m.getRequests() >= 0,
          "%s requests to a cold target",
          Integer.toUnsignedLong(m.getRequests()));
      requests.put(new TargetIncarnation(m.getTarget(), m.getStartedAt()), m.getRequests());
    }
    return requests.buildOrThrow();
  }

  private static LeavingTarget encodeLeaving(TargetIncarnation target) {
    return LeavingTarget.newBuilder()
        .setTarget(target.id())
        .setStartedAt(target.startedAt())
        .build();
  }

  private static ImmutableSet<TargetIncarnation> decodeLeaving(List<LeavingTarget> messages) {
    ImmutableSet.Builder<TargetIncarnation> targets = ImmutableSet.builder();
    for (LeavingTarget m : messages) {
      checkArgument(!m.getTarget().isEmpty(), "a leaving target has no id");
      targets.add(new TargetIncarnation(m.getTarget(), m.getStartedAt()));
    }
    return targets.build();
  }

  private static ImmutableMap<Integer, Integer> decodeCounts(KeyLoad load) {
    checkArgument(
        load.getKeysCount() == load.getRequestsCount(),
        "a key load has %s keys, but %s request counts",
        load.getKeysCount(),
        load.getRequestsCount());
    ImmutableMap.Builder<Integer, Integer> counts = ImmutableMap.builder();
    for (int i = 0; i < load.getKeysCount(); i++) {
      int key = load.getKeys(i);
      checkArgument(0 <= key && key <= KeyRange.LAST_KEY, "key %s is out of range", key);
      counts.put(key, load.getRequests(i));
    }
    return counts.buildOrThrow();
  }
}
