package org.cowslipmoor.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;

final class DaemonSettingsTest {
  private static final Map<DaemonSetting, String> FLAGS =
      Map.of(DaemonSetting.ID, "host-1", DaemonSetting.DATA_CENTRE, "cairo");

  @Test
  void flagOverridesEnvironmentVariableOverridesDefault() {
    DaemonSettings settings =
        DaemonSettings.resolve(
            FLAGS, Map.of("COWSLIPMOOR_ID", "other", "COWSLIPMOOR_CALLER_PORT", "8100"));
    assertThat(settings.id(), is("host-1"));
    assertThat(settings.callerPort(), is(8100));
    assertThat(settings.operatorPort(), is(7200));
    assertThat(settings.values().get("id"), is("host-1 (flag --id)"));
    assertThat(settings.values().get("operator-port"), is("7200 (default)"));
  }

  @Test
  void missingSettingIsReportedByName() {
    IllegalArgumentException e =
        assertThrows(
            IllegalArgumentException.class, () -> DaemonSettings.resolve(Map.of(), Map.of()));
    assertThat(e.getMessage(), containsString("--id"));
    assertThat(e.getMessage(), containsString("COWSLIPMOOR_ID"));
  }

  @Test
  void invalidSettingIsReportedWithNameValueAndAcceptedValues() {
    IllegalArgumentException e =
        assertThrows(
            IllegalArgumentException.class,
            () -> DaemonSettings.resolve(FLAGS, Map.of("COWSLIPMOOR_MEMBER_PORT", "70000")));
    assertThat(e.getMessage(), containsString("--member-port"));
    assertThat(e.getMessage(), containsString("70000"));
    assertThat(e.getMessage(), containsString("1 to 65535"));
  }

  @Test
  void addressWithHostNameIsRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> DaemonSettings.resolve(FLAGS, Map.of("COWSLIPMOOR_PLATFORM", "store:7400")));
  }
}
