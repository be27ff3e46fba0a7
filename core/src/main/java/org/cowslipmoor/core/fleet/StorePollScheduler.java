package org.cowslipmoor.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides when a host asks the shared store for its news, and bounds the age of what the host
 * knows. Does no I/O; times are nanoseconds of the host's clock. Not thread-safe.
 *
 * <p>What another host passes on counts from the time to which that host knew the store's state,
 * not from its arrival: frames that queue for seconds on their way arrive as regularly as others.
 * While that time is recent enough, the host does not ask the store itself.
 */
public final class StorePollScheduler {
  private static final long MS = 1_000_000L;

  /** Age that the calls of a host that asks the store keep to. */
  private static final long AIM = 500 * MS;

  /** Time beyond its wait after which a call is given up. */
  private static final long SLACK = 400 * MS;

  /** Pause after an early answer, so that changes in quick succession come with one call. */
  private static final long BATCH = 40 * MS;

  /** Pause after the first call that failed. */
  private static final long RETRY = 150 * MS;

  /** Doublings of that pause while calls fail; each call costs, also when refused. */
  private static final int MOST_DOUBLINGS = 2;

  private final long limit;
  private final RandomGenerator random;
  private boolean offered;
  private long relayedAt;
  private long confirmedAt;
  private long nextAskAt;
  private int failures;
  private long number;
  private boolean inFlight;
  private boolean wasRelayed;

  /**
   * A call that asks the store for what has changed.
   *
   * @param number orders the calls of this host
   * @param sentAt when the call is made
   * @param holdNanos time for which the store may hold its answer back while it has no news, in
   *     nanoseconds
   * @param timeoutNanos time after which the call is given up, in nanoseconds
   */
  public record Poll(long number, long sentAt, long holdNanos, long timeoutNanos) {}

  private StorePollScheduler(long limit, RandomGenerator random, long now) {
    this.limit = limit;
    this.random = random;
    this.confirmedAt = now - limit;
    this.relayedAt = now - limit;
    this.nextAskAt = now;
  }

  /**
   * Creates the state of a host that knows nothing of the store.
   *
   * @param limit age from which on what other hosts pass on is not relied on, above 0
   */
  public static StorePollScheduler create(long limit, RandomGenerator random, long now) {
    checkArgument(limit > 0, "limit must be above 0, but is %s", limit);
    return new StorePollScheduler(limit, random, now);
  }

  /** Takes whether another host says that it passes the store's news on. */
  public void onRelayAvailable(boolean isAvailable) {
    offered = isAvailable;
  }

  /**
   * Takes the news that another host knew the store's state at a time, and that this host knows
   * what that one did.
   */
  public void onRelayedUpdate(long at) {
    relayedAt = Math.max(relayedAt, at);
    confirmedAt = Math.max(confirmedAt, at);
  }

  /** Tells whether the host relies on another one for the store's news. */
  public boolean isRelayed(long now) {
    return offered && now - relayedAt < limit;
  }

  /** Returns an upper bound of the age of what is known. */
  public long age(long now) {
    return now - confirmedAt;
  }

  /** Tells whether what is known is recent enough for other hosts to rely on. */
  public boolean isCurrent(long now) {
    return age(now) < limit;
  }

  /** Returns the time to which the store's state is known. */
  public long confirmedAt() {
    return confirmedAt;
  }

  /** Returns the call that is due; its outcome must be reported. */
  public Optional<Poll> nextPoll(long now) {
    boolean relayed = isRelayed(now);
    if (wasRelayed && !relayed) {
      // A call from before may have gone silent, and a pause was for a store that was not needed.
      inFlight = false;
      nextAskAt = now;
    }
    wasRelayed = relayed;
    if (relayed || inFlight || now - nextAskAt < 0) {
      return Optional.empty();
    }
    inFlight = true;
    number++;
    long held = Math.max(MS, AIM - Math.max(0, age(now)));
    return Optional.of(new Poll(number, now, held, held + SLACK));
  }

  /**
   * Takes an answer.
   *
   * @param hasNews whether it told changes
   */
  public void onResponse(Poll poll, boolean hasNews, long now) {
    boolean waited = !hasNews && now - poll.sentAt() >= poll.holdNanos();
    confirmedAt = Math.max(confirmedAt, waited ? poll.sentAt() + poll.holdNanos() : poll.sentAt());
    if (poll.number() == number) {
      inFlight = false;
      failures = 0;
      nextAskAt = waited ? now : now + BATCH;
    }
  }

  /** Takes the state of the store as a whole, which was asked for at a time. */
  public void onLoaded(long askedAt, long now) {
    confirmedAt = Math.max(confirmedAt, askedAt);
    inFlight = false;
    failures = 0;
    nextAskAt = now;
  }

  /** Takes a call's failure, or that its answer can't be read. */
  public void onFailure(Poll poll, long now) {
    if (poll.number() == number) {
      inFlight = false;
      nextAskAt = now + nextRetryDelayNanos();
    }
  }

  /** Returns the time until the store is asked again after a call that failed. */
  public long nextRetryDelayNanos() {
    long base = RETRY << Math.min(MOST_DOUBLINGS, failures);
    failures++;
    return base + random.nextLong(base);
  }
}
