package org.cowslipmoor.core.control;

/** Something that a control decision asks its process to do. */
public sealed interface ControlAction {

  /** Sends a message to a member; it may be lost. */
  record Send(String member, MemberMessage message) implements ControlAction {}

  /** Sends a message to the hosts that the settings name as peers; it may be lost. */
  record SendToPeers(MemberMessage message) implements ControlAction {}

  /** Calls the store and reports its answer under the same number. */
  record CallStore(long callId, StoreCall request) implements ControlAction {}

  /** Renews the grants of a target and reports the answer. */
  record Renew(String target, Renewal renewal) implements ControlAction {}
}
