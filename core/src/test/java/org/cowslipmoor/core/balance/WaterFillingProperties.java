package org.cowslipmoor.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

final class WaterFillingProperties {
  private static final double SERVICE_NANOS = 1e8;

  /** More than any number of requests here. */
  private static final double ROOM = 1e6;

  /** Relative error of the bisection. */
  private static final double ERROR = 1e-3;

  private static WaterFilling filling(List<Double> loads, int slots) {
    WaterFilling f = WaterFilling.create(loads.size());
    loads.forEach(load -> f.add(load, ROOM, slots, SERVICE_NANOS, 0));
    return f;
  }

  private static double added(WaterFilling f, List<Double> loads, int index) {
    return f.load(index) - loads.get(index);
  }

  /** More requests than asked for are distributed only where whole ones go to idle targets. */
  @Property
  void requestedNumberIsDistributed(
      @ForAll @Size(min = 1, max = 40) List<@DoubleRange(max = 60) Double> loads,
      @ForAll @IntRange(min = 1, max = 8) int slots,
      @ForAll @DoubleRange(min = 0.5, max = 500) double requests) {
    WaterFilling f = filling(loads, slots);
    f.distribute(requests);
    double sum = 0;
    for (int i = 0; i < loads.size(); i++) {
      sum += added(f, loads, i);
    }
    assertThat(sum, greaterThan(requests * (1 - ERROR)));
    assertThat(sum, lessThanOrEqualTo(Math.max(requests, loads.size()) * (1 + ERROR)));
  }

  /** Equal targets that receive requests end at equal loads; the others were above that before. */
  @Property
  void receivingTargetsEndAtEqualLoads(
      @ForAll @Size(min = 2, max = 40) List<@DoubleRange(max = 60) Double> loads,
      @ForAll @DoubleRange(min = 0.5, max = 500) double requests) {
    WaterFilling f = filling(loads, 4);
    f.distribute(requests);
    double level = -1;
    for (int i = 0; i < loads.size(); i++) {
      if (added(f, loads, i) > 0) {
        level = level < 0 ? f.load(i) : level;
        assertThat(f.load(i), closeTo(level, ERROR));
      }
    }
    for (int i = 0; i < loads.size(); i++) {
      assertThat(f.load(i), greaterThan(level - ERROR));
    }
  }

  @Property
  void onlyTargetsWithShareAreChosen(
      @ForAll @Size(min = 1, max = 40) List<@DoubleRange(max = 60) Double> loads,
      @ForAll @DoubleRange(min = 0.5, max = 50) double requests,
      @ForAll long seed) {
    WaterFilling f = filling(loads, 4);
    f.distribute(requests);
    int chosen = f.choose(new SplittableRandom(seed));
    assertThat(added(f, loads, chosen), greaterThan(0.0));
  }

  @Example
  void fasterTargetReceivesMore() {
    WaterFilling f = WaterFilling.create(2);
    f.add(0, ROOM, 4, SERVICE_NANOS, 0);
    f.add(0, ROOM, 4, 2 * SERVICE_NANOS, 0);
    f.distribute(10);
    assertThat(f.load(0), greaterThan(1.3 * f.load(1)));
  }

  /** One request goes to the cheapest target while that one is idle. */
  @Example
  void singleRequestGoesToTheCheapestIdleTarget() {
    WaterFilling f = WaterFilling.create(2);
    f.add(0, ROOM, 4, SERVICE_NANOS, SERVICE_NANOS / 100);
    f.add(0, ROOM, 4, SERVICE_NANOS, 0);
    f.distribute(1);
    for (int seed = 0; seed < 100; seed++) {
      assertThat(f.choose(new SplittableRandom(seed)), is(1));
    }
  }

  /** Guards against hosts that all send to the few targets that have room left. */
  @Property
  void requestsBeyondAllRoomRemain(
      @ForAll @Size(min = 1, max = 40) List<@DoubleRange(max = 3) Double> rooms,
      @ForAll @DoubleRange(min = 150, max = 500) double requests) {
    WaterFilling f = WaterFilling.create(rooms.size());
    rooms.forEach(room -> f.add(9, room, 4, SERVICE_NANOS, 0));
    f.distribute(requests);

    int remaining = 0;
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 1_000; i++) {
      remaining += f.choose(random) < 0 ? 1 : 0;
    }
    for (int i = 0; i < rooms.size(); i++) {
      assertThat(f.load(i), lessThanOrEqualTo(9 + rooms.get(i) + ERROR));
    }
    double room = rooms.stream().mapToDouble(r -> r).sum();
    assertThat(remaining / 1_000.0, closeTo(1 - room / requests, 0.06));
  }
}
