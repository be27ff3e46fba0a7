package org.cowslipmoor.daemon.gateway;

import org.cowslipmoor.core.admission.ReportedLoad;
import org.jspecify.annotations.Nullable;

/**
 * The headers of a target's response that the gateway evaluates.
 *
 * @param requestId the id of the request that the response belongs to; null if the header is absent
 * @param isNotRun whether the target states that it did not run the request
 * @param isMisdirected whether the target rejected the request because it is not the target that
 *     the request names, or because it does not own the key
 * @param isLeaving whether the target states that it is about to exit
 * @param load the load that the target reports; null if it reports none
 */
public record ResponseHead(
    @Nullable String requestId,
    boolean isNotRun,
    boolean isMisdirected,
    boolean isLeaving,
    @Nullable ReportedLoad load) {}
