package org.cowslipmoor.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

final class SplitSelectorTest {
  private static RouteRule rule(int first, int second) {
    return rule(new Destination("x", first), new Destination("y", second));
  }

  private static RouteRule rule(List<Integer> weights) {
    return rule(
        IntStream.range(0, weights.size())
            .mapToObj(i -> new Destination("s" + i, weights.get(i)))
            .toArray(Destination[]::new));
  }

  private static RouteRule rule(Destination... destinations) {
    return new RouteRule(
        "r", "host", "/a/", RequestKind.SAFE, 2, 1_000, 500, 1, ImmutableList.copyOf(destinations));
  }

  @Property(tries = 100, seed = "1")
  void requestsAreSplitInProportionToTheWeights(
      @ForAll @IntRange(min = 1, max = 50) int first,
      @ForAll @IntRange(min = 0, max = 50) int second,
      @ForAll long seed) {
    SplitSelector selector = SplitSelector.create(new SplittableRandom(seed));
    RouteRule rule = rule(first, second);
    int requests = 200;
    int toFirst = 0;
    for (int i = 0; i < requests; i++) {
      toFirst += selector.next(rule).equals("x") ? 1 : 0;
    }
    double expected = requests * (double) first / (first + second);
    assertThat((double) toFirst, closeTo(expected, 2));
  }

  @Test
  void changedWeightsApplyFromTheNextRequest() {
    SplitSelector selector = SplitSelector.create(new SplittableRandom(1));
    selector.next(rule(1, 1));
    for (int i = 0; i < 20; i++) {
      assertThat(selector.next(rule(0, 5)), is("y"));
    }
  }

  /** Guards against weights whose size delays the requests of a host. */
  @Test
  @Timeout(20)
  void largeWeightsAreSplitWithoutDelay() {
    for (int seed = 0; seed < 1_000; seed++) {
      SplitSelector selector = SplitSelector.create(new SplittableRandom(seed));
      RouteRule rule = rule(Integer.MAX_VALUE, Integer.MAX_VALUE / 9);
      int toFirst = 0;
      for (int i = 0; i < 100; i++) {
        toFirst += selector.next(rule).equals("x") ? 1 : 0;
      }
      assertThat((double) toFirst, closeTo(90, 2));
    }
  }

  @Property(tries = 200, seed = "2")
  void requestsAreSplitOverManyDestinationsInProportionToTheirWeights(
      @ForAll @Size(min = 1, max = 8) List<@IntRange Integer> weights, @ForAll long seed) {
    Assume.that(weights.stream().anyMatch(w -> w > 0));
    RouteRule rule = rule(weights);
    SplitSelector selector = SplitSelector.create(new SplittableRandom(seed));
    Multiset<String> counts = HashMultiset.create();
    int requests = 500;
    for (int i = 0; i < requests; i++) {
      counts.add(selector.next(rule));
    }
    double total = weights.stream().mapToLong(Integer::longValue).sum();
    for (Destination d : rule.destinations()) {
      double expected = requests * (double) d.weight() / total;
      assertThat((double) counts.count(d.service()), closeTo(expected, weights.size()));
    }
  }

  /** Hosts that start together must not send their first requests to the same destination. */
  @Test
  void firstRequestsOfManyHostsAreSplitInProportionToTheWeights() {
    RouteRule rule = rule(ImmutableList.of(7, 2, 1));
    SplittableRandom random = new SplittableRandom(3);
    Multiset<String> first = HashMultiset.create();
    int hosts = 10_000;
    for (int i = 0; i < hosts; i++) {
      first.add(SplitSelector.create(random.split()).next(rule));
    }
    assertThat((double) first.count("s0"), closeTo(0.7 * hosts, 200));
    assertThat((double) first.count("s1"), closeTo(0.2 * hosts, 200));
    assertThat((double) first.count("s2"), closeTo(0.1 * hosts, 200));
  }
}
