package org.cowslipmoor.experiment;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Command-line tool that runs experiments and measurements on the decision code. */
public final class Experiment {
  private static final int USAGE_ERROR = 64;

  private Experiment() {}

  /** Runs the experiment given by the arguments and exits with its exit code. */
  public static void main(String[] args) throws Exception {
    Object command;
    try {
      command = cli().parse(args);
    } catch (ParseException e) {
      System.err.println("experiment: " + e.getMessage());
      System.exit(USAGE_ERROR);
      return;
    }
    if (command instanceof ExperimentCommand c) {
      System.exit(c.run(System.out));
    } else {
      ((Help<?>) command).run();
    }
  }

  private static Cli<Object> cli() {
    return Cli.<Object>builder("experiment")
        .withDescription("Runs experiments on the decision code over fakes in virtual time")
        .withDefaultCommand(Help.class)
        .withCommands(
            Help.class,
            InvariantsCommand.class,
            BalanceCommand.class,
            PlacementCommand.class,
            SpilloverCommand.class,
            LeavingCommand.class,
            ColdCommand.class,
            OverloadCommand.class,
            FailuresCommand.class,
            CapacityCommand.class)
        .build();
  }
}
