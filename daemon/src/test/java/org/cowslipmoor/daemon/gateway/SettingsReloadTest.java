package org.cowslipmoor.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.daemon.settings.GatewaySettings;
import org.cowslipmoor.daemon.settings.SettingsMonitor;
import org.cowslipmoor.daemon.settings.SettingsWatcher;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a host whose settings file changes while it serves; the file holds the retry slack. */
final class SettingsReloadTest extends LoopbackGateway {
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(8);

  @TempDir private Path folder;
  private Path file;
  private SettingsWatcher watcher;

  private GatewaySettings decode(byte[] content) {
    GatewaySettings s = settings();
    return new GatewaySettings(
        s.host(),
        s.dataCentre(),
        s.callerAddress(),
        s.readyAddress(),
        s.peerAddress(),
        s.readyPath(),
        s.metricsAddress(),
        s.storeAddress(),
        s.leaseMillis(),
        s.maxHoldMillis(),
        s.configurationLimitMillis(),
        s.drainMillis(),
        s.graceMillis(),
        s.retryRatio(),
        Double.parseDouble(new String(content, StandardCharsets.US_ASCII)),
        s.retryWindowMillis(),
        s.linkBytesPerSecond(),
        s.cores());
  }

  private WebClient startWithFile() throws Exception {
    final WebClient client = start(view("sheets", RangeTable.empty()));
    file = Files.writeString(folder.resolve("settings"), "100");
    SettingsMonitor monitor =
        new SettingsMonitor(this::decode, Files.readAllBytes(file), System.nanoTime());
    host.showSettings(monitor);
    watcher = new SettingsWatcher(file, monitor, group.next(), host::onSettings);
    watcher.start();
    return client;
  }

  private void awaitPage(String path, String text) {
    long until = System.nanoTime() + TIMEOUT_NANOS;
    String page = "";
    while (!page.contains(text) && System.nanoTime() - until < 0) {
      page = metrics.get(path).aggregate().join().contentUtf8();
    }
    assertThat(page, containsString(text));
  }

  @Test
  void changeWithoutSignalIsInForce() throws Exception {
    startWithFile();
    Files.writeString(file, "70");

    awaitPage("/settings", "retry_slack = 70.0");
    awaitPage("/metrics", "cowslipmoor_settings_rejected_total 0\n");
  }

  @Test
  void changesWithSignalsEndInTheLastOne() throws Exception {
    startWithFile();
    Files.writeString(file, "70");
    watcher.onSignal();
    Files.writeString(file, "80");
    watcher.onSignal();

    awaitPage("/settings", "retry_slack = 80.0");
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "7x", "-1"})
  void badFileLeavesSettingsInForceUntilGoodOneFollows(String content) throws Exception {
    startWithFile();
    Files.writeString(file, content);
    watcher.onSignal();
    awaitPage("/metrics", "cowslipmoor_settings_rejected_total 1\n");
    awaitPage("/settings", "retry_slack = 100.0");

    Files.writeString(file, "90");
    awaitPage("/settings", "retry_slack = 90.0");
  }

  @Test
  void missingFileLeavesSettingsInForceUntilGoodOneFollows() throws Exception {
    startWithFile();
    Files.delete(file);
    watcher.onSignal();
    awaitPage("/metrics", "cowslipmoor_settings_rejected_total 1\n");

    Files.writeString(file, "90");
    awaitPage("/settings", "retry_slack = 90.0");
  }

  /** Guards against requests that a reload cuts, repeats or rejects. */
  @Test
  void reloadsUnderLoadCutRepeatAndRejectNothing() throws Exception {
    final ScriptedTarget t = target("t", ScriptedTarget.ok("sheet"));
    final ScriptedTarget u = target("u", ScriptedTarget.ok("sheet"));
    WebClient client = startWithFile();
    AtomicBoolean reloading = new AtomicBoolean(true);
    CompletableFuture<Void> reloads =
        CompletableFuture.runAsync(
            () -> {
              for (int i = 0; i < 12; i++) {
                try {
                  Files.writeString(file, i % 3 == 2 ? "bad" : "" + (50 + i));
                } catch (java.io.IOException e) {
                  throw new java.io.UncheckedIOException(e);
                }
                watcher.onSignal();
                awaitPage("/settings", i % 3 == 2 ? "retry_slack" : "retry_slack = " + (50 + i));
              }
              reloading.set(false);
            });
    List<Integer> statuses = new ArrayList<>();
    while (reloading.get()) {
      statuses.add(send(client, HttpMethod.POST, "/once/a", "order").status().code());
    }
    reloads.get(20, TimeUnit.SECONDS);

    assertThat(statuses, everyItem(is(200)));
    assertThat(statuses.size(), greaterThan(50));
    List<String> received = new ArrayList<>(t.requests);
    received.addAll(u.requests);
    assertThat(received, hasSize(statuses.size()));
  }
}
