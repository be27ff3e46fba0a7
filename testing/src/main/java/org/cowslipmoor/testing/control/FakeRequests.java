package org.cowslipmoor.testing.control;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.cowslipmoor.core.configuration.Service;
import org.cowslipmoor.core.ownership.ShardId;
import org.cowslipmoor.core.request.Route;
import org.cowslipmoor.core.request.Router;

/**
 * Sends requests for random keys from every host and records which targets process requests of
 * which shards. A target that does not check grants processes every request that arrives, until the
 * request's deadline at the latest. Not thread-safe.
 *
 * <p>Requests are not subject to long network delays: a host cancels a request that is delayed
 * beyond its deadline.
 */
final class FakeRequests {
  private static final long INTERVAL_NANOS = 20_000_000L;
  private static final long MIN_DURATION_NANOS = 2_000_000L;

  private final ControlSimulation simulation;
  private final Service service;
  private final SplittableRandom random;
  private final Map<ShardId, Map<String, Integer>> inProgress = new HashMap<>();
  private long sent;

  FakeRequests(ControlSimulation simulation, Service service, SplittableRandom random) {
    this.simulation = simulation;
    this.service = service;
    this.random = random;
  }

  /** Starts sending requests. */
  void start() {
    simulation.events.after(
        random.nextLong(INTERVAL_NANOS),
        () -> {
          simulation.hosts.values().forEach(h -> h.handle(() -> send(h)));
          start();
        });
  }

  /** Returns the number of requests sent so far. */
  long sent() {
    return sent;
  }

  /** Returns the number of requests of the shard in progress or on their way, by target. */
  Map<String, Integer> inProgress(ShardId shard) {
    return inProgress.getOrDefault(shard, Map.of());
  }

  /** Returns the shards with requests in progress or on their way. */
  Iterable<ShardId> busyShards() {
    return inProgress.keySet();
  }

  private void send(FakeHost h) {
    String key = "key-" + random.nextInt(10_000);
    Route route =
        Router.route(simulation.view(h.id), h.clock(simulation.now()), service.name(), key, false);
    if (!(route instanceof Route.ToOwner owner)) {
      return;
    }
    sent++;
    ShardId shard = owner.shard();
    String target = owner.target().id();
    int incarnation = h.incarnation();
    h.requestsInProgress.merge(shard, 1, Integer::sum);
    recordStart(shard, target);
    long durationNanos =
        MIN_DURATION_NANOS + random.nextLong(service.maxDeadline().toNanos() - MIN_DURATION_NANOS);
    simulation.events.after(
        durationNanos,
        () -> {
          recordEnd(shard, target);
          h.handle(
              () -> {
                if (h.incarnation() == incarnation) {
                  h.requestsInProgress.merge(shard, -1, Integer::sum);
                }
              });
        });
  }

  private void recordStart(ShardId shard, String target) {
    inProgress.computeIfAbsent(shard, unused -> new HashMap<>()).merge(target, 1, Integer::sum);
  }

  private void recordEnd(ShardId shard, String target) {
    Map<String, Integer> requestsByTarget = inProgress.get(shard);
    if (requestsByTarget != null) {
      requestsByTarget.computeIfPresent(target, (unused, n) -> n == 1 ? null : n - 1);
      if (requestsByTarget.isEmpty()) {
        inProgress.remove(shard);
      }
    }
  }
}
