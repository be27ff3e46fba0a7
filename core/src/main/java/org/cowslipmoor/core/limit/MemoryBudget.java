package org.cowslipmoor.core.limit;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/**
 * Bounds the memory that concurrent requests hold together. Answers the load of many large uploads
 * at once by slow callers or to slow targets: each of them is bounded by backpressure, but their
 * number is not. Not thread-safe.
 */
public final class MemoryBudget {
  private final long maxBytes;
  private long reservedBytes;

  private MemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Creates an unused budget.
   *
   * @param maxBytes number of bytes that may be reserved at the same time, at least 1
   */
  public static MemoryBudget create(long maxBytes) {
    checkArgument(maxBytes >= 1, "maxBytes must be at least 1, but is %s", maxBytes);
    return new MemoryBudget(maxBytes);
  }

  /** Reserves a number of bytes; returns whether they were available. */
  public boolean tryReserve(long bytes) {
    checkArgument(bytes >= 0, "bytes must be at least 0, but is %s", bytes);
    if (bytes > maxBytes - reservedBytes) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  /** Releases bytes that were reserved. */
  public void release(long bytes) {
    checkState(bytes <= reservedBytes, "releasing %s of %s bytes", bytes, reservedBytes);
    reservedBytes -= bytes;
  }

  /** Returns the number of bytes that are reserved. */
  public long reservedBytes() {
    return reservedBytes;
  }
}
