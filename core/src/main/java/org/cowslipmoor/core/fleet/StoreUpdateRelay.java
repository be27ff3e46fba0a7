package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides what the coordinator passes on of the store's news, and to whom. Does no I/O; times are
 * nanoseconds. Not thread-safe.
 *
 * <p>Each frame holds the changes after a state that the receiver has, or is about to have, so that
 * a lost frame shows as a gap. It returns the receiver's clock from its last report, by which the
 * receiver knows how old the frame can be at most. A frame without changes only does that.
 */
public final class StoreUpdateRelay {
  private static final long MS = 1_000_000L;

  /** Time after which a host that still lacks what it was sent is sent it again. */
  private static final long RESEND = 800 * MS;

  /**
   * Time for which a host may lack news from before this one's own knowledge until it is sent all.
   * Most hosts ask the store meanwhile, which costs the links less.
   */
  private static final long WHOLE_AFTER = 1_500 * MS;

  private final Map<String, Receiver> receivers = new HashMap<>();

  private static final class Receiver {
    long known;
    long reportedAt;
    long sent;
    long sentAt;
    long lacksSince = Long.MAX_VALUE;
  }

  /**
   * A frame that is due.
   *
   * @param host whom it goes to
   * @param since the state after which changes are told; 0 for all that there is
   * @param echoedAt the receiver's clock in its last report
   */
  public record Frame(String host, long since, long echoedAt) {}

  private StoreUpdateRelay() {}

  /** Creates a relay without receivers. */
  public static StoreUpdateRelay create() {
    return new StoreUpdateRelay();
  }

  /**
   * Takes what a host reports.
   *
   * @param known the newest state of the store that it knows
   * @param reportedAt its clock when it reported
   */
  public void onReport(String host, long known, long reportedAt) {
    Receiver r = receivers.computeIfAbsent(host, unused -> new Receiver());
    if (known < r.known) {
      // The host has started again.
      r.sent = 0;
    }
    r.known = known;
    r.reportedAt = reportedAt;
  }

  /** Forgets all hosts but the given ones. */
  public void retain(Set<String> hosts) {
    receivers.keySet().retainAll(hosts);
  }

  /** Forgets the hosts, since what they have been sent meanwhile is not known. */
  public void clear() {
    receivers.clear();
  }

  /**
   * Returns the frames that are due now that the store's state is known anew. Those that are sent
   * must be reported.
   *
   * @param revision the state that is known
   * @param trackedSince the state after which each change is known, deletions included
   */
  public ImmutableList<Frame> due(long revision, long trackedSince, long now) {
    ImmutableList.Builder<Frame> frames = ImmutableList.builder();
    receivers.forEach(
        (host, r) -> {
          boolean isOnItsWay = r.sent > r.known && now - r.sentAt < RESEND;
          long since = isOnItsWay ? r.sent : r.known;
          if (since >= trackedSince) {
            r.lacksSince = Long.MAX_VALUE;
          } else {
            r.lacksSince = Math.min(r.lacksSince, now);
            if (now - r.lacksSince < WHOLE_AFTER) {
              return;
            }
            since = 0;
          }
          frames.add(new Frame(host, since, r.reportedAt));
        });
    return frames.build();
  }

  /** Notes that a frame was sent that tells of all changes up to a revision. */
  public void onSent(Frame frame, long revision, long now) {
    Receiver r = receivers.get(frame.host());
    if (r != null && frame.since() < revision) {
      r.sent = revision;
      r.sentAt = now;
    }
  }
}
