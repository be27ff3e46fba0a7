package org.cowslipmoor.daemon.target;

import com.google.common.cache.CacheBuilder;
import com.google.common.cache.CacheLoader;
import com.google.common.cache.LoadingCache;
import java.time.Duration;
import java.util.function.Function;

/**
 * Keeps a client for each address in use, and forgets those that were not used for a while.
 * Thread-safe.
 *
 * @param <T> the kind of client
 */
final class ClientCache<T> {
  private static final long MAX_CLIENTS = 10_000;
  private static final Duration EXPIRY_TIME = Duration.ofMinutes(5);

  private final LoadingCache<String, T> clients;

  /** Creates an empty table whose clients the given function makes from {@code ip:port}. */
  ClientCache(Function<String, T> create) {
    clients =
        CacheBuilder.newBuilder()
            .maximumSize(MAX_CLIENTS)
            .expireAfterAccess(EXPIRY_TIME)
            .build(CacheLoader.from(create::apply));
  }

  T get(String address) {
    return clients.getUnchecked(address);
  }
}
