package org.cowslipmoor.core.discovery;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides which data centres may receive requests although the operator evacuates them, until when,
 * and how work returns to them.
 *
 * <p>The time of an evacuation counts from when the host last knew that the data centre was not
 * evacuated, since the operator may have requested it right afterwards: the age of the host's state
 * and the time of use must not add up. A data centre that the host knows as evacuated only, as
 * after its start, receives nothing. Not thread-safe; times are nanoseconds.
 */
public final class Evacuations {
  /** Time over which the targets of a data centre return after its evacuation. */
  static final long RETURN_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Share of the limit that is used; the remainder covers the way to the target. */
  private static final double USED_SHARE = 0.8;

  private final Map<String, Evacuation> evacuations = new HashMap<>();
  private final Map<String, Long> returnsBegunAt = new HashMap<>();
  private ImmutableMap<String, Long> inForce = ImmutableMap.of();
  private long limitNanos;
  private boolean isKnown;
  private OptionalLong confirmedAt = OptionalLong.empty();

  /**
   * An evacuation in progress.
   *
   * @param learntAt when the host learnt of it
   * @param clearAt when the host last knew that the data centre was not evacuated; empty if it
   *     never did
   */
  private record Evacuation(long learntAt, OptionalLong clearAt) {}

  private Evacuations() {}

  /** Creates an instance that knows nothing of any data centre; no evacuation is in force. */
  public static Evacuations create() {
    return new Evacuations();
  }

  /**
   * Applies a new maximum time from the request to evacuate a data centre until the last request to
   * a target there; 0 if evacuations are not in force.
   */
  public void onLimit(long nanos) {
    limitNanos = nanos;
    if (nanos == 0) {
      returnsBegunAt.clear();
    }
    updateInForce();
  }

  /** Records that the data centres of the last call of {@link #onEvacuated} were current then. */
  public void onConfirmed(long at) {
    confirmedAt = OptionalLong.of(at);
  }

  /**
   * Records the data centres that are to be evacuated; must be called before that state is recorded
   * as confirmed.
   *
   * @param isComplete whether the store has been read, so that all others are not evacuated
   */
  public void onEvacuated(Set<String> dataCentres, boolean isComplete, long now) {
    for (String dc : dataCentres) {
      if (!evacuations.containsKey(dc)) {
        evacuations.put(dc, new Evacuation(now, isKnown ? confirmedAt : OptionalLong.empty()));
        returnsBegunAt.remove(dc);
      }
    }
    for (String dc : Set.copyOf(evacuations.keySet())) {
      if (!dataCentres.contains(dc)) {
        evacuations.remove(dc);
        if (limitNanos > 0) {
          returnsBegunAt.put(dc, now);
        }
      }
    }
    isKnown |= isComplete;
    updateInForce();
  }

  private void updateInForce() {
    inForce =
        limitNanos == 0
            ? ImmutableMap.of()
            : ImmutableMap.copyOf(Maps.transformValues(evacuations, Evacuation::learntAt));
  }

  /**
   * Returns the evacuated data centres and when this host learnt of it; empty if evacuations are
   * not in force.
   */
  public ImmutableMap<String, Long> inForce() {
    return inForce;
  }

  /** Returns when this host last knew that an evacuated data centre was not, if it ever did. */
  public OptionalLong clearAt(String dataCentre) {
    Evacuation e = limitNanos == 0 ? null : evacuations.get(dataCentre);
    return e == null ? OptionalLong.empty() : e.clearAt();
  }

  /** Returns whether a data centre is evacuated and must not receive any request. */
  public boolean hasPassed(String dataCentre, long now) {
    Evacuation e = limitNanos == 0 ? null : evacuations.get(dataCentre);
    return e != null
        && (e.clearAt().isEmpty()
            || now - e.clearAt().getAsLong() >= (long) (USED_SHARE * limitNanos));
  }

  /** Returns whether {@link #restricted} may change with time alone. */
  public boolean isAnyReturning(long now) {
    returnsBegunAt.values().removeIf(begunAt -> now - begunAt >= RETURN_NANOS);
    return !returnsBegunAt.isEmpty();
  }

  /**
   * Returns the targets that get new requests only if no other target of their service does: those
   * of evacuated data centres, and those that have not returned yet. If a service has no usable
   * target elsewhere, all its targets return at once, since the first one could not bear the load
   * of all.
   *
   * @param directory the registered targets, with those that leave as draining
   */
  public ImmutableSet<TargetIncarnation> restricted(TargetDirectory directory, long now) {
    if (limitNanos == 0 || (evacuations.isEmpty() && !isAnyReturning(now))) {
      return ImmutableSet.of();
    }
    ImmutableSet.Builder<TargetIncarnation> restricted = ImmutableSet.builder();
    Set<String> servicesElsewhere = new HashSet<>();
    for (DiscoveredTarget t : directory.all().values()) {
      if (!t.draining()
          && !evacuations.containsKey(t.dataCentre())
          && !returnsBegunAt.containsKey(t.dataCentre())) {
        servicesElsewhere.add(t.service());
      }
    }
    for (DiscoveredTarget t : directory.all().values()) {
      boolean isEvacuated = evacuations.containsKey(t.dataCentre());
      if (isEvacuated || (servicesElsewhere.contains(t.service()) && !hasReturned(t, now))) {
        restricted.add(t.incarnation());
      }
    }
    return restricted.build();
  }

  private boolean hasReturned(DiscoveredTarget target, long now) {
    Long begunAt = returnsBegunAt.get(target.dataCentre());
    return begunAt == null || now - begunAt >= returnDelayNanos(target.id());
  }

  /** Returns the time after the end of an evacuation at which a target returns, on all hosts. */
  private static long returnDelayNanos(String id) {
    long hash = Hashing.murmur3_128().hashString(id, StandardCharsets.UTF_8).asLong();
    return Math.floorMod(hash, RETURN_NANOS);
  }
}
