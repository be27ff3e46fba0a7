package org.cowslipmoor.daemon.coordination;

import java.util.Optional;
import org.cowslipmoor.core.coldstart.Allowance;
import org.cowslipmoor.core.coldstart.ColdLimit;

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
        public void onAllowance(Allowance allowance) {}

        @Override
        public void onDecided(int asked, int handedOut) {}
      };

  /** Returns the limit on requests to a target; empty if it has none or the target is unknown. */
  Optional<ColdLimit> coldLimit(String targetId);

  /** Called with the coordinator's answer to a request of this host. */
  void onAllowance(Allowance allowance);

  /** Called when this host has decided, as the coordinator, how many requests to allow. */
  void onDecided(int asked, int handedOut);
}
