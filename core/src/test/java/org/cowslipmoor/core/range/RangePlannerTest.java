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

  private static final int KEY_COUNT = KeyRange.ALL.size();

  private static ImmutableList<RangeEntry> assignUniformly(
      ImmutableList<DiscoveredTarget> targets) {
    return new RangePlanner(targets, ServiceLoad.uniform()).initialAssignment(SERVICE, 0);
  }

  @Test
  void keysAreAssignedInProportionToSpeed() {
    double[] weights = new double[KEY_COUNT];
    Arrays.fill(weights, 1.0 / KEY_COUNT);
    ServiceLoad load = ServiceLoad.of(weights, ImmutableMap.of("a", 2.0, "b", 1.0));
    ImmutableList<RangeEntry> entries =
        new RangePlanner(ImmutableList.of(target("a"), target("b")), load)
            .initialAssignment(SERVICE, 0);

    assertThat(entries.get(0).range().size(), greaterThan(40_000));
    assertThat(entries.get(1).range().to(), is(KeyRange.LAST_KEY));
  }

  @Test
  void balancedLoadCausesNoMoves() {
    ImmutableList<DiscoveredTarget> targets =
        ImmutableList.of(target("a"), target("b"), target("c"));
    assertThat(
        new RangePlanner(targets, ServiceLoad.uniform()).moves(assignUniformly(targets), Set.of()),
        is(empty()));
  }

  /**
   * The owner of a hot key keeps it, and its other keys move away because the hot key would slow
   * them down.
   */
  @Test
  void keysAdjacentToHotKeyMoveAway() {
    ImmutableList<DiscoveredTarget> targets =
        ImmutableList.of(target("a"), target("b"), target("c"), target("d"));
    KeyRange hot = new KeyRange(6_400, 6_400);
    ServiceLoad load = TestLoads.withHotRange(hot, 0.4);

    ImmutableList<RangePlanner.Move> moves =
        new RangePlanner(targets, load).moves(assignUniformly(targets), Set.of());

    assertThat(moves, is(not(empty())));
    for (RangePlanner.Move m : moves) {
      assertThat(m.entry().owner().id(), is("a"));
      assertThat(m.piece().contains(hot.from()), is(false));
    }
  }

  /**
   * A target that joins without keys gets its share, and no more keys are moved than that requires.
   */
  @Test
  void joiningTargetGetsItsShare() {
    ImmutableList<DiscoveredTarget> before = ImmutableList.of(target("a"), target("b"));
    ImmutableList<DiscoveredTarget> after = ImmutableList.of(target("a"), target("b"), target("c"));

    ImmutableList<RangePlanner.Move> moves =
        new RangePlanner(after, ServiceLoad.uniform()).moves(assignUniformly(before), Set.of());

    int moved = moves.stream().mapToInt(m -> m.piece().size()).sum();
    assertThat(moved, greaterThan(15_000));
    assertThat(moved, lessThan(23_000));
    assertThat(moves.stream().allMatch(m -> m.to().id().equals("c")), is(true));
  }

  /**
   * A few adjacent keys may become hot, such as those of a popular product. One round has to split
   * them finely enough for each target to get a part that it can serve.
   */
  @Test
  void adjacentHotKeysAreSpreadInOneRound() {
    ImmutableList.Builder<DiscoveredTarget> all = ImmutableList.builder();
    for (int i = 0; i < 16; i++) {
      all.add(target("t" + (char) ('a' + i)));
    }
    ImmutableList<DiscoveredTarget> targets = all.build();
    ServiceLoad load = TestLoads.withHotRange(new KeyRange(6_400, 6_459), 0.4);
    ImmutableList<RangeEntry> assigned = assignUniformly(targets);

    ImmutableList<RangePlanner.Move> moves =
        new RangePlanner(targets, load).moves(assigned, Set.of());

    Map<String, Double> loads = new HashMap<>();
    assigned.forEach(e -> loads.merge(e.owner().id(), load.weight(e.range()), Double::sum));
    for (RangePlanner.Move m : moves) {
      loads.merge(m.entry().owner().id(), -load.weight(m.piece()), Double::sum);
      loads.merge(m.to().id(), load.weight(m.piece()), Double::sum);
    }
    loads.forEach((id, share) -> assertThat(id, share, lessThan(1.5 / targets.size())));
  }

  /** Entries that are being transferred are not split, and their load counts at their new owner. */
  @Test
  void fixedEntriesAreNotSplit() {
    ImmutableList<DiscoveredTarget> targets = ImmutableList.of(target("a"), target("b"));
    ImmutableList<RangeEntry> assigned = assignUniformly(targets);
    ServiceLoad load = TestLoads.withHotRange(new KeyRange(0, 99), 0.6);

    ImmutableList<RangePlanner.Move> moves =
        new RangePlanner(targets, load).moves(assigned, Set.of(assigned.get(0)));

    assertThat(moves, is(empty()));
  }
}
