package org.cowslipmoor.core.coldstart;

import com.google.common.collect.ImmutableMap;
import org.cowslipmoor.core.discovery.TargetIncarnation;

/**
 * The coordinator's answer to an {@link AllowanceRequest}.
 *
 * @param requests number of requests that the host may send, by target; 0 for a target that it may
 *     send none to
 * @param askedAt the host's clock when it asked, in nanoseconds
 * @param validNanos time from then for which the allowance is valid; 0 for a notice to all hosts
 *     that the targets may have restarted
 */
public record Allowance(
    ImmutableMap<TargetIncarnation, Integer> requests, long askedAt, long validNanos) {

  /** Returns the notice that a target may have restarted. */
  public static Allowance notice(TargetIncarnation target) {
    return new Allowance(ImmutableMap.of(target, 0), 0, 0);
  }

  /** Returns whether this is a notice that targets may have restarted. */
  public boolean isNotice() {
    return validNanos == 0;
  }
}
