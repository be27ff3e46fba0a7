package org.cowslipmoor.testing.target;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.cowslipmoor.core.control.Renewal;
import org.cowslipmoor.core.control.RenewalResponse;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.ShardId;

/**
 * Keeps the grants of one run of a target. A grant lapses the given time after the token that its
 * renewal carries was issued, so that a renewal that was under way for long prolongs nothing. Not
 * thread-safe; times are nanoseconds on the target's clock.
 */
public final class GrantBook {
  private static final char TOKEN_SEPARATOR = ':';

  private final String run;
  private final Map<ShardId, Grant> grants = new HashMap<>();
  private final Map<GrantKey, Work> works = new HashMap<>();
  private long version;
  private long epoch;

  private record Grant(Fence fence, long until) {
    boolean holds(Fence asked, long now) {
      return fence.equals(asked) && now < until;
    }
  }

  private record GrantKey(ShardId shard, Fence fence) {}

  /**
   * Creates an empty book.
   *
   * @param run names this run of the target; tokens of other runs are refused
   */
  public GrantBook(String run) {
    this.run = run;
  }

  /** Takes a renewal; one of version 0 changes nothing and only reads a token. */
  public RenewalResponse.Received renew(Renewal r, long now) {
    if (r.version() == 0) {
      return answer(true, now, ImmutableMap.of());
    }
    OptionalLong issued = issuedAt(r.token());
    boolean current = r.version() >= version && r.epoch() >= epoch;
    if (issued.isEmpty() || !current || issued.getAsLong() + r.durationNanos() <= now) {
      return answer(false, now, ImmutableMap.of());
    }
    version = r.version();
    epoch = r.epoch();
    long until = issued.getAsLong() + r.durationNanos();
    replaceGrants(r, until);
    works.forEach((key, work) -> work.renew(isCovered(key, r), until, now));
    return answer(true, now, finishedReleases(r, now));
  }

  /** Tells whether a grant with exactly this fence holds. */
  public boolean serves(ShardId shard, Fence fence, long now) {
    Grant g = grants.get(shard);
    return g != null && g.holds(fence, now);
  }

  /** Returns the shards whose grants hold. */
  public ImmutableSet<ShardId> served(long now) {
    ImmutableSet.Builder<ShardId> result = ImmutableSet.builder();
    grants.forEach(
        (shard, g) -> {
          if (now < g.until()) {
            result.add(shard);
          }
        });
    return result.build();
  }

  /** Begins work on a request; returns whether a grant with exactly this fence covers it. */
  public boolean begin(ShardId shard, Fence fence, long now) {
    Grant g = grants.get(shard);
    if (g == null || !g.holds(fence, now)) {
      return false;
    }
    long until = g.until();
    Work work = works.computeIfAbsent(new GrantKey(shard, fence), unused -> new Work(until));
    work.requests++;
    work.until = Math.max(work.until, until);
    return true;
  }

  /**
   * Ends work on a request that {@link #begin} took.
   *
   * @return the time up to which the work was covered; one that is not after {@code now} means that
   *     the work outlived its grant
   * @throws IllegalStateException if no such work is in progress
   */
  public long end(ShardId shard, Fence fence) {
    GrantKey key = new GrantKey(shard, fence);
    Work work = works.get(key);
    if (work == null) {
      throw new IllegalStateException("no work in progress for " + key);
    }
    work.requests--;
    if (work.requests == 0) {
      works.remove(key);
    }
    return work.until;
  }

  private void replaceGrants(Renewal r, long until) {
    Map<ShardId, Grant> renewed = new HashMap<>();
    r.grants()
        .forEach(
            (shard, fence) -> {
              Grant g = grants.get(shard);
              long before = g != null && g.fence().equals(fence) ? g.until() : until;
              renewed.put(shard, new Grant(fence, Math.max(before, until)));
            });
    grants.clear();
    grants.putAll(renewed);
  }

  /** Tells whether work may go on: its grant is renewed, or is released once the work is done. */
  private static boolean isCovered(GrantKey key, Renewal r) {
    Fence release = r.releases().get(key.shard());
    boolean finishing = release != null && key.fence().compareTo(release) <= 0;
    return finishing || key.fence().equals(r.grants().get(key.shard()));
  }

  private ImmutableMap<ShardId, Fence> finishedReleases(Renewal r, long now) {
    ImmutableMap.Builder<ShardId, Fence> result = ImmutableMap.builder();
    r.releases()
        .forEach(
            (shard, fence) -> {
              if (!isBusy(shard, now)) {
                result.put(shard, fence);
              }
            });
    return result.buildOrThrow();
  }

  private boolean isBusy(ShardId shard, long now) {
    return works.entrySet().stream()
        .anyMatch(w -> w.getKey().shard().equals(shard) && now < w.getValue().until);
  }

  private OptionalLong issuedAt(String token) {
    String prefix = run + TOKEN_SEPARATOR;
    if (!token.startsWith(prefix)) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(token.substring(prefix.length())));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private RenewalResponse.Received answer(
      boolean accepted, long now, ImmutableMap<ShardId, Fence> released) {
    return new RenewalResponse.Received(accepted, run + TOKEN_SEPARATOR + now, released);
  }

  /** The requests in progress under one grant. */
  private static final class Work {
    int requests;
    long until;

    Work(long until) {
      this.until = until;
    }

    void renew(boolean covered, long renewedUntil, long now) {
      if (now < until) {
        until = covered ? Math.max(until, renewedUntil) : now;
      }
    }
  }
}
