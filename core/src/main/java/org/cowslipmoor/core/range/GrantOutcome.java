package org.cowslipmoor.core.range;

/** The outcome of a grant. */
public enum GrantOutcome {
  /** The target accepted the grant and holds the keys. */
  ACCEPTED,
  /** The target has seen a higher fence for one of the keys. */
  FENCED,
  /** The target rejected the grant for another reason. */
  REFUSED,
  /**
   * No response arrived before the connection was closed; the target may still execute the grant
   * later.
   */
  UNKNOWN,
  /** The grant was never sent. */
  NOT_SENT
}
