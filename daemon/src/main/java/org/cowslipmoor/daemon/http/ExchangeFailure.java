package org.cowslipmoor.daemon.http;

/** Why an exchange has no complete response. */
public enum ExchangeFailure {
  /** The request was not sent: there was no connection to send it on. */
  NOT_SENT,
  /** The connection was closed before the response began. */
  NO_ANSWER,
  /** The connection was closed before the response was complete. */
  ANSWER_CUT,
  /** The bytes received are not a valid HTTP response. */
  MALFORMED
}
