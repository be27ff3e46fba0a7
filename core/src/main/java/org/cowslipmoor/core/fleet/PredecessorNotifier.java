package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides when a new coordinator tells its predecessor that it has been replaced. Does no I/O;
 * times are nanoseconds. Not thread-safe.
 *
 * <p>A predecessor that the store rejects, and the hosts that the store rejects as well, can't
 * learn of the new coordinator in any other way: they know only the address of the predecessor.
 */
public final class PredecessorNotifier {
  /** Shortest time between two notices. */
  static final long INTERVAL_NANOS = 500_000_000L;

  /** Time after which a predecessor that does not respond is assumed to have ended. */
  static final long MAX_DURATION_NANOS = 30_000_000_000L;

  private @Nullable String predecessor;
  private long startedAt;
  private long notifiedAt;
  private boolean isNotifying;

  /** Records that another host is known to be the coordinator. */
  public void onOtherCoordinator(String host) {
    predecessor = host;
    isNotifying = false;
  }

  /**
   * Returns the predecessor if a notice to it is due, and counts it as sent. Must be called only
   * while this host is the coordinator.
   *
   * @param reportingHosts the hosts that report to this one, and so know that it coordinates
   */
  public Optional<String> nextNotice(ImmutableSet<String> reportingHosts, long now) {
    String host = predecessor;
    if (host == null) {
      return Optional.empty();
    }
    if (!isNotifying) {
      isNotifying = true;
      startedAt = now;
      notifiedAt = now - INTERVAL_NANOS;
    }
    if (reportingHosts.contains(host) || now - startedAt >= MAX_DURATION_NANOS) {
      predecessor = null;
      return Optional.empty();
    }
    if (now - notifiedAt < INTERVAL_NANOS) {
      return Optional.empty();
    }
    notifiedAt = now;
    return Optional.of(host);
  }
}
