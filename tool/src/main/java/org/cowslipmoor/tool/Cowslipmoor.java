package org.cowslipmoor.tool;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import com.google.common.collect.ImmutableSet;
import io.grpc.StatusRuntimeException;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.List;
import org.tinylog.configuration.Configuration;

/** The operators' command-line tool. */
public final class Cowslipmoor {
  private static final ImmutableSet<String> HELP_FLAGS = ImmutableSet.of("-h", "--help");

  private Cowslipmoor() {}

  /** Runs the command given by the arguments and exits with its exit code. */
  public static void main(String[] args) {
    Configuration.set("level", "error");
    Configuration.set("writer", "console");
    Configuration.set("writer.stream", "err");
    System.exit(run(args, System.out, System.err));
  }

  /** Runs the command given by the arguments and returns its exit code. */
  static int run(String[] args, PrintStream out, PrintStream err) {
    List<String> arguments = List.of(args);
    if (arguments.stream().anyMatch(HELP_FLAGS::contains)) {
      return printHelp(arguments, out);
    }
    Object command;
    try {
      command = cli().parse(args);
    } catch (ParseException e) {
      err.println("cowslipmoor: " + e.getMessage());
      return ExitCode.USAGE;
    }
    if (!(command instanceof ToolCommand tool)) {
      if (!arguments.isEmpty() && !arguments.get(0).equals("help")) {
        err.println(
            "cowslipmoor: unknown command '" + arguments.get(0) + "'; see cowslipmoor help");
        return ExitCode.USAGE;
      }
      return printHelp(arguments, out);
    }
    try {
      return tool.run(out);
    } catch (ToolCommand.UsageException e) {
      err.println("cowslipmoor: " + e.getMessage());
      return ExitCode.USAGE;
    } catch (ToolCommand.BadFileException e) {
      err.println("cowslipmoor: " + e.getMessage());
      return ExitCode.BAD_FILE;
    } catch (StatusRuntimeException | IOException e) {
      err.println("cowslipmoor: the host did not respond: " + e.getMessage());
      return ExitCode.UNAVAILABLE;
    }
  }

  /** Prints the help of the first command in the arguments, or the overview if there is none. */
  private static int printHelp(List<String> arguments, PrintStream out) {
    List<String> commandNames =
        arguments.stream().filter(a -> !a.startsWith("-") && !a.equals("help")).limit(1).toList();
    try {
      Help.help(cli().getMetadata(), commandNames, out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return ExitCode.OK;
  }

  private static Cli<Object> cli() {
    return Cli.<Object>builder("cowslipmoor")
        .withDescription("Creates, changes and inspects a setup of cowslipmoor hosts")
        .withDefaultCommand(Help.class)
        .withCommands(
            Help.class,
            CreateCommand.class,
            GetCommand.class,
            PlanCommand.class,
            ApplyCommand.class,
            AddMemberCommand.class,
            ApproveMemberCommand.class,
            RemoveMemberCommand.class,
            PutServiceCommand.class,
            RemoveServiceCommand.class,
            AddTargetCommand.class,
            DrainTargetCommand.class,
            RemoveTargetCommand.class,
            LocateCommand.class,
            RolloutCommand.class,
            DumpCommand.class,
            SettingsCommand.class)
        .build();
  }
}
