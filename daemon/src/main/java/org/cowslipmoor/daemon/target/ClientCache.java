package org.cowslipmoor.daemon.target;

import com.google.common.cache.CacheBuilder;
import com.google.common.cache.CacheLoader;
import com.google.common.cache.LoadingCache;
import java.time.Duration;
import java.util.function.Function;

/**
 * Caches one client per address and evicts clients that have not been used for a while.
 * Thread-safe.
 *
 * @param <T> the type of the clients
 */
final class ClientCache<T> {
  private static final long MAX_CLIENTS = 10_000;
  private static final Duration EXPIRY_TIME = Duration.ofMinutes(5);

  private final LoadingCache<String, T> clients;

  /** Creates an empty cache; {@code create} makes the client for an {@code ip:port} address. */
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
