package org.cowslipmoor.core.coldstart;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.cowslipmoor.core.fleet.StorePlace;
import org.jspecify.annotations.Nullable;

/**
 * Decides as the coordinator how many requests a host may send to a cold target, from what was
 * handed out for it within {@link ColdLimit#WINDOW_NANOS}. Not thread-safe; times are nanoseconds
 * of the coordinator's clock.
 *
 * <p>Counts by the id of the target, not by its incarnation: requests that were meant for the
 * former incarnation of a restarted target reach the present one. Hands out nothing during the
 * first window of a term, since allowances of the former coordinator may still be spent then.
 */
public final class AllowanceLedger {
  private final Map<String, Deque<Entry>> entriesByTarget = new HashMap<>();
  private @Nullable StorePlace term;
  private long usableFrom;

  /** Time at which the entries of all targets were last expired. */
  private long expiredAt;

  private record Entry(long at, int requests) {}

  private AllowanceLedger() {}

  /** Creates the ledger of a host that has not been the coordinator. */
  public static AllowanceLedger create() {
    return new AllowanceLedger();
  }

  /**
   * Records the term in which this host is the coordinator; must be called before each decision. A
   * term that ends and continues, as when a lease is renewed late, is no new one.
   */
  public void onTerm(StorePlace currentTerm, long now) {
    if (!currentTerm.equals(term)) {
      term = currentTerm;
      usableFrom = now + ColdLimit.WINDOW_NANOS;
      expiredAt = now;
    }
  }

  /**
   * Hands out an allowance for a target that is or may be cold; returns the number of requests, at
   * most the number asked for.
   */
  public int handOut(String target, int asked, ColdLimit limit, long now) {
    if (!isUsable(now)) {
      return 0;
    }
    int recent = entries(target, now).stream().mapToInt(Entry::requests).sum();
    return record(target, Math.max(0, Math.min(asked, limit.requests() - recent)), now);
  }

  /**
   * Hands out whatever is asked for a target that is known to be warm. It counts as well, since the
   * target may become cold while the allowance is valid.
   */
  public int handOutForWarm(String target, int asked, long now) {
    return isUsable(now) ? record(target, asked, now) : 0;
  }

  private boolean isUsable(long now) {
    // Exactly a window after its predecessor, a spent allowance of each could meet in one second.
    return term != null && now - usableFrom > 0;
  }

  private int record(String target, int requests, long now) {
    if (requests > 0) {
      entries(target, now).addLast(new Entry(now, requests));
    }
    return requests;
  }

  private Deque<Entry> entries(String target, long now) {
    // Each request looks at one target only; the others are dropped once in a window.
    if (now - expiredAt > ColdLimit.WINDOW_NANOS) {
      expiredAt = now;
      entriesByTarget.values().removeIf(entries -> expire(entries, now).isEmpty());
    }
    return expire(entriesByTarget.computeIfAbsent(target, unused -> new ArrayDeque<>()), now);
  }

  private static Deque<Entry> expire(Deque<Entry> entries, long now) {
    while (!entries.isEmpty() && now - entries.getFirst().at() > ColdLimit.WINDOW_NANOS) {
      entries.removeFirst();
    }
    return entries;
  }
}
