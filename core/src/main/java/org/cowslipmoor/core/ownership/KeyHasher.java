package org.cowslipmoor.core.ownership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Maps keys to shards with the hash function named {@value #NAME}. */
public final class KeyHasher {
  /**
   * Name and version of the hash function: the first 64 bits of the 128-bit Murmur3 hash, modulo
   * the number of shards.
   */
  public static final String NAME = "murmur3-128-v1";

  /** Maximum length of a key in bytes of UTF-8. */
  public static final int MAX_KEY_BYTES = 512;

  private KeyHasher() {}

  /**
   * Returns the index of the key's shard.
   *
   * @param key the key, 1 to {@value #MAX_KEY_BYTES} bytes of UTF-8
   * @param shards number of shards, at least 1
   * @throws IllegalArgumentException if the key is empty or too long, or shards is less than 1
   */
  public static int shardOf(String key, int shards) {
    byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
    checkArgument(
        bytes.length >= 1 && bytes.length <= MAX_KEY_BYTES,
        "key must have 1 to %s bytes of UTF-8, but has %s",
        MAX_KEY_BYTES,
        bytes.length);
    checkArgument(shards >= 1, "number of shards must be at least 1, but is %s", shards);
    long hash = Hashing.murmur3_128().hashBytes(bytes).asLong();
    return (int) Math.floorMod(hash, (long) shards);
  }
}
