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
 * Checks after each event what must always hold, and measures how long shards go unserved.
 *
 * <ul>
 *   <li>one owner, for targets that check grants: no two of them may serve a shard at the same
 *       time;
 *   <li>one owner, for targets that check no grants: no two of them work on a shard's requests at
 *       the same time;
 *   <li>no reuse: a fence of a shard belongs to one target only;
 *   <li>no reverting: a running host's configuration and ownership table never go back, and the
 *       store's accepted table never loses a version.
 * </ul>
 */
public final class InvariantChecker {
  private static final int MOST_VIOLATIONS = 20;

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
  private long accepted;

  InvariantChecker(ControlSimulation simulation) {
    this.simulation = simulation;
  }

  /** Returns what was violated; empty when everything held. */
  public ImmutableList<String> violations() {
    return ImmutableList.copyOf(violations);
  }

  /** Forgets the times for which shards went unserved so far. */
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

  /** Returns how often a shard came to be served by another target than before. */
  public int reassignments() {
    return reassignments;
  }

  /** Returns the number of shards that a running target serves at present. */
  public int served() {
    return fences.size() - unservedSince.size();
  }

  /** Returns the number of shards that have had an owner and that nobody serves at present. */
  public int unserved() {
    return unservedSince.size();
  }

  void onAccepted(Configuration configuration) {
    accepted = Math.max(accepted, configuration.revision());
  }

  /** Returns the newest revision that the store accepted during the run. */
  public long accepted() {
    return accepted;
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
      for (ShardId shard : t.book.served(t.clock(simulation.now()))) {
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
      if (requests.atWork(shard).size() > 1) {
        report(shard + " is worked on by " + requests.atWork(shard).keySet());
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
        String before = lastOwner.put(shard, owner);
        reassignments += before != null && !before.equals(owner) ? 1 : 0;
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
        report(h.id + " went back from table " + h.highestVersion + " to " + version);
      }
      if (revision < h.highestRevision) {
        report(h.id + " went back from revision " + h.highestRevision + " to " + revision);
      }
      if (version > h.highestVersion && table != null) {
        simulation.note(h.id + " installs table " + version + " of epoch " + table.epoch());
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
        report(e.fence() + " of " + e.shard() + " was of " + other + ", now of " + owner);
      }
    }
  }

  private void checkStore() {
    for (FakeHost h : simulation.hosts.values()) {
      OwnershipTable stored = simulation.store().table(h.dataCentre);
      long version = stored == null ? 0 : stored.version();
      Long before = storedVersions.put(h.dataCentre, version);
      if (before != null && before > version) {
        report("the store's table of " + h.dataCentre + " went back to " + version);
      }
    }
  }

  private void report(String violation) {
    if (violations.size() < MOST_VIOLATIONS) {
      violations.add("at " + simulation.now() / 1_000_000 + " ms: " + violation);
    }
  }
}
