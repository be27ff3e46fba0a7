package org.cowslipmoor.testing.program;

/** A command of {@link StandIn}. */
interface ProgramCommand {

  /** Runs the command and returns the exit code of the process. */
  int run() throws Exception;
}
