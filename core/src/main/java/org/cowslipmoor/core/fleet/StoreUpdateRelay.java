package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides which store updates the coordinator relays to which host. Does no I/O; times are
 * nanoseconds. Not thread-safe.
 *
 * <p>Each frame holds the changes since a place that the receiver has or is about to receive, so
 * that a lost frame shows as a gap. The frame echoes the receiver's clock from its last report,
 * from which the receiver derives an upper bound of the frame's age. A frame without changes serves
 * that purpose alone.
 */
public final class StoreUpdateRelay {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Time without confirmation after which changes are sent to a host again. */
  private static final long RESEND_DELAY_NANOS = 800 * NANOS_PER_MILLI;

  /**
   * Time for which a host may lack changes from before this host's history until it is sent the
   * whole state. Most hosts read them from the store meanwhile, which costs less link capacity.
   */
  private static final long FULL_STATE_DELAY_NANOS = 1_500 * NANOS_PER_MILLI;

  private final Map<String, Receiver> receivers = new HashMap<>();

  private static final class Receiver {
    StorePlace reported = StorePlace.START;
    long reportedAt;
    StorePlace sent = StorePlace.START;
    long sentAt;
    long missingHistorySince = Long.MAX_VALUE;
  }

  /**
   * A frame that is due.
   *
   * @param host id of the receiver
   * @param since the place after which changes are sent; the start for the whole state
   * @param echoedAt the receiver's clock in its last report
   */
  public record Frame(String host, StorePlace since, long echoedAt) {}

  private StoreUpdateRelay() {}

  /** Creates a relay without receivers. */
  public static StoreUpdateRelay create() {
    return new StoreUpdateRelay();
  }

  /**
   * Records a host's report.
   *
   * @param place the newest place in the store that the host has
   * @param reportedAt the host's clock when it sent the report
   */
  public void onReport(String host, StorePlace place, long reportedAt) {
    Receiver r = receivers.computeIfAbsent(host, unused -> new Receiver());
    if (r.reported.isAfter(place)) {
      // The host has restarted.
      r.sent = StorePlace.START;
    }
    r.reported = place;
    r.reportedAt = reportedAt;
  }

  /** Drops all hosts except the given ones. */
  public void retain(Set<String> hosts) {
    receivers.keySet().retainAll(hosts);
  }

  /** Drops all hosts; another coordinator may send them updates that this one doesn't see. */
  public void clear() {
    receivers.clear();
  }

  /**
   * Returns the frames that are due after the store's state was confirmed. The caller reports each
   * frame that it sends to {@link #onSent}.
   *
   * @param place the confirmed place
   * @param trackedSince the place since which every change is available, deletions included
   */
  public ImmutableList<Frame> due(StorePlace place, StorePlace trackedSince, long now) {
    ImmutableList.Builder<Frame> frames = ImmutableList.builder();
    receivers.forEach(
        (host, r) -> {
          boolean isInFlight = r.sent.isAfter(r.reported) && now - r.sentAt < RESEND_DELAY_NANOS;
          StorePlace since = isInFlight ? r.sent : r.reported;
          if (since.era() > place.era()) {
            // The host has read the store since it came back older, and this one has not.
            return;
          }
          if (!trackedSince.isAfter(since)) {
            r.missingHistorySince = Long.MAX_VALUE;
          } else {
            r.missingHistorySince = Math.min(r.missingHistorySince, now);
            if (now - r.missingHistorySince < FULL_STATE_DELAY_NANOS) {
              return;
            }
            since = StorePlace.START;
          }
          frames.add(new Frame(host, since, r.reportedAt));
        });
    return frames.build();
  }

  /** Records that a frame was sent that holds all changes up to a place. */
  public void onSent(Frame frame, StorePlace place, long now) {
    Receiver r = receivers.get(frame.host());
    if (r != null && place.isAfter(frame.since())) {
      r.sent = place;
      r.sentAt = now;
    }
  }
}
