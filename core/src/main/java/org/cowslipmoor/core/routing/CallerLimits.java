package org.cowslipmoor.core.routing;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxBodyBytes maximum length of a request body in bytes
 * @param maxHeaderBytes maximum length of a request head in bytes
 * @param headerTimeoutMillis maximum time in milliseconds for receiving a request head
 * @param idleTimeoutMillis maximum time in milliseconds that a connection may be idle
 */
public record CallerLimits(
    long maxBodyBytes, int maxHeaderBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
