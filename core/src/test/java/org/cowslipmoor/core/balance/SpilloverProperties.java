package org.cowslipmoor.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

final class SpilloverProperties {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double REQUESTS_PER_NANO = 100 / 1e9;
  private static final double ERROR = 1e-9;

  /** Largest range of the mean share of all hosts under constant demand, once it has settled. */
  private static final double MAX_SWING = 0.1;

  /** How a host adapts its share. */
  private interface Rule {
    double share(double excess, long now);
  }

  private static Rule product() {
    Spillover spillover = Spillover.create(0);
    return (excess, now) -> {
      spillover.update(excess, REQUESTS_PER_NANO, true, now);
      return spillover.share();
    };
  }

  /** The broken variant: everything leaves while the targets have more than they serve in time. */
  private static Rule withoutSteps() {
    return (excess, unused) -> excess > 0 ? 1 : 0;
  }

  /** The shares of all hosts under constant demand after 20 s: lowest, highest and mean. */
  private record Settled(double lowest, double highest, double mean) {}

  /**
   * Simulates hosts that see the load of their data centre late, each with another delay.
   *
   * @param demand requests that arrive, as a fraction of those that the targets complete
   */
  private static Settled settle(List<Rule> hosts, double demand, long seed) {
    int stepsPerSecond = 20;
    double perStep = REQUESTS_PER_NANO * 1e9 / stepsPerSecond;
    double inTimeLoad = 80;
    SplittableRandom random = new SplittableRandom(seed);
    int[] delays = hosts.stream().mapToInt(unused -> 5 + random.nextInt(8)).toArray();
    List<Double> loads = new ArrayList<>(List.of(0.0));
    double lowest = 1;
    double highest = 0;
    double sum = 0;
    int settledSteps = 0;
    for (int step = 0; step < 40 * stepsPerSecond; step++) {
      long now = step * (1_000L / stepsPerSecond) * NANOS_PER_MILLI;
      double share = 0;
      for (int h = 0; h < delays.length; h++) {
        double seen = loads.get(Math.max(0, loads.size() - 1 - delays[h]));
        share += hosts.get(h).share(seen - inTimeLoad, now) / delays.length;
      }
      double load = loads.getLast() + demand * perStep * (1 - share);
      loads.add(load - Math.min(load, perStep));
      if (step >= 20 * stepsPerSecond) {
        lowest = Math.min(lowest, share);
        highest = Math.max(highest, share);
        sum += share;
        settledSteps++;
      }
    }
    return new Settled(lowest, highest, sum / settledSteps);
  }

  private static List<Rule> hosts(int count, boolean isProduct) {
    List<Rule> rules = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      rules.add(isProduct ? product() : withoutSteps());
    }
    return rules;
  }

  /** Guards against hosts that all leave by the same late report, and all return by the next. */
  @Property(tries = 100, seed = "20261206")
  void shareSettlesAtWhatTheTargetsDoNotServe(
      @ForAll @IntRange(min = 1, max = 60) int hosts,
      @ForAll @DoubleRange(min = 1.1, max = 2.5) double demand,
      @ForAll long seed) {
    Settled s = settle(hosts(hosts, true), demand, seed);
    assertThat(s.highest() - s.lowest(), lessThan(MAX_SWING));
    assertThat(s.mean(), closeTo(1 - 1 / demand, MAX_SWING));
  }

  /** Guards against traffic between data centres that each serve all their requests. */
  @Property(tries = 50, seed = "20261206")
  void nothingLeavesBelowTheCapacity(
      @ForAll @IntRange(min = 1, max = 60) int hosts,
      @ForAll @DoubleRange(min = 0.1, max = 0.99) double demand,
      @ForAll long seed) {
    assertThat(settle(hosts(hosts, true), demand, seed).highest(), is(0.0));
  }

  /** Shows that the simulation finds a rule that swings. */
  @Property(tries = 20, seed = "20261206")
  void ruleWithoutStepsSwings(
      @ForAll @IntRange(min = 2, max = 60) int hosts,
      @ForAll @DoubleRange(min = 1.3, max = 2.5) double demand,
      @ForAll long seed) {
    Settled s = settle(hosts(hosts, false), demand, seed);
    assertThat(s.highest() - s.lowest(), greaterThan(MAX_SWING));
  }

  @Property(tries = 200, seed = "20261206")
  void shareChangesByBoundedSteps(
      @ForAll @Size(max = 40) List<@DoubleRange(min = -500, max = 500) Double> excesses,
      @ForAll @IntRange(min = 1, max = 5_000) int stepMillis,
      @ForAll boolean fresh) {
    Spillover spillover = Spillover.create(0);
    double intervals = Math.min(4, stepMillis / 250.0);
    double before = 0;
    long now = 0;
    for (double excess : excesses) {
      now += stepMillis * NANOS_PER_MILLI;
      spillover.update(excess, REQUESTS_PER_NANO, fresh, now);
      double change = spillover.share() - before;
      assertThat(change, lessThanOrEqualTo(Spillover.MAX_RISE * intervals + ERROR));
      assertThat(change, greaterThanOrEqualTo(-Spillover.MAX_FALL * intervals - ERROR));
      assertThat(spillover.share(), greaterThanOrEqualTo(0.0));
      assertThat(spillover.share(), lessThanOrEqualTo(1.0));
      before = spillover.share();
    }
  }

  /** Guards against requests that return to loaded targets since their load is not known. */
  @Property(tries = 100, seed = "20261206")
  void shareDoesNotFallWhileLoadsAreNotKnown(
      @ForAll @Size(max = 40) List<@DoubleRange(min = -500, max = 500) Double> excesses) {
    Spillover spillover = Spillover.create(0);
    double before = 0;
    long now = 0;
    for (double excess : excesses) {
      now += 100 * NANOS_PER_MILLI;
      spillover.update(excess, REQUESTS_PER_NANO, false, now);
      assertThat(spillover.share(), greaterThanOrEqualTo(before));
      before = spillover.share();
    }
  }

  /** Guards against data centres that are all loaded and send each other their requests. */
  @Property(tries = 100, seed = "20261206")
  void acceptanceFallsToZeroAtTheAcceptedLoad(
      @ForAll @DoubleRange(min = 1, max = 1_000) double accepted,
      @ForAll @DoubleRange(max = 2) double relative) {
    double p = Spillover.acceptance(relative * accepted, accepted);
    if (relative >= 1) {
      assertThat(p, is(0.0));
    } else if (relative <= 1 - Spillover.ACCEPTANCE_RAMP - ERROR) {
      assertThat(p, closeTo(1, ERROR));
    }
    assertThat(p, greaterThanOrEqualTo(0.0));
    assertThat(p, lessThanOrEqualTo(1.0));
  }

  /** A target with free slots serves in time, whatever the relation of its speed and objective. */
  @Example
  void inTimeLoadIsAtLeastTheSlots() {
    assertThat(Spillover.inTimeLoad(4, 100, 50), is(4.0));
    assertThat(Spillover.inTimeLoad(4, 100, 600), is(8.0));
  }
}
