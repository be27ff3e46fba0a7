package org.cowslipmoor.daemon.gateway;

import org.jspecify.annotations.Nullable;

/**
 * What a caller tells about its request, besides method, path and body.
 *
 * @param requestId identifies the attempt; null when the caller gave none
 * @param deadlineMillis milliseconds that the caller will wait; null when it does not say
 * @param key the key that the request is about; null when there is none
 */
public record RequestHead(
    @Nullable String requestId, @Nullable Long deadlineMillis, @Nullable Integer key) {}
