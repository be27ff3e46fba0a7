package org.cowslipmoor.core.range;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cowslipmoor.core.fleet.StorePlace;
import org.jspecify.annotations.Nullable;

/**
 * Decides when this host claims the coordinator's role, renews its lease or gives it up. A pure
 * state machine: it does no I/O and reads no clock. Times are nanoseconds of one monotonic clock.
 * Not thread-safe.
 *
 * <p>The duration of a lease is counted from before the renewing call was sent, and the lease ends
 * earlier here than in the store by a margin, so that two hosts never act as coordinator at the
 * same time.
 */
public final class Leadership {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Fraction of the lease that is left unused, to allow for clock drift and for the time from a
   * decision to its sending.
   */
  private static final double SAFETY_MARGIN = 0.1;

  /** Number of renewals in the duration of a lease. */
  private static final int RENEWALS_PER_LEASE = 4;

  /** Maximum random delay before a claim, so that few hosts claim at the same time. */
  private static final long MAX_CLAIM_DELAY_NANOS = 300 * NANOS_PER_MILLI;

  private static final long CLAIM_RETRY_NANOS = 500 * NANOS_PER_MILLI;

  /**
   * Number of consecutive renewals that succeed only after the lease has ended here, at which the
   * lease is given up.
   */
  private static final int MAX_LATE_RENEWALS = 3;

  /**
   * Minimum time without a claim after the lease was given up for late renewals, so that a faster
   * host claims first.
   */
  private static final long LATE_RENEWAL_PAUSE_NANOS = 3_000 * NANOS_PER_MILLI;

  private final long ttlNanos;
  private final RandomGenerator random;
  private boolean vacant;
  private boolean resigned;
  private boolean callInFlight;
  private boolean wasSuspendedDuringCall;
  private @Nullable Lease lease;
  private long claimAt;
  private long nextCallAt;
  private boolean isRenewed;
  private int consecutiveLateRenewals;
  private long renewedAt;
  private long validUntil;

  /**
   * The store's lease under which this host is coordinator.
   *
   * @param id the store's id of the lease
   * @param term the leadership term: the place of the claim in the store, later than that of every
   *     earlier claim
   */
  public record Lease(long id, StorePlace term) {}

  /** A call to the store that is to be made. */
  public sealed interface Action {
    /** Claims the coordinator's role. */
    record Claim() implements Action {}

    /** Renews the lease. */
    record Renew(Lease lease) implements Action {}

    /** Ends the lease, so that another host can claim the role at once. */
    record End(Lease lease) implements Action {}
  }

  private Leadership(long ttlNanos, RandomGenerator random) {
    this.ttlNanos = ttlNanos;
    this.random = random;
  }

  /**
   * Creates the state of a host that is not coordinator.
   *
   * @param ttlMillis duration of the lease in milliseconds, at least 1
   * @param random source of the random delays before claims
   */
  public static Leadership create(long ttlMillis, RandomGenerator random) {
    checkArgument(ttlMillis >= 1, "ttlMillis must be at least 1, but is %s", ttlMillis);
    return new Leadership(ttlMillis * NANOS_PER_MILLI, random);
  }

  /**
   * Handles the store's report on whether the coordinator's role is vacant.
   *
   * @param claimDelayNanos nanoseconds by which this host delays its claim to let other hosts claim
   *     first, at least 0
   */
  public void onVacancy(long now, boolean isVacant, long claimDelayNanos) {
    if (isVacant && !vacant) {
      claimAt = now + claimDelayNanos + random.nextLong(MAX_CLAIM_DELAY_NANOS);
    }
    vacant = isVacant;
  }

  /** Returns the call that is due, if any. The caller must report the call's outcome. */
  public Optional<Action> tick(long now) {
    if (callInFlight || resigned) {
      return Optional.empty();
    }
    Lease held = lease;
    if (held != null) {
      if (now - nextCallAt < 0) {
        return Optional.empty();
      }
      if (isRenewed) {
        consecutiveLateRenewals = leads(now) ? 0 : consecutiveLateRenewals + 1;
        isRenewed = false;
      }
      if (consecutiveLateRenewals >= MAX_LATE_RENEWALS) {
        onLeaseLost(now);
        claimAt = now + LATE_RENEWAL_PAUSE_NANOS + random.nextLong(MAX_CLAIM_DELAY_NANOS);
        return Optional.of(new Action.End(held));
      }
      nextCallAt = now + ttlNanos / RENEWALS_PER_LEASE;
      beginCall();
      return Optional.of(new Action.Renew(held));
    }
    if (!vacant || now - claimAt < 0) {
      return Optional.empty();
    }
    beginCall();
    return Optional.of(new Action.Claim());
  }

  private void beginCall() {
    callInFlight = true;
    wasSuspendedDuringCall = false;
  }

  /**
   * Handles a successful claim; returns the call that ends the lease if this host has resigned
   * meanwhile.
   *
   * @param sentAt time at which the claim's first call was sent
   */
  public Optional<Action> onClaimed(long sentAt, Lease newLease) {
    callInFlight = false;
    vacant = false;
    if (resigned) {
      return Optional.of(new Action.End(newLease));
    }
    lease = newLease;
    extendLease(sentAt);
    return Optional.empty();
  }

  /** Handles a claim that failed or whose outcome is unknown. */
  public void onClaimFailed(long now) {
    callInFlight = false;
    claimAt = now + CLAIM_RETRY_NANOS + random.nextLong(MAX_CLAIM_DELAY_NANOS);
  }

  /** Handles a successful renewal that was sent at {@code sentAt}. */
  public void onRenewed(long sentAt) {
    callInFlight = false;
    if (lease != null) {
      extendLease(sentAt);
    }
  }

  /** Handles a renewal that got no response. */
  public void onRenewalUnknown() {
    callInFlight = false;
  }

  /** Handles the end of the lease in the store. */
  public void onLeaseLost(long now) {
    callInFlight = false;
    lease = null;
    consecutiveLateRenewals = 0;
    claimAt = now + random.nextLong(MAX_CLAIM_DELAY_NANOS);
  }

  /** Handles a suspension of this process, during which its lease may have ended. */
  public void onSuspended(long now) {
    validUntil = now;
    nextCallAt = now;
    // The clock doesn't advance during a suspension, so a lease that the call in flight obtains may
    // have expired by the time its response is read.
    wasSuspendedDuringCall = callInFlight;
  }

  /**
   * Gives up the coordinator's role for good; returns the call that ends the lease, if one is held.
   */
  public Optional<Action> resign() {
    resigned = true;
    Lease held = lease;
    lease = null;
    return held == null ? Optional.empty() : Optional.of(new Action.End(held));
  }

  /** Returns whether this host may act as coordinator now. */
  public boolean leads(long now) {
    return lease != null && now - validUntil < 0;
  }

  /**
   * Returns whether this host leads and its last successful renewal was sent less than half a lease
   * ago.
   */
  public boolean isRecentlyRenewed(long now) {
    return leads(now) && now - renewedAt < ttlNanos / 2;
  }

  /** Returns the nanoseconds since the last successful renewal was sent. */
  public long nanosSinceRenewal(long now) {
    return now - renewedAt;
  }

  /** Returns the lease; null if this host holds none. */
  public @Nullable Lease lease() {
    return lease;
  }

  private void extendLease(long sentAt) {
    if (wasSuspendedDuringCall) {
      return;
    }
    isRenewed = true;
    renewedAt = sentAt;
    validUntil = sentAt + (long) (ttlNanos * (1 - SAFETY_MARGIN));
    nextCallAt = sentAt + ttlNanos / RENEWALS_PER_LEASE;
  }
}
