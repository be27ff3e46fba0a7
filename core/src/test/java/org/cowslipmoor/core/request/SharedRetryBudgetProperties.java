package org.cowslipmoor.core.request;

import static org.cowslipmoor.core.request.RetryWorld.SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cowslipmoor.core.request.RetryWorld.Traffic;

/** All hosts together against the users' bound, on fleets of several sizes. */
final class SharedRetryBudgetProperties {
  private static final double RATIO = 0.2;
  private static final int MOST_RETRIES = 2;

  /** A fleet, and the traffic and the slack of the users' sites. */
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
   * Answers 960 retries in a window in which 874 were allowed, made by hosts that began it full.
   */
  @Property(tries = 60, seed = "20261205")
  void retriesOfAllHostsKeepTheUsersBound(@ForAll("fleets") Fleet fleet, @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RetryWorld world = new RetryWorld(fleet.hosts(), RATIO, fleet.slack(), seed);
    for (int phase = 0; phase < 8; phase++) {
      double failing = random.nextBoolean() ? random.nextDouble() * 0.1 : 1;
      int half = Math.max(1, fleet.hosts() / 2);
      int where = random.nextInt(4) == 0 ? (random.nextBoolean() ? half : -half) : fleet.hosts();
      int rate = (int) (fleet.requestsPerSecond() * (0.2 + random.nextDouble()));
      long duration = random.nextLong(SECOND, 12 * SECOND);
      world.run(duration, new Traffic(rate, failing, MOST_RETRIES, where));
      if (random.nextBoolean()) {
        world.restartSome(random.nextDouble());
      }
    }
    assertThat(world.worstExcess(), lessThanOrEqualTo(0.0));
  }

  /** A bound that no host may use would fail the callers whose first target turned them away. */
  @Property(tries = 16, seed = "20261205")
  void mostCallersOfFewFailingTargetsGetTheirRetry(
      @ForAll("fleets") Fleet fleet, @ForAll long seed) {
    RetryWorld world = new RetryWorld(fleet.hosts(), RATIO, fleet.slack(), seed);
    world.run(60 * SECOND, new Traffic(fleet.requestsPerSecond(), RATIO / 4, 1, fleet.hosts()));
    assertThat(world.madePart(), greaterThan(0.5));
  }

  /** When all targets fail, the hosts use at least two fifths of what the share allows. */
  @Property(tries = 16, seed = "20261205")
  void retriesGoOnWhileAllTargetsFail(@ForAll("fleets") Fleet fleet, @ForAll long seed) {
    RetryWorld world = new RetryWorld(fleet.hosts(), RATIO, fleet.slack(), seed);
    world.run(60 * SECOND, new Traffic(fleet.requestsPerSecond(), 1, MOST_RETRIES, fleet.hosts()));
    assertThat(world.retriesPerRequest(), greaterThan(RATIO * 0.4));
  }
}
