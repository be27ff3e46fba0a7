package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cowslipmoor.core.discovery.DiscoveredTarget;

/**
 * Decides at the coordinator which targets fail, by the outcomes that all hosts report, and which
 * host may try a failing target again. Not thread-safe; times are nanoseconds.
 *
 * <p>A target is ejected for all hosts if hosts of several data centres see it fail, and otherwise
 * for the hosts of the one data centre that do, since the fault may be that of their path. When its
 * ejection ends, one host at a time may send a trial request: its report ends or doubles the
 * ejection. At most a third of a service's targets are ejected for any host.
 */
public final class FailingTargets {
  /** Age up to which reported outcomes count. */
  static final long WINDOW_NANOS = 1_000_000_000L;

  private static final int MIN_FAILURES = 3;
  private static final int MIN_HOSTS = 2;
  private static final double MIN_FAILED_SHARE = 0.5;
  private static final int MAX_EJECTED_DIVISOR = 3;
  private static final long INITIAL_EJECTION_NANOS = 1_000_000_000L;
  private static final long MAX_EJECTION_NANOS = 30_000_000_000L;
  private static final int MAX_DOUBLINGS = 10;

  /** Time after which another host may try; the first one may have no request for the target. */
  private static final long TRIAL_NANOS = 1_000_000_000L;

  private final ArrayDeque<Outcomes> recent = new ArrayDeque<>();
  private final Map<Scope, Ejection> ejections = new HashMap<>();
  private Map<String, String> servicesByTarget = Map.of();

  /** What one host has reported of one target. */
  private record Outcomes(
      String host, String dataCentre, String target, int responses, int failures, long at) {}

  /**
   * The hosts for which a target is ejected.
   *
   * @param dataCentre their data centre; empty for all hosts
   */
  private record Scope(String target, String dataCentre) {
    boolean includes(String otherDataCentre) {
      return dataCentre.isEmpty() || dataCentre.equals(otherDataCentre);
    }
  }

  private static final class Ejection {
    int count;
    long until;

    /** The host that may try the target; empty before the first one may. */
    String trialHost = "";

    long trialSince;

    void begin(long now) {
      long durationNanos = INITIAL_EJECTION_NANOS << Math.min(count, MAX_DOUBLINGS);
      until = now + Math.min(MAX_EJECTION_NANOS, durationNanos);
      count++;
      trialHost = "";
    }
  }

  /** Sums of outcomes. */
  private static final class Totals {
    int responses;
    int failures;
    final Set<String> failedHosts = new HashSet<>();
    final Set<String> failedDataCentres = new HashSet<>();

    void add(Outcomes o) {
      responses += o.responses();
      failures += o.failures();
      if (o.failures() > 0) {
        failedHosts.add(o.host());
        failedDataCentres.add(o.dataCentre());
      }
    }

    boolean showFault() {
      return failures >= MIN_FAILURES
          && failedHosts.size() >= MIN_HOSTS
          && failures >= MIN_FAILED_SHARE * (failures + responses);
    }
  }

  /** Records the registered targets; others are forgotten. */
  public void onTargets(Collection<DiscoveredTarget> targets) {
    Map<String, String> services = new HashMap<>();
    targets.forEach(t -> services.put(t.id(), t.service()));
    servicesByTarget = services;
    ejections.keySet().removeIf(scope -> !services.containsKey(scope.target()));
  }

  /** Records the outcomes of a host's requests since its last report. */
  public void onReport(
      String host, String dataCentre, Map<String, HostReport.TargetSample> samples, long now) {
    samples.forEach(
        (target, s) -> {
          if (s.responses() > 0 || s.failures() > 0) {
            recent.add(new Outcomes(host, dataCentre, target, s.responses(), s.failures(), now));
            onTrial(host, new Scope(target, ""), s, now);
            onTrial(host, new Scope(target, dataCentre), s, now);
          }
        });
  }

  private void onTrial(String host, Scope scope, HostReport.TargetSample sample, long now) {
    Ejection e = ejections.get(scope);
    if (e == null || !e.trialHost.equals(host)) {
      return;
    }
    if (sample.failures() > 0) {
      e.begin(now);
    } else {
      ejections.remove(scope);
    }
    // What was reported before the trial says nothing about the target as it is now.
    recent.removeIf(o -> o.target().equals(scope.target()));
  }

  /**
   * Returns the targets that are ejected, after deciding which are.
   *
   * @param dataCentresByHost the hosts that report, with their data centres
   */
  public ImmutableList<FleetState.FailingTarget> update(
      Map<String, String> dataCentresByHost, long now) {
    while (!recent.isEmpty() && now - recent.getFirst().at() >= WINDOW_NANOS) {
      recent.removeFirst();
    }
    Map<Scope, Totals> totals = new TreeMap<>(Comparator.comparing(Scope::toString));
    for (Outcomes o : recent) {
      totals.computeIfAbsent(new Scope(o.target(), ""), unused -> new Totals()).add(o);
      if (!o.dataCentre().isEmpty()) {
        totals
            .computeIfAbsent(new Scope(o.target(), o.dataCentre()), unused -> new Totals())
            .add(o);
      }
    }
    totals.forEach(
        (scope, t) -> {
          boolean isPathOnly = scope.dataCentre().isEmpty() && t.failedDataCentres.size() < 2;
          boolean isNamed = t.failedDataCentres.stream().noneMatch(String::isEmpty);
          if (t.showFault() && !(isPathOnly && isNamed) && mayEject(scope)) {
            ejections.computeIfAbsent(scope, unused -> new Ejection()).begin(now);
          }
        });
    List<FleetState.FailingTarget> failing = new ArrayList<>();
    ejections.forEach(
        (scope, e) -> {
          if (now - e.until >= 0 && (e.trialHost.isEmpty() || now - e.trialSince >= TRIAL_NANOS)) {
            e.trialHost = nextTrialHost(scope, e.trialHost, dataCentresByHost);
            e.trialSince = now;
          }
          failing.add(
              new FleetState.FailingTarget(scope.target(), scope.dataCentre(), e.trialHost));
        });
    return ImmutableList.copyOf(failing);
  }

  /** Returns whether a target may be ejected in addition to those that are. */
  private boolean mayEject(Scope scope) {
    String service = servicesByTarget.get(scope.target());
    if (service == null
        || ejections.containsKey(scope)
        || ejections.containsKey(new Scope(scope.target(), ""))) {
      return false;
    }
    long registered = servicesByTarget.values().stream().filter(service::equals).count();
    long ejected =
        ejections.keySet().stream()
            .filter(s -> scope.dataCentre().isEmpty() || s.includes(scope.dataCentre()))
            .map(Scope::target)
            .filter(target -> !target.equals(scope.target()))
            .filter(target -> service.equals(servicesByTarget.get(target)))
            .distinct()
            .count();
    return ejected < registered / MAX_EJECTED_DIVISOR;
  }

  /** Returns the host after another one in the order of ids; empty if no host is concerned. */
  private static String nextTrialHost(
      Scope scope, String last, Map<String, String> dataCentresByHost) {
    List<String> hosts =
        dataCentresByHost.entrySet().stream()
            .filter(e -> scope.includes(e.getValue()))
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    if (hosts.isEmpty()) {
      return "";
    }
    // The targets begin at different hosts, so that one host does not bear all trials.
    int start = Math.floorMod(scope.target().hashCode(), hosts.size());
    int index = last.isEmpty() ? start : hosts.indexOf(last) + 1;
    return hosts.get(index % hosts.size());
  }
}
