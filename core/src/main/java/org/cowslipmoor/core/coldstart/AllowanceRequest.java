package org.cowslipmoor.core.coldstart;

import com.google.common.collect.ImmutableMap;
import org.cowslipmoor.core.discovery.TargetIncarnation;

/**
 * A host's request for allowances.
 *
 * @param requests number of requests that the host wants to send, by target; 0 for a target that
 *     the host suspects to have restarted
 * @param sentAt the host's clock at sending, in nanoseconds
 */
public record AllowanceRequest(ImmutableMap<TargetIncarnation, Integer> requests, long sentAt) {}
