package org.cowslipmoor.testing.control;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.cowslipmoor.core.configuration.Service;
import org.cowslipmoor.core.ownership.ShardId;
import org.cowslipmoor.core.request.Route;
import org.cowslipmoor.core.request.Router;

/**
 * Sends requests for random keys from every host and notes which targets work on which shards. A
 * target that does not check grants works on whatever arrives, until the request's deadline at the
 * latest. Not thread-safe.
 *
 * <p>A request takes the network's usual time on its way: one that were delayed beyond its deadline
 * would have been cancelled by its host.
 */
final class FakeRequests {
  private static final long INTERVAL = 20_000_000L;
  private static final long USUAL_DELAY = 2_000_000L;

  private final ControlSimulation simulation;
  private final Service service;
  private final SplittableRandom random;
  private final Map<ShardId, Map<String, Integer>> atWork = new HashMap<>();
  private long sent;

  FakeRequests(ControlSimulation simulation, Service service, SplittableRandom random) {
    this.simulation = simulation;
    this.service = service;
    this.random = random;
  }

  /** Sends requests from now on. */
  void start() {
    simulation.events.after(
        random.nextLong(INTERVAL),
        () -> {
          simulation.hosts.values().forEach(h -> h.handle(() -> send(h)));
          start();
        });
  }

  /** Returns the number of requests sent so far. */
  long sent() {
    return sent;
  }

  /** Returns the targets that work on the shard, or will unless their requests are cancelled. */
  Map<String, Integer> atWork(ShardId shard) {
    return atWork.getOrDefault(shard, Map.of());
  }

  /** Returns the shards that some target works on. */
  Iterable<ShardId> busyShards() {
    return atWork.keySet();
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
    int run = h.run();
    h.busy.merge(shard, 1, Integer::sum);
    begin(shard, target);
    long work = USUAL_DELAY + random.nextLong(service.maxDeadline().toNanos() - USUAL_DELAY);
    simulation.events.after(
        work,
        () -> {
          end(shard, target);
          h.handle(
              () -> {
                if (h.run() == run) {
                  h.busy.merge(shard, -1, Integer::sum);
                }
              });
        });
  }

  private void begin(ShardId shard, String target) {
    atWork.computeIfAbsent(shard, unused -> new HashMap<>()).merge(target, 1, Integer::sum);
  }

  private void end(ShardId shard, String target) {
    Map<String, Integer> targets = atWork.get(shard);
    if (targets != null) {
      targets.computeIfPresent(target, (unused, n) -> n == 1 ? null : n - 1);
      if (targets.isEmpty()) {
        atWork.remove(shard);
      }
    }
  }
}
