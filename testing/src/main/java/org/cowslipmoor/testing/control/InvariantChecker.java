package org.cowslipmoor.testing.control;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.cowslipmoor.core.ownership.ShardEntry;
import org.cowslipmoor.core.ownership.ShardId;

/**
 * Checks the invariants after each event, and measures how long shards go unserved.
 *
 * <ul>
 *   <li>single owner, for targets that check grants: no two of them hold a valid grant of a shard
 *       at the same time;
 *   <li>single owner, for targets that check no grants: no two of them process a shard's requests
 *       at the same time;
 *   <li>no reuse of fences: each fence of a shard belongs to one target only;
 *   <li>monotonic state: the versions of a running host's configuration and ownership table and of
 *       the store's accepted table never decrease.
 * </ul>
 */
public final class InvariantChecker {
  private static final int MAX_VIOLATIONS = 20;

  private final ControlSimulation simulation;
  private final List<String> violations = new ArrayList<>();
  private final Map<ShardId, Map<Fence, String>> fences = new HashMap<>();
  private final Map<String, Long> storedVersions = new HashMap<>();
  private final Map<ShardId, Long> unservedSince = new HashMap<>();
  private final Map<ShardId, Long> longestUnserved = new LinkedHashMap<>();
  private final Map<ShardId, String> lastOwner = new HashMap<>();
  private long lastTime;
  private double unservedShardSeconds;
  private int reassignments;
  private long acceptedRevision;

  InvariantChecker(ControlSimulation simulation) {
    this.simulation = simulation;
  }

  /** Returns a message for each violation, at most the first 20; empty when there was none. */
  public ImmutableList<String> violations() {
    return ImmutableList.copyOf(violations);
  }

  /** Resets the measurements of unserved shards and of reassignments. */
  public void resetMeasurements() {
    longestUnserved.clear();
    unservedSince.clear();
    unservedShardSeconds = 0;
    reassignments = 0;
  }

  /** Returns the longest time in nanoseconds for which each affected shard went unserved. */
  public Map<ShardId, Long> longestUnserved() {
    unservedSince.forEach(
        (shard, since) -> longestUnserved.merge(shard, simulation.now() - since, Math::max));
    return longestUnserved;
  }

  /** Returns the shard-seconds for which shards went unserved. */
  public double unservedShardSeconds() {
    return unservedShardSeconds;
  }

  /** Returns how often a shard began to be served by a target other than its last one. */
  public int reassignments() {
    return reassignments;
  }

  /** Returns the number of shards that a running target serves at present. */
  public int served() {
    return fences.size() - unservedSince.size();
  }

  /** Returns the number of shards that have had an owner and that no target serves at present. */
  public int unserved() {
    return unservedSince.size();
  }

  void onAccepted(Configuration configuration) {
    acceptedRevision = Math.max(acceptedRevision, configuration.revision());
  }

  /** Returns the newest revision that the store accepted during the run. */
  public long acceptedRevision() {
    return acceptedRevision;
  }

  void check() {
    checkOwners();
    checkRequests();
    checkHosts();
    checkStore();
  }

  private void checkOwners() {
    Map<ShardId, String> owners = new HashMap<>();
    for (FakeTarget t : simulation.targets.values()) {
      if (!t.isUp()) {
        continue;
      }
      for (ShardId shard : t.grants.served(t.clock(simulation.now()))) {
        String other = owners.putIfAbsent(shard, t.id);
        if (other != null && simulation.checksGrants(shard.service())) {
          report(shard + " is served by " + other + " and " + t.id);
        }
      }
    }
    measure(owners);
  }

  private void checkRequests() {
    FakeRequests requests = simulation.requests();
    if (requests == null) {
      return;
    }
    for (ShardId shard : requests.busyShards()) {
      if (requests.inProgress(shard).size() > 1) {
        report(shard + " has requests in progress at " + requests.inProgress(shard).keySet());
      }
    }
  }

  private void measure(Map<ShardId, String> owners) {
    long now = simulation.now();
    unservedShardSeconds += unservedSince.size() * (now - lastTime) / 1e9;
    lastTime = now;
    for (ShardId shard : fences.keySet()) {
      String owner = owners.get(shard);
      boolean served = owner != null && simulation.isRunning(owner);
      if (!served) {
        unservedSince.putIfAbsent(shard, now);
      } else {
        Long since = unservedSince.remove(shard);
        if (since != null) {
          longestUnserved.merge(shard, now - since, Math::max);
        }
        String previous = lastOwner.put(shard, owner);
        reassignments += previous != null && !previous.equals(owner) ? 1 : 0;
      }
    }
  }

  private void checkHosts() {
    for (FakeHost h : simulation.hosts.values()) {
      OwnershipTable table = h.controller.table();
      Configuration configuration = h.controller.configuration();
      long version = table == null ? 0 : table.version();
      long revision = configuration == null ? 0 : configuration.revision();
      if (version < h.highestVersion) {
        report(h.id + " reverted from table " + h.highestVersion + " to " + version);
      }
      if (revision < h.highestRevision) {
        report(h.id + " reverted from revision " + h.highestRevision + " to " + revision);
      }
      if (version > h.highestVersion && table != null) {
        simulation.note(h.id + " installed table " + version + " of epoch " + table.epoch());
        checkFences(table);
      }
      h.highestVersion = version;
      h.highestRevision = revision;
    }
  }

  private void checkFences(OwnershipTable table) {
    for (ShardEntry e : table.entries().values()) {
      String owner = e.owner();
      if (owner == null) {
        continue;
      }
      String other =
          fences
              .computeIfAbsent(e.shard(), unused -> new HashMap<>())
              .putIfAbsent(e.fence(), owner);
      if (other != null && !other.equals(owner)) {
        report(
            e.fence()
                + " of "
                + e.shard()
                + " belonged to "
                + other
                + " and now belongs to "
                + owner);
      }
    }
  }

  private void checkStore() {
    for (FakeHost h : simulation.hosts.values()) {
      OwnershipTable stored = simulation.store().table(h.dataCentre);
      long version = stored == null ? 0 : stored.version();
      Long previous = storedVersions.put(h.dataCentre, version);
      if (previous != null && previous > version) {
        report("the store's table of " + h.dataCentre + " reverted to version " + version);
      }
    }
  }

  private void report(String violation) {
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add("at " + simulation.now() / 1_000_000 + " ms: " + violation);
    }
  }
}
