package org.cowslipmoor.core.request;

import static org.cowslipmoor.core.request.RetrySimulation.NANOS_PER_SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.cowslipmoor.core.request.RetrySimulation.Traffic;

/** Checks the bound on the retries of all hosts together, for fleets of several sizes. */
final class SharedRetryBudgetProperties {
  private static final double RATIO = 0.2;
  private static final int MAX_RETRIES = 2;

  /** Size, slack and traffic of a fleet, as on users' sites. */
  private record Fleet(int hosts, double slack, int requestsPerSecond) {}

  @Provide
  Arbitrary<Fleet> fleets() {
    return Arbitraries.of(
        new Fleet(1, 122, 100),
        new Fleet(19, 122, 63),
        new Fleet(102, 268, 303),
        new Fleet(102, 268, 40),
        new Fleet(102, 268, 5_000),
        new Fleet(200, 268, 1_500),
        new Fleet(1_000, 268, 1_500),
        new Fleet(1_000, 268, 10_000));
  }

  /**
   * Guards against hosts that exceed the bound because they begin a window with full budgets: they
   * sent 960 retries in a window that allowed 874.
   */
  @Property(tries = 60, seed = "20261205")
  void retriesOfAllHostsStayWithinTheBound(@ForAll("fleets") Fleet fleet, @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RetrySimulation simulation = new RetrySimulation(fleet.hosts(), RATIO, fleet.slack(), seed);
    for (int phase = 0; phase < 8; phase++) {
      double failureRatio = random.nextBoolean() ? random.nextDouble() * 0.1 : 1;
      int half = Math.max(1, fleet.hosts() / 2);
      int hosts = random.nextInt(4) == 0 ? (random.nextBoolean() ? half : -half) : fleet.hosts();
      int rate = (int) (fleet.requestsPerSecond() * (0.2 + random.nextDouble()));
      long durationNanos = random.nextLong(NANOS_PER_SECOND, 12 * NANOS_PER_SECOND);
      simulation.run(durationNanos, new Traffic(rate, failureRatio, MAX_RETRIES, hosts));
      if (random.nextBoolean()) {
        simulation.restartShare(random.nextDouble());
      }
    }
    assertThat(simulation.maxExcess(), lessThanOrEqualTo(0.0));
  }

  /**
   * While the limits change, some hosts go by the old and some by the new ones. Together they stay
   * within the larger bound, so that no host has to know the others' limits.
   */
  @Property(tries = 40, seed = "20261205")
  void hostsWithDifferentLimitsStayWithinTheLargerBound(
      @ForAll @IntRange(min = 0, max = 2) int size,
      @ForAll boolean isRaised,
      @ForAll @DoubleRange(min = 0.3, max = 0.7) double share,
      @ForAll long seed) {
    Fleet fleet =
        List.of(new Fleet(19, 122, 63), new Fleet(102, 268, 303), new Fleet(300, 268, 900))
            .get(size);
    double factor = isRaised ? 1.5 : 0.5;
    RetrySimulation simulation = new RetrySimulation(fleet.hosts(), RATIO, fleet.slack(), seed);
    Traffic traffic = new Traffic(fleet.requestsPerSecond(), 1, MAX_RETRIES, fleet.hosts());
    simulation.run(12 * NANOS_PER_SECOND, traffic);
    simulation.changeLimits(share, RATIO * factor, fleet.slack() * factor);
    simulation.run(24 * NANOS_PER_SECOND, traffic);
    assertThat(simulation.maxExcess(), lessThanOrEqualTo(0.0));
  }

  /**
   * Guards against a budget that denies retries although the bound allows them, so that requests
   * fail whose first target rejected them.
   */
  @Property(tries = 16, seed = "20261205")
  void mostRetriesAreGrantedWhenFewRequestsFail(@ForAll("fleets") Fleet fleet, @ForAll long seed) {
    RetrySimulation simulation = new RetrySimulation(fleet.hosts(), RATIO, fleet.slack(), seed);
    simulation.run(
        60 * NANOS_PER_SECOND, new Traffic(fleet.requestsPerSecond(), RATIO / 4, 1, fleet.hosts()));
    assertThat(simulation.grantedShare(), greaterThan(0.5));
  }

  /**
   * When all targets fail, the hosts use at least two fifths of the retries that the ratio allows.
   */
  @Property(tries = 16, seed = "20261205")
  void retriesContinueWhileAllTargetsFail(@ForAll("fleets") Fleet fleet, @ForAll long seed) {
    RetrySimulation simulation = new RetrySimulation(fleet.hosts(), RATIO, fleet.slack(), seed);
    simulation.run(
        60 * NANOS_PER_SECOND,
        new Traffic(fleet.requestsPerSecond(), 1, MAX_RETRIES, fleet.hosts()));
    assertThat(simulation.retriesPerRequest(), greaterThan(RATIO * 0.4));
  }
}
