package org.cowslipmoor.core.request;

/** Result codes in the responses to callers and operators, described in docs/RESULT-CODES.md. */
public enum ResultCode {
  OK(0, Effect.DONE, 200),

  MALFORMED_REQUEST(1001, Effect.NOT_RUN, 400),
  UNKNOWN_SERVICE(1002, Effect.NOT_RUN, 404),
  MALFORMED_KEY(1003, Effect.NOT_RUN, 400),
  DEADLINE_NOT_MET(1004, Effect.NOT_RUN, 503),
  DEADLINE_PASSED(1005, Effect.UNKNOWN, 504),
  NO_TARGET(1006, Effect.NOT_RUN, 503),
  OWNER_UNKNOWN(1007, Effect.NOT_RUN, 503),
  HOME_UNREACHABLE(1008, Effect.NOT_RUN, 503),
  OVERLOADED(1009, Effect.NOT_RUN, 503),
  TARGET_FAILED(1010, Effect.UNKNOWN, 502),
  TARGET_REFUSED(1011, Effect.NOT_RUN, 503),
  NOT_HOME(1012, Effect.NOT_RUN, 503),
  STOPPING(1013, Effect.NOT_RUN, 503),
  NO_CONFIGURATION(1014, Effect.NOT_RUN, 503),
  BODY_TOO_LARGE(1015, Effect.NOT_RUN, 413),
  UNKNOWN_ROUTE(1016, Effect.NOT_RUN, 404),
  NOT_ADMITTED(1017, Effect.NOT_RUN, 503),
  UNUSABLE_ROUTE(1018, Effect.NOT_RUN, 503),
  HEAD_TOO_LARGE(1019, Effect.NOT_RUN, 431),
  INTERNAL_ERROR(1099, Effect.UNKNOWN, 500),

  INVALID_CHANGE(2001, Effect.NOT_RUN, 400),
  REVISION_CONFLICT(2002, Effect.NOT_RUN, 409),
  STORE_UNAVAILABLE(2003, Effect.NOT_RUN, 503),
  OUTCOME_UNKNOWN(2004, Effect.UNKNOWN, 504),
  ALREADY_EXISTS(2005, Effect.NOT_RUN, 409),
  NOT_FOUND(2006, Effect.NOT_RUN, 404),
  STORE_REGRESSED(2007, Effect.NOT_RUN, 503);

  private final int number;
  private final Effect effect;
  private final int httpStatus;

  /** Whether the request took effect. */
  public enum Effect {
    /** The request was run. */
    DONE("done"),
    /** The request was certainly not run and never will be. */
    NOT_RUN("not run"),
    /** The request may have run: at most once, unless it is repeatable. */
    UNKNOWN("unknown");

    private final String text;

    Effect(String text) {
      this.text = text;
    }

    /** Returns the text that is sent to callers. */
    public String text() {
      return text;
    }
  }

  ResultCode(int number, Effect effect, int httpStatus) {
    this.number = number;
    this.effect = effect;
    this.httpStatus = httpStatus;
  }

  /** Returns the number of the code. The meaning of a number never changes. */
  public int number() {
    return number;
  }

  /** Returns whether the request took effect. */
  public Effect effect() {
    return effect;
  }

  /** Returns the HTTP status that is sent with the code. */
  public int httpStatus() {
    return httpStatus;
  }
}
