package org.cowslipmoor.experiment;

import java.io.PrintStream;

/** A command of the experiment tool. */
interface ExperimentCommand {

  /** Runs the experiment, prints its results and returns the exit code. */
  int run(PrintStream out) throws Exception;
}
