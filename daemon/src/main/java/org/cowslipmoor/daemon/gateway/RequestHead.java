package org.cowslipmoor.daemon.gateway;

import org.jspecify.annotations.Nullable;

/**
 * The headers of a caller's request that the gateway evaluates.
 *
 * @param requestId the id of the caller's attempt; null if the header is absent
 * @param deadlineMillis the time in milliseconds that the caller waits for the response; null if
 *     the header is absent
 * @param key the key that the request is for; null if it has none
 */
public record RequestHead(
    @Nullable String requestId, @Nullable Long deadlineMillis, @Nullable Integer key) {}
