package org.cowslipmoor.daemon;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import org.tinylog.configuration.Configuration;

/** Starts the daemon. */
public final class Cowslipmoord {
  private static final int OK = 0;

  /** Exit code for an invalid command line or setting. */
  private static final int USAGE_ERROR = 64;

  /** Exit code when the daemon fails to start. */
  private static final int UNAVAILABLE = 69;

  /** Exit code when a graceful stop fails. */
  private static final int STOP_FAILED = 1;

  private Cowslipmoord() {}

  /**
   * The result of parsing the command line.
   *
   * @param settings the settings; null when the process is to exit
   * @param exitCode exit code of the process when there are no settings
   */
  record ParseResult(@Nullable DaemonSettings settings, int exitCode) {}

  /** Runs the daemon until the process receives a signal to stop. */
  public static void main(String[] args) throws Exception {
    ParseResult result = parseSettings(args, System.getenv(), System.err);
    DaemonSettings settings = result.settings();
    if (settings == null) {
      System.exit(result.exitCode());
      return;
    }
    configureLogging(settings);
    Daemon daemon;
    try {
      daemon = Daemon.start(settings);
    } catch (Exception e) {
      System.err.println("cowslipmoord: can't start: " + e);
      System.exit(UNAVAILABLE);
      return;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon)));
    new CountDownLatch(1).await();
  }

  /** Parses the settings, or prints the help text or the reason why they are invalid. */
  static ParseResult parseSettings(
      String[] args, Map<String, String> environment, PrintStream err) {
    SingleCommand<DaemonCommand> parser = SingleCommand.singleCommand(DaemonCommand.class);
    try {
      DaemonCommand command = parser.parse(args);
      if (command.help) {
        Help.help(parser.getCommandMetadata(), err);
        return new ParseResult(null, OK);
      }
      return new ParseResult(DaemonSettings.resolve(command.flags(), environment), OK);
    } catch (ParseException | IllegalArgumentException e) {
      err.println("cowslipmoord: " + e.getMessage());
      return new ParseResult(null, USAGE_ERROR);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Stops the daemon and exits, with {@link #STOP_FAILED} if the graceful stop fails. */
  private static void stop(Daemon daemon) {
    int code = OK;
    try {
      Logger.info("stopping");
      daemon.close();
      Logger.info("stopped");
    } catch (RuntimeException e) {
      Logger.error(e, "the graceful stop failed");
      code = STOP_FAILED;
    }
    // Otherwise the exit code would be that of the signal, as for a process that was killed.
    Runtime.getRuntime().halt(code);
  }

  private static void configureLogging(DaemonSettings settings) {
    Configuration.set("writer", "console");
    Configuration.set("writer.stream", "err");
    Configuration.set("writer.level", settings.logLevel());
    Configuration.set("level", settings.logLevel());
    Configuration.set("level@io.netty", "warn");
    Configuration.set("level@com.linecorp.armeria", "warn");
    Configuration.set(
        "writer.format",
        "time={date:yyyy-MM-dd'T'HH:mm:ss.SSS} level={level} host="
            + settings.id()
            + " from={class-name} message=\"{message}\"");
    Configuration.set("autoshutdown", "false");
  }
}
