package org.cowslipmoor.core.routing;

/** Tells what may be done with a request more than once. */
public enum RequestKind {
  /** May run more than once. */
  SAFE(true),
  /** May run once at most. */
  UNSAFE(false),
  /** May run more than once; its answer is large. */
  DOWNLOAD(true);

  private final boolean repeatable;

  RequestKind(boolean repeatable) {
    this.repeatable = repeatable;
  }

  /** Returns whether a request of this kind may run more than once. */
  public boolean isRepeatable() {
    return repeatable;
  }
}
