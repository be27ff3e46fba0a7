package org.cowslipmoor.daemon.caller;

import java.util.List;
import java.util.random.RandomGenerator;
import org.cowslipmoor.core.balance.TargetHealth;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.daemon.target.TargetLimiter.Completion;
import org.tinylog.Logger;

/**
 * Chooses hosts of other data centres to forward requests to, and leaves out those that fail or are
 * stopping. Thread-safe; its lock is an innermost one. Times are nanoseconds.
 */
public final class HostSelector {
  /** All hosts of a data centre but one may be stopping or lost at the same time. */
  private static final double MAX_EJECTED_FRACTION = 0.99;

  private final TargetHealth health = TargetHealth.create(MAX_EJECTED_FRACTION);
  private final RandomGenerator random;

  /** Creates a choice that knows nothing against any host. */
  public HostSelector(RandomGenerator random) {
    this.random = random;
  }

  /** Returns a host at random among the usable ones; {@code hosts} must not be empty. */
  synchronized Member choose(List<Member> hosts, long now) {
    List<Member> usable = health.usable(hosts, Member::id, now);
    Member chosen = usable.get(random.nextInt(usable.size()));
    health.onSend(chosen.id(), now);
    return chosen;
  }

  /** Takes note of how a forwarded request left its host. */
  synchronized void recordOutcome(Member host, Completion how, long now) {
    switch (how) {
      case ANSWERED -> health.onResponse(host.id());
      case FAILED -> health.onFailure(host.id(), now);
      case STOPPING -> health.eject(host.id(), now);
      case SHED, TIMED_OUT, OTHER ->
          Logger.debug("nothing is learned of host {} from {}", host.id(), how);
      default -> throw new IllegalArgumentException("unknown way to leave: " + how);
    }
  }
}
