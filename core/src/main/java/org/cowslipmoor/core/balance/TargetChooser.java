package org.cowslipmoor.core.balance;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/** Chooses targets according to a {@link LoadBalancingPolicy}. Not thread-safe. */
public final class TargetChooser {
  private final LoadBalancingPolicy policy;
  private final RandomGenerator random;
  private int rotation;

  private TargetChooser(LoadBalancingPolicy policy, RandomGenerator random) {
    this.policy = policy;
    this.random = random;
  }

  /**
   * Creates a chooser.
   *
   * @param random draws the random choices and breaks ties
   */
  public static TargetChooser of(LoadBalancingPolicy policy, RandomGenerator random) {
    return new TargetChooser(policy, random);
  }

  /**
   * Returns the index of the chosen target, in at most linear time.
   *
   * @throws IllegalArgumentException if there are no targets
   */
  public int choose(List<TargetLoadView> targets) {
    checkArgument(!targets.isEmpty(), "there are no targets to choose from");
    return switch (policy) {
      case LoadBalancingPolicy.Random p -> random.nextInt(targets.size());
      case LoadBalancingPolicy.RoundRobin p -> Math.floorMod(rotation++, targets.size());
      case LoadBalancingPolicy.LeastInFlight p -> least(targets, TargetLoadView::ownInFlight);
      case LoadBalancingPolicy.LeastInFlightRoundRobin p -> leastInRotation(targets);
      case LoadBalancingPolicy.PowerOfChoices p -> bestOfSamples(targets, p.choices());
      case LoadBalancingPolicy.JoinShortestQueue p -> least(targets, TargetLoadView::estimate);
      case LoadBalancingPolicy.IdleFirst p -> randomMatchOrAny(targets, t -> t.estimate() == 0);
      case LoadBalancingPolicy.IdleOneFirst p -> idleOneFirst(targets);
      case LoadBalancingPolicy.WeightedLeast p ->
          least(targets, t -> (t.ownInFlight() * p.ownWeight() + t.reportedInFlight()) / t.slots());
    };
  }

  private int leastInRotation(List<TargetLoadView> targets) {
    int best = Math.floorMod(rotation, targets.size());
    for (int i = 1; i < targets.size(); i++) {
      int next = Math.floorMod(rotation + i, targets.size());
      best = targets.get(next).ownInFlight() < targets.get(best).ownInFlight() ? next : best;
    }
    rotation = best + 1;
    return best;
  }

  private int idleOneFirst(List<TargetLoadView> targets) {
    boolean anyIdle = targets.stream().anyMatch(t -> t.estimate() == 0);
    return randomMatchOrAny(targets, t -> anyIdle ? t.estimate() == 0 : t.estimate() < t.slots());
  }

  private int bestOfSamples(List<TargetLoadView> targets, int choices) {
    int best = random.nextInt(targets.size());
    for (int i = 1; i < choices; i++) {
      int sample = random.nextInt(targets.size());
      best = targets.get(sample).estimate() < targets.get(best).estimate() ? sample : best;
    }
    return best;
  }

  private int least(List<TargetLoadView> targets, ToDoubleFunction<TargetLoadView> load) {
    int best = -1;
    double least = Double.MAX_VALUE;
    int ties = 0;
    for (int i = 0; i < targets.size(); i++) {
      double value = load.applyAsDouble(targets.get(i));
      if (value < least) {
        least = value;
        best = i;
        ties = 1;
      } else if (value == least) {
        ties++;
        best = random.nextInt(ties) == 0 ? i : best;
      }
    }
    return best;
  }

  private int randomMatchOrAny(List<TargetLoadView> targets, Predicate<TargetLoadView> predicate) {
    List<Integer> matches = new ArrayList<>();
    for (int i = 0; i < targets.size(); i++) {
      if (predicate.test(targets.get(i))) {
        matches.add(i);
      }
    }
    return matches.isEmpty()
        ? random.nextInt(targets.size())
        : matches.get(random.nextInt(matches.size()));
  }
}
