package org.cowslipmoor.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableList;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class SplitSelectorTest {
  private static RouteRule rule(int first, int second) {
    return new RouteRule(
        "r",
        "host",
        "/a/",
        RequestKind.SAFE,
        2,
        1_000,
        500,
        1,
        ImmutableList.of(new Destination("x", first), new Destination("y", second)));
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
}
