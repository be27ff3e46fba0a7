package org.cowslipmoor.core.balance;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/** Chooses a target by a policy. Not thread-safe. */
public final class TargetChooser {
  private final LoadBalancingPolicy policy;
  private final RandomGenerator random;
  private int turn;

  private TargetChooser(LoadBalancingPolicy policy, RandomGenerator random) {
    this.policy = policy;
    this.random = random;
  }

  /** Creates a chooser. */
  public static TargetChooser of(LoadBalancingPolicy policy, RandomGenerator random) {
    return new TargetChooser(policy, random);
  }

  /**
   * Returns the index of the chosen target. Takes time linear in the targets at most.
   *
   * @throws IllegalArgumentException if there are no targets
   */
  public int choose(List<TargetLoadView> targets) {
    checkArgument(!targets.isEmpty(), "there are no targets to choose from");
    return switch (policy) {
      case LoadBalancingPolicy.Random p -> random.nextInt(targets.size());
      case LoadBalancingPolicy.RoundRobin p -> Math.floorMod(turn++, targets.size());
      case LoadBalancingPolicy.LeastInFlight p -> least(targets, TargetLoadView::ownInFlight);
      case LoadBalancingPolicy.LeastInFlightRoundRobin p -> leastInTurn(targets);
      case LoadBalancingPolicy.PowerOfChoices p -> bestOf(targets, p.choices());
      case LoadBalancingPolicy.JoinShortestQueue p -> least(targets, TargetLoadView::estimate);
      case LoadBalancingPolicy.IdleFirst p -> anyOrAll(targets, t -> t.estimate() == 0);
      case LoadBalancingPolicy.IdleOneFirst p -> idleOneFirst(targets);
      case LoadBalancingPolicy.WeightedLeast p ->
          least(targets, t -> (t.ownInFlight() * p.ownWeight() + t.reportedInFlight()) / t.slots());
    };
  }

  private int leastInTurn(List<TargetLoadView> targets) {
    int best = Math.floorMod(turn, targets.size());
    for (int i = 1; i < targets.size(); i++) {
      int next = Math.floorMod(turn + i, targets.size());
      best = targets.get(next).ownInFlight() < targets.get(best).ownInFlight() ? next : best;
    }
    turn = best + 1;
    return best;
  }

  private int idleOneFirst(List<TargetLoadView> targets) {
    boolean idle = targets.stream().anyMatch(t -> t.estimate() == 0);
    return anyOrAll(targets, t -> idle ? t.estimate() == 0 : t.estimate() < t.slots());
  }

  private int bestOf(List<TargetLoadView> targets, int choices) {
    int best = random.nextInt(targets.size());
    for (int i = 1; i < choices; i++) {
      int other = random.nextInt(targets.size());
      best = targets.get(other).estimate() < targets.get(best).estimate() ? other : best;
    }
    return best;
  }

  private int least(List<TargetLoadView> targets, ToDoubleFunction<TargetLoadView> load) {
    int best = -1;
    double least = Double.MAX_VALUE;
    int equals = 0;
    for (int i = 0; i < targets.size(); i++) {
      double value = load.applyAsDouble(targets.get(i));
      if (value < least) {
        least = value;
        best = i;
        equals = 1;
      } else if (value == least) {
        equals++;
        best = random.nextInt(equals) == 0 ? i : best;
      }
    }
    return best;
  }

  private int anyOrAll(List<TargetLoadView> targets, Predicate<TargetLoadView> wanted) {
    List<Integer> found = new ArrayList<>();
    for (int i = 0; i < targets.size(); i++) {
      if (wanted.test(targets.get(i))) {
        found.add(i);
      }
    }
    return found.isEmpty()
        ? random.nextInt(targets.size())
        : found.get(random.nextInt(found.size()));
  }
}
