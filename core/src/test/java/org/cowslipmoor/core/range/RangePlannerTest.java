package org.cowslipmoor.core.range;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.junit.jupiter.api.Test;

final class RangePlannerTest {
  private static final String SERVICE = "stock";

  private static DiscoveredTarget target(String id) {
    return new DiscoveredTarget(
        new TargetIncarnation(id, 1), SERVICE, id + ":1", "cairo", 4, false, 0);
  }

  private static final int KEYS = KeyRange.ALL.size();

  private static ImmutableList<RangeEntry> evenly(ImmutableList<DiscoveredTarget> targets) {
    return new RangePlanner(targets, ServiceLoad.uniform()).initial(SERVICE, 0);
  }

  @Test
  void keysAreDividedBySpeed() {
    double[] weights = new double[KEYS];
    Arrays.fill(weights, 1.0 / KEYS);
    ServiceLoad load = ServiceLoad.of(weights, ImmutableMap.of("a", 2.0, "b", 1.0));
    ImmutableList<RangeEntry> entries =
        new RangePlanner(ImmutableList.of(target("a"), target("b")), load).initial(SERVICE, 0);

    assertThat(entries.get(0).range().size(), greaterThan(40_000));
    assertThat(entries.get(1).range().to(), is(KeyRange.LAST_KEY));
  }

  @Test
  void balancedLoadMovesNothing() {
    ImmutableList<DiscoveredTarget> targets =
        ImmutableList.of(target("a"), target("b"), target("c"));
    assertThat(
        new RangePlanner(targets, ServiceLoad.uniform()).moves(evenly(targets), Set.of()),
        is(empty()));
  }

  /** Answers a hot key: its owner keeps it and gives the other keys away, which it would harm. */
  @Test
  void neighboursOfHotKeyMoveAway() {
    ImmutableList<DiscoveredTarget> targets =
        ImmutableList.of(target("a"), target("b"), target("c"), target("d"));
    KeyRange hot = new KeyRange(6_400, 6_400);
    ServiceLoad load = TestLoads.hotAt(hot, 0.4);

    ImmutableList<RangePlanner.Move> moves =
        new RangePlanner(targets, load).moves(evenly(targets), Set.of());

    assertThat(moves, is(not(empty())));
    for (RangePlanner.Move m : moves) {
      assertThat(m.entry().owner().id(), is("a"));
      assertThat(m.piece().contains(hot.from()), is(false));
    }
  }

  /** Answers targets that join empty: they get a share, and no more moves than that takes. */
  @Test
  void joiningTargetGetsItsShare() {
    ImmutableList<DiscoveredTarget> before = ImmutableList.of(target("a"), target("b"));
    ImmutableList<DiscoveredTarget> after = ImmutableList.of(target("a"), target("b"), target("c"));

    ImmutableList<RangePlanner.Move> moves =
        new RangePlanner(after, ServiceLoad.uniform()).moves(evenly(before), Set.of());

    int moved = moves.stream().mapToInt(m -> m.piece().size()).sum();
    assertThat(moved, greaterThan(15_000));
    assertThat(moved, lessThan(23_000));
    assertThat(moves.stream().allMatch(m -> m.to().id().equals("c")), is(true));
  }

  /**
   * Answers a rush to a few neighbouring keys, such as those of a popular product: one round cuts
   * them apart finely enough for each target to get a part that it can serve.
   */
  @Test
  void hotNeighboursAreSpreadInOneRound() {
    ImmutableList.Builder<DiscoveredTarget> all = ImmutableList.builder();
    for (int i = 0; i < 16; i++) {
      all.add(target("t" + (char) ('a' + i)));
    }
    ImmutableList<DiscoveredTarget> targets = all.build();
    ServiceLoad load = TestLoads.hotAt(new KeyRange(6_400, 6_459), 0.4);
    ImmutableList<RangeEntry> placed = evenly(targets);

    ImmutableList<RangePlanner.Move> moves =
        new RangePlanner(targets, load).moves(placed, Set.of());

    Map<String, Double> loads = new HashMap<>();
    placed.forEach(e -> loads.merge(e.owner().id(), load.weight(e.range()), Double::sum));
    for (RangePlanner.Move m : moves) {
      loads.merge(m.entry().owner().id(), -load.weight(m.piece()), Double::sum);
      loads.merge(m.to().id(), load.weight(m.piece()), Double::sum);
    }
    loads.forEach((id, share) -> assertThat(id, share, lessThan(1.5 / targets.size())));
  }

  /** Entries that are on their way somewhere are left alone, and their load is counted there. */
  @Test
  void fixedEntriesAreNotCut() {
    ImmutableList<DiscoveredTarget> targets = ImmutableList.of(target("a"), target("b"));
    ImmutableList<RangeEntry> placed = evenly(targets);
    ServiceLoad load = TestLoads.hotAt(new KeyRange(0, 99), 0.6);

    ImmutableList<RangePlanner.Move> moves =
        new RangePlanner(targets, load).moves(placed, Set.of(placed.get(0)));

    assertThat(moves, is(empty()));
  }
}
