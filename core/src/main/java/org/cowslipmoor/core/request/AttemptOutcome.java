package org.cowslipmoor.core.request;

/** The outcome of an attempt at a target that ended without a response. */
public sealed interface AttemptOutcome {

  /** The target certainly did not run the request, for the given reason. */
  record NotRun(Reason reason) implements AttemptOutcome {}

  /** The request may have run. */
  record Unknown(Reason reason) implements AttemptOutcome {}

  /** Why an attempt ended without a response. */
  enum Reason {
    /** The target does not own the key's shard, or does not own it yet. */
    NOT_OWNER,
    /** The target shed the request since it has no capacity left. */
    SHED,
    /** The target could not be reached. */
    UNREACHABLE,
    /** The connection failed after the request was sent. */
    BROKEN,
    /** No response was received before the deadline. */
    DEADLINE
  }
}
