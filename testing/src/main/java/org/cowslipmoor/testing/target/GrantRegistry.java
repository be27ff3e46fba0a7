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
 * Holds the grants of one incarnation of a target. A grant expires a given duration after the token
 * in its renewal was issued, so that a renewal that was delayed on the way does not extend the
 * grant. Not thread-safe; times are nanoseconds of the target's clock.
 */
public final class GrantRegistry {
  private static final char TOKEN_SEPARATOR = ':';

  private final String incarnation;
  private final Map<ShardId, Grant> grants = new HashMap<>();
  private final Map<GrantKey, Work> workInProgress = new HashMap<>();
  private long version;
  private long epoch;

  private record Grant(Fence fence, long validUntil) {
    boolean isValidFor(Fence requested, long now) {
      return fence.equals(requested) && now < validUntil;
    }
  }

  private record GrantKey(ShardId shard, Fence fence) {}

  /**
   * Creates an empty registry.
   *
   * @param incarnation id of this incarnation of the target; tokens of others are rejected
   */
  public GrantRegistry(String incarnation) {
    this.incarnation = incarnation;
  }

  /**
   * Processes a renewal. One of version 0 changes nothing and only returns a token.
   *
   * @return a response that rejects the renewal if its token is of another incarnation, if its
   *     version or epoch is lower than that of an earlier one, or if its grants would have expired
   *     already
   */
  public RenewalResponse.Received renew(Renewal r, long now) {
    if (r.version() == 0) {
      return respond(true, now, ImmutableMap.of());
    }
    OptionalLong issued = issuedAt(r.token());
    boolean current = r.version() >= version && r.epoch() >= epoch;
    if (issued.isEmpty() || !current || issued.getAsLong() + r.durationNanos() <= now) {
      return respond(false, now, ImmutableMap.of());
    }
    version = r.version();
    epoch = r.epoch();
    long validUntil = issued.getAsLong() + r.durationNanos();
    replaceGrants(r, validUntil);
    workInProgress.forEach((key, work) -> work.renew(isCovered(key, r), validUntil, now));
    return respond(true, now, finishedReleases(r, now));
  }

  /** Returns whether a grant with exactly this fence is valid. */
  public boolean serves(ShardId shard, Fence fence, long now) {
    Grant g = grants.get(shard);
    return g != null && g.isValidFor(fence, now);
  }

  /** Returns the shards whose grants are valid. */
  public ImmutableSet<ShardId> served(long now) {
    ImmutableSet.Builder<ShardId> result = ImmutableSet.builder();
    grants.forEach(
        (shard, g) -> {
          if (now < g.validUntil()) {
            result.add(shard);
          }
        });
    return result.build();
  }

  /** Begins work on a request; returns whether a grant with exactly this fence covers it. */
  public boolean begin(ShardId shard, Fence fence, long now) {
    Grant g = grants.get(shard);
    if (g == null || !g.isValidFor(fence, now)) {
      return false;
    }
    long validUntil = g.validUntil();
    Work work =
        workInProgress.computeIfAbsent(new GrantKey(shard, fence), unused -> new Work(validUntil));
    work.requests++;
    work.validUntil = Math.max(work.validUntil, validUntil);
    return true;
  }

  /**
   * Ends work on a request that {@link #begin} accepted.
   *
   * @return the time up to which a grant covered the work; if it is not after the present time, the
   *     work took longer than its grant
   * @throws IllegalStateException if no such work is in progress
   */
  public long end(ShardId shard, Fence fence) {
    GrantKey key = new GrantKey(shard, fence);
    Work work = workInProgress.get(key);
    if (work == null) {
      throw new IllegalStateException("no request is in progress for " + key);
    }
    work.requests--;
    if (work.requests == 0) {
      workInProgress.remove(key);
    }
    return work.validUntil;
  }

  private void replaceGrants(Renewal r, long validUntil) {
    Map<ShardId, Grant> renewed = new HashMap<>();
    r.grants()
        .forEach(
            (shard, fence) -> {
              Grant g = grants.get(shard);
              long before = g != null && g.fence().equals(fence) ? g.validUntil() : validUntil;
              renewed.put(shard, new Grant(fence, Math.max(before, validUntil)));
            });
    grants.clear();
    grants.putAll(renewed);
  }

  /** Returns whether work may go on: its grant is renewed, or is to be released after the work. */
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
    return workInProgress.entrySet().stream()
        .anyMatch(w -> w.getKey().shard().equals(shard) && now < w.getValue().validUntil);
  }

  private OptionalLong issuedAt(String token) {
    String prefix = incarnation + TOKEN_SEPARATOR;
    if (!token.startsWith(prefix)) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(token.substring(prefix.length())));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private RenewalResponse.Received respond(
      boolean accepted, long now, ImmutableMap<ShardId, Fence> released) {
    return new RenewalResponse.Received(accepted, incarnation + TOKEN_SEPARATOR + now, released);
  }

  /** The requests in progress under one grant. */
  private static final class Work {
    int requests;
    long validUntil;

    Work(long validUntil) {
      this.validUntil = validUntil;
    }

    void renew(boolean covered, long renewedValidUntil, long now) {
      if (now < validUntil) {
        validUntil = covered ? Math.max(validUntil, renewedValidUntil) : now;
      }
    }
  }
}
