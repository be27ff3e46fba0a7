package org.cowslipmoor.tool;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.Server;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class SettingsCommandTest {
  private final List<Server> servers = new ArrayList<>();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  @AfterEach
  void close() {
    servers.forEach(s -> s.stop().join());
  }

  private String host(String settings) {
    Server server =
        Server.builder()
            .http(0)
            .service("/settings", (ctx, request) -> HttpResponse.of(settings))
            .build();
    server.start().join();
    servers.add(server);
    return "127.0.0.1:" + server.activeLocalPort();
  }

  private static String page(String host, String slack) {
    return "# content 12ab34cd in force for 7.0 s, 0 rejected\n"
        + ("host = %s  # changes take effect after a restart\n"
                + "retry_slack = %s  # changes take effect immediately\n")
            .formatted(host, slack);
  }

  private int run(String... addresses) {
    String[] args = {"settings", "--metrics", String.join(",", addresses)};
    PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
    return Cowslipmoor.run(args, stream, stream);
  }

  private String printed() {
    return out.toString(StandardCharsets.UTF_8);
  }

  @Test
  void hostsWithTheSameSettingsAgree() {
    assertThat(run(host(page("a", "70")), host(page("b", "70"))), is(ExitCode.OK));
    assertThat(printed(), containsString("content 12ab34cd in force for 7.0 s"));
    assertThat(printed(), not(containsString("retry_slack")));
  }

  @Test
  void settingThatDiffersIsShownForEachHost() {
    String first = host(page("a", "70"));
    String second = host(page("b", "80"));

    assertThat(run(first, second), is(ExitCode.DIFFERENCES));
    assertThat(printed(), containsString("retry_slack at " + first + ": 70"));
    assertThat(printed(), containsString("retry_slack at " + second + ": 80"));
    assertThat(printed(), not(containsString("host at")));
  }

  @Test
  void settingThatWaitsForRestartIsShown() {
    String pending = page("a", "70") + "cores = 1  # changes take effect after a restart; ";

    assertThat(run(host(pending + "restart for 2\n")), is(ExitCode.DIFFERENCES));
    assertThat(printed(), containsString("1 (restart for 2)"));
  }

  @Test
  void hostThatDoesNotRespondIsNamed() {
    assertThat(run("127.0.0.1:9"), is(ExitCode.UNAVAILABLE));
    assertThat(printed(), containsString("127.0.0.1:9"));
  }
}
