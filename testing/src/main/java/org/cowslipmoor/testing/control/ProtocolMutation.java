package org.cowslipmoor.testing.control;

import org.cowslipmoor.core.control.MemberMessage;
import org.cowslipmoor.core.control.Renewal;
import org.cowslipmoor.core.control.StoreResponse;

/**
 * Changes what passes between the parts, so that a test can break a rule on purpose and show that
 * its check finds it. The default methods change nothing.
 */
public interface ProtocolMutation {
  /** Changes nothing. */
  ProtocolMutation NONE = new ProtocolMutation() {};

  /** Returns what the receiver gets in place of a member's message. */
  default MemberMessage message(String from, MemberMessage message) {
    return message;
  }

  /** Returns what a host gets in place of the store's answer. */
  default StoreResponse storeAnswer(StoreResponse answer) {
    return answer;
  }

  /** Returns what a target gets in place of a renewal, given a token issued just now. */
  default Renewal renewal(Renewal renewal, String freshToken) {
    return renewal;
  }
}
