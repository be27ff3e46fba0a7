package org.cowslipmoor.daemon.http;

/** Why an exchange has no whole answer. */
public enum ExchangeFailure {
  /** The request was not sent: there was no connection to send it on. */
  NOT_SENT,
  /** The connection ended before an answer began. */
  NO_ANSWER,
  /** The connection ended before the answer did. */
  ANSWER_CUT,
  /** What came is no answer in the protocol. */
  MALFORMED
}
