package org.cowslipmoor.daemon.coordination;

import java.util.Optional;
import org.cowslipmoor.core.coldstart.Allowance;
import org.cowslipmoor.core.coldstart.ColdLimit;
import org.cowslipmoor.core.discovery.TargetIncarnation;

/** Knows the limits on requests to cold targets, and receives this host's allowances. */
public interface AllowanceHandler {
  /** Knows no limit. */
  AllowanceHandler NONE =
      new AllowanceHandler() {
        @Override
        public Optional<ColdLimit> coldLimit(String targetId) {
          return Optional.empty();
        }

        @Override
        public boolean isCheckedWarm(
            TargetIncarnation target, boolean isReported, Runnable ifSuspected) {
          return false;
        }

        @Override
        public void onAllowance(Allowance allowance) {}

        @Override
        public void onDecided(int asked, int handedOut) {}
      };

  /** Returns the limit on requests to a target; empty if it has none or the target is unknown. */
  Optional<ColdLimit> coldLimit(String targetId);

  /**
   * Returns whether a recent health check has shown, to this host as the coordinator, that a target
   * is warm. Begins a check if one is due.
   *
   * @param isReported whether a host reports that the target may have restarted
   * @param ifSuspected called if that check shows that it has, or may have
   */
  boolean isCheckedWarm(TargetIncarnation target, boolean isReported, Runnable ifSuspected);

  /** Called with the coordinator's answer to a request of this host. */
  void onAllowance(Allowance allowance);

  /** Called when this host has decided, as the coordinator, how many requests to allow. */
  void onDecided(int asked, int handedOut);
}
