package org.cowslipmoor.core.range;

/** How a grant ended. */
public enum GrantOutcome {
  /** The target holds the keys. */
  ACCEPTED,
  /** The target has seen a higher fence for one of the keys. */
  FENCED,
  /** The target refuses the grant for another reason. */
  REFUSED,
  /** Nothing was heard, and the connection is closed; the grant may still be carried out late. */
  UNKNOWN,
  /** The grant was never sent. */
  NOT_SENT
}
