package org.cowslipmoor.core.routing;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Distributes the requests of a route over its destinations by smooth weighted round-robin, so that
 * each destination gets its weight's part of any run of requests. Not thread-safe.
 */
public final class SplitSelector {
  private final RandomGenerator random;
  private final Map<String, Turns> turnsByRoute = new HashMap<>();

  private SplitSelector(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Creates a selector.
   *
   * @param random chooses where in its round each route begins, so that hosts do not move in step
   */
  public static SplitSelector create(RandomGenerator random) {
    return new SplitSelector(random);
  }

  /** Returns the name of the service that gets the route's next request. */
  public String next(RouteRule rule) {
    if (rule.destinations().size() == 1) {
      return rule.destinations().get(0).service();
    }
    Turns turns = turnsByRoute.get(rule.name());
    if (turns == null || !turns.destinations.equals(rule.destinations())) {
      turns = new Turns(rule.destinations(), random);
      turnsByRoute.put(rule.name(), turns);
    }
    return turns.next();
  }

  /** The state of one route's round. */
  private static final class Turns {
    final ImmutableList<Destination> destinations;
    final long[] credit;
    final long total;

    Turns(ImmutableList<Destination> destinations, RandomGenerator random) {
      this.destinations = destinations;
      this.credit = new long[destinations.size()];
      this.total = destinations.stream().mapToLong(Destination::weight).sum();
      long skip = random.nextLong(total);
      for (long i = 0; i < skip; i++) {
        next();
      }
    }

    String next() {
      int best = -1;
      for (int i = 0; i < credit.length; i++) {
        credit[i] += destinations.get(i).weight();
        boolean eligible = destinations.get(i).weight() > 0;
        if (eligible && (best < 0 || credit[i] > credit[best])) {
          best = i;
        }
      }
      credit[best] -= total;
      return destinations.get(best).service();
    }
  }
}
