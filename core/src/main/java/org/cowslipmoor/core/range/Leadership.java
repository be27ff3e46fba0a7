package org.cowslipmoor.core.range;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Decides when this host claims the coordination, renews its lease or gives it up. Does no I/O and
 * reads no clock; times are nanoseconds of one monotonic clock. Not thread-safe.
 *
 * <p>A lease counts from before the call that renewed it was sent, and ends a margin earlier here
 * than in the store, so that two hosts never act as coordinator at the same time.
 */
public final class Leadership {
  private static final long MS = 1_000_000L;

  /** Part of the lease that is left unused, for clock rates and the time until a send. */
  private static final double MARGIN = 0.1;

  /** Renewals per lease. */
  private static final int RENEWALS = 4;

  /** Longest random wait before a claim, so that few hosts claim at the same time. */
  private static final long CLAIM_SPREAD = 300 * MS;

  private static final long CLAIM_RETRY = 500 * MS;

  /** Renewals in a row that succeed too late to be trusted, after which the lease is given up. */
  private static final int MOST_LATE_RENEWALS = 3;

  /** Least time without a claim after that, so that a faster host comes first. */
  private static final long LATE_PAUSE = 3_000 * MS;

  private final long ttl;
  private final RandomGenerator random;
  private boolean vacant;
  private boolean resigned;
  private boolean callInFlight;
  private boolean isCallOutdated;
  private @Nullable Lease lease;
  private long claimAt;
  private long nextCallAt;
  private boolean isRenewed;
  private int lateRenewals;
  private long renewedAt;
  private long until;

  /**
   * The store's lease under which this host coordinates.
   *
   * @param id the store's number of the lease
   * @param term the store's number of the claim; larger than that of every earlier claim
   */
  public record Lease(long id, long term) {}

  /** A call to the store. */
  public sealed interface Action {
    /** Claim the coordination. */
    record Claim() implements Action {}

    /** Renew the lease. */
    record Renew(Lease lease) implements Action {}

    /** End the lease, so that another host can claim at once. */
    record End(Lease lease) implements Action {}
  }

  private Leadership(long ttl, RandomGenerator random) {
    this.ttl = ttl;
    this.random = random;
  }

  /**
   * Creates the state of a host that does not coordinate.
   *
   * @param ttlMillis duration of the lease in milliseconds, at least 1
   * @param random spreads claims
   */
  public static Leadership create(long ttlMillis, RandomGenerator random) {
    checkArgument(ttlMillis >= 1, "ttl must be at least 1 ms, but is %s", ttlMillis);
    return new Leadership(ttlMillis * MS, random);
  }

  /**
   * Takes what the store says: whether any host coordinates.
   *
   * @param handicap time by which this host lets others claim first, in nanoseconds, at least 0
   */
  public void onVacancy(long now, boolean isVacant, long handicap) {
    if (isVacant && !vacant) {
      claimAt = now + handicap + random.nextLong(CLAIM_SPREAD);
    }
    vacant = isVacant;
  }

  /** Returns the call that is due; its outcome must be reported. */
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
        lateRenewals = leads(now) ? 0 : lateRenewals + 1;
        isRenewed = false;
      }
      if (lateRenewals >= MOST_LATE_RENEWALS) {
        onLeaseLost(now);
        claimAt = now + LATE_PAUSE + random.nextLong(CLAIM_SPREAD);
        return Optional.of(new Action.End(held));
      }
      nextCallAt = now + ttl / RENEWALS;
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
    isCallOutdated = false;
  }

  /**
   * Takes a claim's success; returns the call that ends the lease, if the coordination was given up
   * meanwhile.
   *
   * @param sentAt when the claim's first call was sent
   */
  public Optional<Action> onClaimed(long sentAt, Lease newLease) {
    callInFlight = false;
    vacant = false;
    if (resigned) {
      return Optional.of(new Action.End(newLease));
    }
    lease = newLease;
    renew(sentAt);
    return Optional.empty();
  }

  /** Takes a claim's failure, or that its outcome is unknown. */
  public void onClaimFailed(long now) {
    callInFlight = false;
    claimAt = now + CLAIM_RETRY + random.nextLong(CLAIM_SPREAD);
  }

  /** Takes a renewal's success; {@code sentAt} is when it was sent. */
  public void onRenewed(long sentAt) {
    callInFlight = false;
    if (lease != null) {
      renew(sentAt);
    }
  }

  /** Takes a renewal that got no answer. */
  public void onRenewalUnknown() {
    callInFlight = false;
  }

  /** Takes the news that the lease has ended. */
  public void onLeaseLost(long now) {
    callInFlight = false;
    lease = null;
    lateRenewals = 0;
    claimAt = now + random.nextLong(CLAIM_SPREAD);
  }

  /** Takes the news that this process stood still, so that its lease may have ended unnoticed. */
  public void onSuspended(long now) {
    until = now;
    nextCallAt = now;
    // The clock has not counted the suspension, so the call's lease may have run out before its
    // answer is read.
    isCallOutdated = callInFlight;
  }

  /** Gives the coordination up for good; returns the call that ends the lease, if one is held. */
  public Optional<Action> resign() {
    resigned = true;
    Lease held = lease;
    lease = null;
    return held == null ? Optional.empty() : Optional.of(new Action.End(held));
  }

  /** Tells whether this host may act as coordinator now. */
  public boolean leads(long now) {
    return lease != null && now - until < 0;
  }

  /** Tells whether the lease was renewed lately. */
  public boolean isRecentlyRenewed(long now) {
    return leads(now) && now - renewedAt < ttl / 2;
  }

  /** Returns the nanoseconds since the last renewal that succeeded was sent. */
  public long nanosSinceRenewal(long now) {
    return now - renewedAt;
  }

  /** Returns the lease; null when this host holds none. */
  public @Nullable Lease lease() {
    return lease;
  }

  private void renew(long sentAt) {
    if (isCallOutdated) {
      return;
    }
    isRenewed = true;
    renewedAt = sentAt;
    until = sentAt + (long) (ttl * (1 - MARGIN));
    nextCallAt = sentAt + ttl / RENEWALS;
  }
}
