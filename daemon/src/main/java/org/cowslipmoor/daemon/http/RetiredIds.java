package org.cowslipmoor.daemon.http;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The correlation ids that a connection must not carry again, as 64-bit fingerprints. Bounded; not
 * thread-safe. Two ids with one fingerprint count as equal.
 */
final class RetiredIds {
  /** Maximum number of ids. */
  static final int MAX_IDS = 1_024;

  private static final int INITIAL_CAPACITY = 4;
  private long[] fingerprints = {};
  private int size;

  /** Returns the fingerprint of an id. */
  static long fingerprint(String id) {
    return Hashing.farmHashFingerprint64().hashString(id, StandardCharsets.UTF_8).asLong();
  }

  boolean contains(long fingerprint) {
    for (int i = 0; i < size; i++) {
      if (fingerprints[i] == fingerprint) {
        return true;
      }
    }
    return false;
  }

  /** Adds an id unless the maximum is reached. */
  void add(long fingerprint) {
    if (isFull() || contains(fingerprint)) {
      return;
    }
    if (size == fingerprints.length) {
      fingerprints = Arrays.copyOf(fingerprints, Math.max(INITIAL_CAPACITY, 2 * size));
    }
    fingerprints[size] = fingerprint;
    size++;
  }

  boolean isFull() {
    return size == MAX_IDS;
  }
}
