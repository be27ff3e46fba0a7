package org.cowslipmoor.testing.control;

import org.cowslipmoor.core.control.MemberMessage;

/** Observes the messages and renewals that hosts send. */
public interface MessageObserver {
  /** An observer that does nothing. */
  MessageObserver NONE =
      new MessageObserver() {
        @Override
        public void onMessage(String from, String to, MemberMessage message) {}

        @Override
        public void onRenewal(String from, String target) {}
      };

  /** Called for each message from one host to another. */
  void onMessage(String from, String to, MemberMessage message);

  /** Called for each renewal of a target's grants. */
  void onRenewal(String from, String target);
}
