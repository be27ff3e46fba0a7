package org.cowslipmoor.testing.program;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.tinylog.configuration.Configuration;

/** Command-line program that runs the stand-ins, the load and the checks. */
public final class StandIn {
  private static final int USAGE_ERROR = 64;

  private StandIn() {}

  /** Runs the command that the arguments name. */
  public static void main(String[] args) throws Exception {
    Configuration.set("writer", "console");
    Configuration.set("writer.stream", "err");
    Configuration.set("level", System.getenv().getOrDefault("STAND_IN_LOG_LEVEL", "warn"));
    CliBuilder<Object> builder =
        Cli.<Object>builder("cowslipmoor-stand-in")
            .withDescription(
                "Runs stand-ins for the platform and for targets, and a load that checks responses")
            .withDefaultCommand(Help.class)
            .withCommands(
                Help.class,
                PlatformCommand.class,
                TargetCommand.class,
                LoadCommand.class,
                JudgeCommand.class,
                OverheadCommand.class);
    Object command;
    try {
      command = builder.build().parse(args);
    } catch (ParseException e) {
      System.err.println("cowslipmoor-stand-in: " + e.getMessage());
      System.exit(USAGE_ERROR);
      return;
    }
    if (command instanceof ProgramCommand c) {
      System.exit(c.run());
    } else if (command instanceof Runnable r) {
      r.run();
    }
  }
}
