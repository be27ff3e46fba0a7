package org.cowslipmoor.core.routing;

/**
 * Bounds on what a caller may send.
 *
 * @param bodyBytes longest request body in bytes
 * @param headerBytes longest request head in bytes
 * @param headerMillis longest time in milliseconds for a request head to arrive
 * @param idleMillis longest time in milliseconds that a connection may stay idle
 */
public record CallerLimits(long bodyBytes, int headerBytes, long headerMillis, long idleMillis) {}
