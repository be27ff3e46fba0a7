package org.cowslipmoor.daemon.caller;

import java.util.List;
import java.util.random.RandomGenerator;
import org.cowslipmoor.core.balance.TargetHealth;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.daemon.target.TargetLimiter.Completion;
import org.tinylog.Logger;

/**
 * Chooses hosts of other data centres to forward requests to, and ejects hosts that fail or are
 * stopping. Thread-safe; no other lock is taken while its lock is held. Times are in nanoseconds.
 */
public final class HostSelector {
  /** Maximum fraction ejected: all hosts but one may be stopping or lost at the same time. */
  private static final double MAX_EJECTED_SHARE = 0.99;

  private final TargetHealth health = TargetHealth.create(MAX_EJECTED_SHARE);
  private final RandomGenerator random;

  /** Creates a selector to which all hosts are usable. */
  public HostSelector(RandomGenerator random) {
    this.random = random;
  }

  /** Returns a random usable host; {@code hosts} must not be empty. */
  synchronized Member choose(List<Member> hosts, long now) {
    List<Member> usable = health.usable(hosts, Member::id, now);
    Member chosen = usable.get(random.nextInt(usable.size()));
    health.onSend(chosen.id(), now);
    return chosen;
  }

  /** Records how a request that was forwarded to a host ended. */
  synchronized void recordOutcome(Member host, Completion completion, long now) {
    switch (completion) {
      case RESPONDED -> health.onResponse(host.id());
      case FAILED -> health.onFailure(host.id(), now);
      case STOPPING -> health.eject(host.id(), now);
      case SHED, TIMED_OUT, OTHER ->
          Logger.debug(
              "the health of host {} is unchanged by a request that ended as {}",
              host.id(),
              completion);
      default -> throw new IllegalArgumentException("unknown completion: " + completion);
    }
  }
}
