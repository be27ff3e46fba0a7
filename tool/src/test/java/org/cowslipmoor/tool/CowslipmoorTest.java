package org.cowslipmoor.tool;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class CowslipmoorTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... args) {
    return Cowslipmoor.run(
        args, new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8));
  }

  @Test
  void helpListsTheCommands() {
    assertThat(run("--help"), is(0));
    assertThat(out.toString(UTF_8), containsString("drain-target"));
  }

  @Test
  void helpOfOneCommandListsItsOptions() {
    assertThat(run("drain-target", "--help"), is(0));
    assertThat(out.toString(UTF_8), containsString("--service"));
  }

  @Test
  void errorNamesUnknownCommand() {
    assertThat(run("fly"), is(64));
    assertThat(err.toString(UTF_8), containsString("fly"));
  }

  @Test
  void errorNamesMissingOption() {
    assertThat(run("locate", "--service", "stock"), is(64));
    assertThat(err.toString(UTF_8), containsString("--key"));
  }

  @Test
  void malformedFileIsRejectedBeforeAnyCall(@TempDir Path dir) throws Exception {
    Path file = Files.writeString(dir.resolve("setup.json"), "{\"members\": 7");
    assertThat(run("create", "--host", "127.0.0.1:1", "--file", file.toString()), is(65));
    assertThat(err.toString(UTF_8), containsString("setup.json"));
  }

  @Test
  void unreachableHostExitsAsUnavailable() {
    assertThat(run("rollout", "--host", "127.0.0.1:1"), is(69));
  }
}
