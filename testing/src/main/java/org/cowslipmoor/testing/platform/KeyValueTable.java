package org.cowslipmoor.testing.platform;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An in-memory key-value store with revisions and leases. Thread-safe. Times are in nanoseconds,
 * and callers pass the present time.
 *
 * <p>Revisions are unique across all writes, so that a key that was removed and created again never
 * gets a former revision.
 */
public final class KeyValueTable {
  /** Maximum size of a value, in bytes. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  private static final byte[] EMPTY_VALUE = {};

  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long lastRevision;
  private long lastLease;

  /**
   * A key's value and revision.
   *
   * @param revision revision of the last write; 0 when the key is absent
   * @param value the value; empty when the key is absent
   */
  public record Value(long revision, byte[] value) {}

  /**
   * The outcome of a conditional write.
   *
   * @param written whether the write took effect
   * @param revision the key's revision after the call; 0 when it is absent
   */
  public record Outcome(boolean written, long revision) {}

  private record Entry(long revision, byte[] value, long lease) {}

  private record Lease(long ttlNanos, long expiresAt) {}

  /** Returns a key's value and revision. */
  public synchronized Value read(String key, long now) {
    expire(now);
    Entry e = entries.get(key);
    return e == null ? new Value(0, EMPTY_VALUE) : new Value(e.revision(), e.value());
  }

  /**
   * Writes a key if its revision is the expected one and its lease, if any, is alive.
   *
   * @param expected the expected revision; 0 expects an absent key
   * @param lease lease whose expiry or revocation removes the key; 0 for none
   * @throws IllegalArgumentException if the value is larger than {@value #MAX_VALUE_BYTES} bytes
   */
  public synchronized Outcome compareAndSwap(
      String key, long expected, byte[] value, long lease, long now) {
    checkArgument(
        value.length <= MAX_VALUE_BYTES,
        "the value of key '%s' must be at most %s bytes, but has %s",
        key,
        MAX_VALUE_BYTES,
        value.length);
    expire(now);
    Entry e = entries.get(key);
    long currentRevision = e == null ? 0 : e.revision();
    boolean leaseExpired = lease != 0 && !leases.containsKey(lease);
    if (currentRevision != expected || leaseExpired) {
      return new Outcome(false, currentRevision);
    }
    lastRevision++;
    entries.put(key, new Entry(lastRevision, value.clone(), lease));
    return new Outcome(true, lastRevision);
  }

  /** Grants a lease of the given duration in nanoseconds and returns its id. */
  public synchronized long grantLease(long ttlNanos, long now) {
    lastLease++;
    leases.put(lastLease, new Lease(ttlNanos, now + ttlNanos));
    return lastLease;
  }

  /** Renews a lease for its full duration; returns whether it was alive. */
  public synchronized boolean keepAlive(long lease, long now) {
    expire(now);
    Lease l = leases.get(lease);
    if (l == null) {
      return false;
    }
    leases.put(lease, new Lease(l.ttlNanos(), now + l.ttlNanos()));
    return true;
  }

  /** Revokes a lease and removes its keys; returns whether it was alive. */
  public synchronized boolean revokeLease(long lease, long now) {
    expire(now);
    boolean alive = leases.remove(lease) != null;
    entries.values().removeIf(e -> e.lease() == lease);
    return alive;
  }

  private void expire(long now) {
    List<Long> expired = new ArrayList<>();
    leases.forEach(
        (id, l) -> {
          if (now - l.expiresAt() >= 0) {
            expired.add(id);
          }
        });
    for (long id : expired) {
      leases.remove(id);
      entries.values().removeIf(e -> e.lease() == id);
    }
  }
}
