package org.cowslipmoor.core.routing;

import com.google.common.collect.ImmutableList;
import java.math.BigInteger;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * Splits the requests of a route over its destinations by smooth weighted round-robin, so that each
 * sequence of requests is distributed in proportion to the weights. Not thread-safe.
 */
public final class SplitSelector {
  private final RandomGenerator random;
  private final Map<String, RotationState> stateByRoute = new HashMap<>();

  private SplitSelector(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Creates a selector.
   *
   * @param random draws the initial position in the rotation of each route, so that hosts do not
   *     choose destinations in lockstep
   */
  public static SplitSelector create(RandomGenerator random) {
    return new SplitSelector(random);
  }

  /** Returns the name of the service for the next request of a route. */
  public String next(RouteRule rule) {
    if (rule.destinations().size() == 1) {
      return rule.destinations().get(0).service();
    }
    RotationState state = stateByRoute.get(rule.name());
    if (state == null || !state.destinations.equals(rule.destinations())) {
      state = new RotationState(rule.destinations(), random);
      stateByRoute.put(rule.name(), state);
    }
    return state.next();
  }

  /** The round-robin state of one route. */
  private static final class RotationState {
    final ImmutableList<Destination> destinations;
    final long[] currentWeights;
    final long totalWeight;

    RotationState(ImmutableList<Destination> destinations, RandomGenerator random) {
      this.destinations = destinations;
      this.currentWeights = new long[destinations.size()];
      this.totalWeight = destinations.stream().mapToLong(Destination::weight).sum();
      startAt(random.nextLong(totalWeight));
    }

    /**
     * Sets the weights to what they are after a number of requests that were apportioned by the
     * largest remainder. Costs the same for any number, whereas a rotation is as long as the sum of
     * the weights.
     */
    private void startAt(long requests) {
      BigInteger total = BigInteger.valueOf(totalWeight);
      long remainders = 0;
      for (int i = 0; i < currentWeights.length; i++) {
        BigInteger weight = BigInteger.valueOf(destinations.get(i).weight());
        currentWeights[i] = weight.multiply(BigInteger.valueOf(requests)).mod(total).longValue();
        remainders += currentWeights[i];
      }
      IntStream.range(0, currentWeights.length)
          .boxed()
          .sorted(Comparator.comparingLong(i -> -currentWeights[i]))
          .limit(remainders / totalWeight)
          .forEach(i -> currentWeights[i] -= totalWeight);
    }

    String next() {
      int best = -1;
      for (int i = 0; i < currentWeights.length; i++) {
        currentWeights[i] += destinations.get(i).weight();
        boolean eligible = destinations.get(i).weight() > 0;
        if (eligible && (best < 0 || currentWeights[i] > currentWeights[best])) {
          best = i;
        }
      }
      currentWeights[best] -= totalWeight;
      return destinations.get(best).service();
    }
  }
}
