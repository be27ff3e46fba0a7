package org.cowslipmoor.core.routing;

/**
 * Bounds on what a caller may send.
 *
 * @param maxBodyBytes longest request body in bytes
 * @param maxHeaderBytes longest request head in bytes
 * @param headerTimeoutMillis longest time in milliseconds for a request head to arrive
 * @param idleTimeoutMillis longest time in milliseconds that a connection may stay idle
 */
public record CallerLimits(
    long maxBodyBytes, int maxHeaderBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
