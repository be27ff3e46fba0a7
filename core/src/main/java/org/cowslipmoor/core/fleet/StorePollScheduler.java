package org.cowslipmoor.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides when a host polls the shared store for updates, and bounds the age of the state that the
 * host caches. Does no I/O; times are nanoseconds of the host's clock. Not thread-safe.
 *
 * <p>The age of a relayed update counts from the time at which the relaying host confirmed the
 * store's state, not from the update's arrival: frames that queue for seconds on their way arrive
 * as regularly as others. While relayed updates are recent enough, the host doesn't poll the store.
 */
public final class StorePollScheduler {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Age of the cached state that a polling host aims not to exceed. */
  private static final long INTENDED_AGE_NANOS = 500 * NANOS_PER_MILLI;

  /** Time beyond a poll's hold time after which the poll times out. */
  private static final long TIMEOUT_MARGIN_NANOS = 400 * NANOS_PER_MILLI;

  /**
   * Age of the cached state from which on all items are read instead of the changes. Targets renew
   * their entries about once a second; the history of a few seconds is longer than the items, the
   * longer the larger the fleet is, and takes a small host's link longer than a poll may last.
   */
  private static final long MAX_WATCH_AGE_NANOS = 3_000 * NANOS_PER_MILLI;

  /** Delay after a response with updates, so that one poll returns changes in quick succession. */
  private static final long BATCH_DELAY_NANOS = 40 * NANOS_PER_MILLI;

  /** Shortest delay after the first failed poll. */
  private static final long INITIAL_RETRY_DELAY_NANOS = 150 * NANOS_PER_MILLI;

  /** Limit on doublings of the retry delay; every call is charged, also a rejected one. */
  private static final int MAX_RETRY_DOUBLINGS = 2;

  private final RandomGenerator random;
  private long maxAgeNanos;
  private boolean relayAvailable;
  private long relayedAt;
  private long confirmedAt;
  private long nextPollAt;
  private int failures;
  private long lastNumber;
  private boolean inFlight;
  private boolean wasRelayed;

  /**
   * A long poll that asks the store for changes.
   *
   * @param number sequence number of the poll on this host
   * @param sentAt when the poll is sent
   * @param holdNanos time for which the store may hold its response back while there are no
   *     changes, in nanoseconds
   * @param timeoutNanos time after which the poll times out, in nanoseconds
   * @param readsAll whether to read all items at once instead of waiting for changes
   */
  public record Poll(
      long number, long sentAt, long holdNanos, long timeoutNanos, boolean readsAll) {}

  private StorePollScheduler(long maxAgeNanos, RandomGenerator random, long now) {
    this.maxAgeNanos = maxAgeNanos;
    this.random = random;
    this.confirmedAt = now - maxAgeNanos;
    this.relayedAt = now - maxAgeNanos;
    this.nextPollAt = now;
  }

  /**
   * Creates the scheduler of a host that has read nothing from the store.
   *
   * @param maxAgeNanos age from which on relayed updates are not relied on, above 0
   */
  public static StorePollScheduler create(long maxAgeNanos, RandomGenerator random, long now) {
    checkArgument(maxAgeNanos > 0, "maxAgeNanos must be above 0, but is %s", maxAgeNanos);
    return new StorePollScheduler(maxAgeNanos, random, now);
  }

  /** Sets the age from which on relayed updates are not relied on, above 0. */
  public void onMaxAge(long nanos) {
    checkArgument(nanos > 0, "nanos must be above 0, but is %s", nanos);
    maxAgeNanos = nanos;
  }

  /** Records whether another host announces that it relays store updates. */
  public void onRelayAvailable(boolean isAvailable) {
    relayAvailable = isAvailable;
  }

  /**
   * Records that this host has all changes up to the state that the relaying host confirmed at the
   * given time.
   */
  public void onRelayedUpdate(long at) {
    relayedAt = Math.max(relayedAt, at);
    confirmedAt = Math.max(confirmedAt, at);
  }

  /** Returns whether this host relies on another one for store updates. */
  public boolean isRelayed(long now) {
    return relayAvailable && now - relayedAt < maxAgeNanos;
  }

  /** Returns an upper bound of the age of the cached state. */
  public long age(long now) {
    return now - confirmedAt;
  }

  /** Returns whether the cached state is recent enough for other hosts to rely on. */
  public boolean isCurrent(long now) {
    return age(now) < maxAgeNanos;
  }

  /** Returns the time up to which the cached state is confirmed. */
  public long confirmedAt() {
    return confirmedAt;
  }

  /** Returns the poll that is due, if any; its outcome must be reported. */
  public Optional<Poll> nextPoll(long now) {
    boolean relayed = isRelayed(now);
    if (wasRelayed && !relayed) {
      // An earlier poll may never complete, and a retry delay dates from when no poll was needed.
      inFlight = false;
      nextPollAt = now;
    }
    wasRelayed = relayed;
    if (relayed || inFlight || now - nextPollAt < 0) {
      return Optional.empty();
    }
    inFlight = true;
    lastNumber++;
    long holdNanos = Math.max(NANOS_PER_MILLI, INTENDED_AGE_NANOS - Math.max(0, age(now)));
    return Optional.of(
        new Poll(
            lastNumber,
            now,
            holdNanos,
            holdNanos + TIMEOUT_MARGIN_NANOS,
            age(now) > MAX_WATCH_AGE_NANOS));
  }

  /**
   * Records a response.
   *
   * @param hasUpdates whether it contained changes
   */
  public void onResponse(Poll poll, boolean hasUpdates, long now) {
    boolean wasHeld = !hasUpdates && now - poll.sentAt() >= poll.holdNanos();
    confirmedAt = Math.max(confirmedAt, wasHeld ? poll.sentAt() + poll.holdNanos() : poll.sentAt());
    if (poll.number() == lastNumber) {
      inFlight = false;
      failures = 0;
      nextPollAt = wasHeld ? now : now + BATCH_DELAY_NANOS;
    }
  }

  /** Records that the store's whole state was read, with the first request sent at a time. */
  public void onLoaded(long sentAt, long now) {
    confirmedAt = Math.max(confirmedAt, sentAt);
    inFlight = false;
    failures = 0;
    nextPollAt = now;
  }

  /** Records that a poll failed, or that its response can't be decoded. */
  public void onFailure(Poll poll, long now) {
    if (poll.number() == lastNumber) {
      inFlight = false;
      nextPollAt = now + nextRetryDelayNanos();
    }
  }

  /** Counts a failed call and returns the delay before its retry, with random jitter. */
  public long nextRetryDelayNanos() {
    long base = INITIAL_RETRY_DELAY_NANOS << Math.min(MAX_RETRY_DOUBLINGS, failures);
    failures++;
    return base + random.nextLong(base);
  }
}
