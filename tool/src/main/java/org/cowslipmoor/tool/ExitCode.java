package org.cowslipmoor.tool;

/** Exit codes of the tool, described in docs/OPERATIONS.md. */
final class ExitCode {
  /** The command succeeded. */
  static final int OK = 0;

  /**
   * The call was rejected: the change is invalid or names something unknown. Also returned when
   * there is no configuration to show, and when a host does not have the newest revision.
   */
  static final int REJECTED = 1;

  /** The plan contains differences. */
  static final int DIFFERENCES = 2;

  /** Another change was applied first. */
  static final int CONFLICT = 3;

  /** The outcome is unknown; the call may be retried with the same operation id. */
  static final int UNKNOWN = 4;

  /** The command line is invalid. */
  static final int USAGE = 64;

  /** A file can't be read or is malformed. */
  static final int BAD_FILE = 65;

  /** The host, or the platform's service behind it, can't be reached. */
  static final int UNAVAILABLE = 69;

  private static final int CODE_CONFLICT = 2002;
  private static final int CODE_STORE_UNAVAILABLE = 2003;
  private static final int CODE_OUTCOME_UNKNOWN = 2004;

  private ExitCode() {}

  /** Returns the exit code for a result code of the operator calls. */
  static int of(int resultCode) {
    return switch (resultCode) {
      case 0 -> OK;
      case CODE_CONFLICT -> CONFLICT;
      case CODE_STORE_UNAVAILABLE -> UNAVAILABLE;
      case CODE_OUTCOME_UNKNOWN -> UNKNOWN;
      default -> REJECTED;
    };
  }
}
