package org.cowslipmoor.daemon.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import org.cowslipmoor.core.discovery.TargetLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The content of a file is {@code host retry-slack grace-millis cores}. */
final class SettingsMonitorTest {
  private static final long SETTLED = SettingsMonitor.SETTLING_NANOS;

  private final SettingsMonitor monitor =
      new SettingsMonitor(SettingsMonitorTest::decode, bytes("h 100 600 1"), 0);

  static byte[] bytes(String content) {
    return content.getBytes(StandardCharsets.US_ASCII);
  }

  static GatewaySettings decode(byte[] content) {
    String[] values = new String(content, StandardCharsets.US_ASCII).split(" ", -1);
    if (values.length != 4) {
      throw new IllegalArgumentException("setting " + values.length + " is missing");
    }
    return new GatewaySettings(
        values[0],
        "cairo",
        "127.0.0.1:1",
        "127.0.0.1:2",
        "127.0.0.1:3",
        "/ready",
        "127.0.0.1:4",
        "127.0.0.1:5",
        1_500,
        10_000,
        2_000,
        2_000,
        Long.parseLong(values[2]),
        0.2,
        Double.parseDouble(values[1]),
        10_000,
        1e8,
        Double.parseDouble(values[3]));
  }

  private SettingsMonitor.Outcome change(String content, long at) {
    assertThat(
        monitor.onContent(bytes(content), at), instanceOf(SettingsMonitor.Outcome.Settling.class));
    return monitor.onContent(bytes(content), at + SETTLED);
  }

  @Test
  void changedSettingIsInForceOnceTheFileHasSettled() {
    monitor.onContent(bytes("h 70 600 1"), 10);
    assertThat(monitor.inForce().retrySlack(), is(100.0));

    SettingsMonitor.Outcome o = monitor.onContent(bytes("h 70 600 1"), 10 + SETTLED);

    assertThat(((SettingsMonitor.Outcome.Applied) o).changed(), contains(HostSetting.RETRY_SLACK));
    assertThat(monitor.inForce().retrySlack(), is(70.0));
    assertThat(monitor.age(10 + SETTLED + 7), is(7L));
  }

  /** Guards against a value that is cut short while the file is being written. */
  @Test
  void halfWrittenContentIsNotUsedThoughItIsValid() {
    monitor.onContent(bytes("h 700 600 0"), 10);
    SettingsMonitor.Outcome o = monitor.onContent(bytes("h 700 600 0.9"), 10 + SETTLED);

    assertThat(o, instanceOf(SettingsMonitor.Outcome.Settling.class));
    assertThat(monitor.inForce().retrySlack(), is(100.0));
  }

  /** A file with one bad value changes nothing, and is reported once. */
  @ParameterizedTest
  @ValueSource(strings = {"h 70 600", "", "h -1 600 1", "h 70 0 1", "h 70 600 -1", "h x 600 1"})
  void badContentLeavesAllSettingsInForce(String content) {
    SettingsMonitor.Outcome o = change(content, 10);

    assertThat(o, instanceOf(SettingsMonitor.Outcome.Rejected.class));
    assertThat(monitor.inForce(), is(decode(bytes("h 100 600 1"))));
    assertThat(
        monitor.onContent(bytes(content), 5 * SETTLED),
        instanceOf(SettingsMonitor.Outcome.Unchanged.class));
    assertThat(monitor.rejections(), is(1L));
    assertThat(
        change("h 60 600 1", 9 * SETTLED), instanceOf(SettingsMonitor.Outcome.Applied.class));
  }

  @Test
  void rejectionNamesTheSetting() {
    assertThat(
        ((SettingsMonitor.Outcome.Rejected) change("h 70 0 1", 10)).reason(),
        containsString("graceMillis"));
  }

  @Test
  void missingFileLeavesAllSettingsInForce() {
    monitor.onContent(null, 10);
    SettingsMonitor.Outcome o = monitor.onContent(null, 10 + SETTLED);

    assertThat(o, instanceOf(SettingsMonitor.Outcome.Rejected.class));
    assertThat(monitor.inForce().retrySlack(), is(100.0));
  }

  @Test
  void contentThatReturnsToWhatIsInForceChangesNothing() {
    monitor.onContent(bytes("h 70 600 1"), 10);

    assertThat(
        monitor.onContent(bytes("h 100 600 1"), 10 + SETTLED),
        instanceOf(SettingsMonitor.Outcome.Unchanged.class));
  }

  @Test
  void ofTwoChangesInQuickSuccessionTheLastIsInForce() {
    monitor.onContent(bytes("h 70 600 1"), 10);
    change("h 80 600 1", 20);

    assertThat(monitor.inForce().retrySlack(), is(80.0));
  }

  @Test
  void settingThatNeedsRestartIsPendingAndNotInForce() {
    SettingsMonitor.Outcome.Applied o = (SettingsMonitor.Outcome.Applied) change("h 70 600 2", 10);

    assertThat(o.pending(), contains(HostSetting.CORES));
    assertThat(o.changed(), contains(HostSetting.RETRY_SLACK));
    assertThat(monitor.inForce().cores(), is(1.0));
    assertThat(monitor.describe(0), containsString("cores = 1.0  # changes take effect after a"));
    assertThat(monitor.describe(0), containsString("restart for 2.0"));
  }

  @Test
  void everySettingIsDeclaredOnce() {
    // The limits on targets are one component of the settings, and a setting each.
    int settings =
        GatewaySettings.class.getRecordComponents().length
            - 1
            + TargetLimits.class.getRecordComponents().length;
    assertThat(HostSetting.values().length, is(settings));
  }
}
