package org.cowslipmoor.testing.control;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.cowslipmoor.core.control.HostController;
import org.cowslipmoor.core.control.HostIdentity;
import org.cowslipmoor.core.control.RequestsInProgress;
import org.cowslipmoor.core.control.Timing;
import org.cowslipmoor.core.ownership.ShardId;

/** Runs a host's control logic without its I/O. Not thread-safe. */
final class FakeHost extends FakeNode implements RequestsInProgress {
  final String dataCentre;
  final Map<ShardId, Integer> requestsInProgress = new HashMap<>();
  private final Timing timing;
  private final SplittableRandom random;
  HostController controller;
  long highestVersion;
  long highestRevision;

  FakeHost(String id, String dataCentre, Timing timing, SplittableRandom random, long now) {
    super(id, random);
    this.dataCentre = dataCentre;
    this.timing = timing;
    this.random = random;
    this.controller = create(now);
  }

  void restart(long now) {
    stop();
    startNewIncarnation();
    requestsInProgress.clear();
    highestVersion = 0;
    highestRevision = 0;
    controller = create(now);
  }

  @Override
  public boolean isBusy(ShardId shard) {
    return requestsInProgress.getOrDefault(shard, 0) > 0;
  }

  @Override
  public ImmutableMap<ShardId, Double> loads() {
    return ImmutableMap.of();
  }

  private HostController create(long now) {
    HostIdentity identity = new HostIdentity(id, dataCentre, id + "#" + incarnation());
    return HostController.create(identity, timing, random.split(), clock(now));
  }
}
