package org.cowslipmoor.daemon.gateway;

import org.cowslipmoor.core.admission.ReportedLoad;
import org.jspecify.annotations.Nullable;

/**
 * What a target tells with an answer, besides status and body.
 *
 * @param requestId the attempt that the answer is for; null when it does not say
 * @param isNotRun whether the target states that it did not run the request
 * @param isMisdirected whether it refused since it is not, or does not own, what was asked for
 * @param load its load; null when it does not tell
 */
public record ResponseHead(
    @Nullable String requestId,
    boolean isNotRun,
    boolean isMisdirected,
    @Nullable ReportedLoad load) {}
