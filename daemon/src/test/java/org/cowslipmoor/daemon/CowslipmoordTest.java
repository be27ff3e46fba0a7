package org.cowslipmoor.daemon;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class CowslipmoordTest {
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int resolve(String... args) {
    return Cowslipmoord.parseSettings(args, Map.of(), new PrintStream(err, true, UTF_8)).exitCode();
  }

  @Test
  void invalidSettingsAreReportedWithNameValueAndAcceptedValues() {
    int code = resolve("--id", "host-1", "--data-centre", "cairo", "--caller-port", "70000");
    assertThat(code, is(64));
    assertThat(
        err.toString(UTF_8),
        allOf(containsString("--caller-port"), containsString("70000"), containsString("65535")));
  }

  @Test
  void unknownFlagsAreReportedByName() {
    assertThat(resolve("--id", "host-1", "--colour", "red"), is(64));
    assertThat(err.toString(UTF_8), containsString("--colour"));
  }

  @Test
  void helpListsTheFlagsAndExitsWithZero() {
    assertThat(resolve("--help"), is(0));
    assertThat(err.toString(UTF_8), containsString("--stop-limit-ms"));
  }
}
