package org.cowslipmoor.core.control;

/** An action that {@link HostController} requests from the process it runs in. */
public sealed interface ControlAction {

  /** Sends a message to a member; it may be lost. */
  record Send(String member, MemberMessage message) implements ControlAction {}

  /** Sends a message to the hosts that the settings list as peers; it may be lost. */
  record SendToPeers(MemberMessage message) implements ControlAction {}

  /** Calls the store and passes the response to the controller with the same call id. */
  record CallStore(long callId, StoreCall request) implements ControlAction {}

  /** Renews the grants of a target and passes the response to the controller. */
  record Renew(String target, Renewal renewal) implements ControlAction {}
}
