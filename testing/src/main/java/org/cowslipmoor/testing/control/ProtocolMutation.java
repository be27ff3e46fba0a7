package org.cowslipmoor.testing.control;

import org.cowslipmoor.core.control.MemberMessage;
import org.cowslipmoor.core.control.Renewal;
import org.cowslipmoor.core.control.StoreResponse;

/**
 * Modifies the messages between hosts, store and targets, so that a test can break a rule of the
 * protocol and show that the checks detect it. The default methods change nothing.
 */
public interface ProtocolMutation {
  /** A mutation that changes nothing. */
  ProtocolMutation NONE = new ProtocolMutation() {};

  /** Returns the message that the receiver gets in place of the one that a member sent. */
  default MemberMessage message(String from, MemberMessage message) {
    return message;
  }

  /** Returns the response that a host gets in place of the one that the store sent. */
  default StoreResponse storeResponse(StoreResponse response) {
    return response;
  }

  /**
   * Returns the renewal that a target gets in place of the one that a host sent.
   *
   * @param renewal the renewal that the host sent
   * @param freshToken a token that the target has just issued
   */
  default Renewal renewal(Renewal renewal, String freshToken) {
    return renewal;
  }
}
