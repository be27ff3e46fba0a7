package org.cowslipmoor.core.routing;

/** Whether the requests of a route may run more than once, and the size of their bodies. */
public enum RequestKind {
  /** May run more than once. */
  SAFE(true),
  /** May run at most once. */
  UNSAFE(false),
  /** May run more than once; the response is large. */
  DOWNLOAD(true),
  /** May run at most once; the request is large. */
  UPLOAD(false);

  private final boolean repeatable;

  RequestKind(boolean repeatable) {
    this.repeatable = repeatable;
  }

  /** Returns whether requests of this kind may run more than once. */
  public boolean isRepeatable() {
    return repeatable;
  }
}
