package org.cowslipmoor.daemon.settings;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.function.Function;

/**
 * Every setting of a host, with when a changed value takes effect.
 *
 * <p>While a change is under way, hosts with old and new values serve side by side. Either mixture
 * is safe: a host's part of the shared retries follows from its own limits, so that all hosts
 * together stay within the larger of the two; a host bounds the age of its configuration by its own
 * limit alone; and a coordinator keeps the lease and hold times with which it started, so that they
 * never change within a term.
 */
public enum HostSetting {
  HOST(Effect.AFTER_RESTART, GatewaySettings::host),
  DATA_CENTRE(Effect.AFTER_RESTART, GatewaySettings::dataCentre),
  CALLER_ADDRESS(Effect.AFTER_RESTART, GatewaySettings::callerAddress),
  READY_ADDRESS(Effect.AFTER_RESTART, GatewaySettings::readyAddress),
  PEER_ADDRESS(Effect.AFTER_RESTART, GatewaySettings::peerAddress),
  READY_PATH(Effect.AFTER_RESTART, GatewaySettings::readyPath),
  METRICS_ADDRESS(Effect.AFTER_RESTART, GatewaySettings::metricsAddress),
  STORE_ADDRESS(Effect.NEXT_CALL, GatewaySettings::storeAddress),
  LEASE_MILLIS(Effect.AFTER_RESTART, GatewaySettings::leaseMillis),
  MAX_HOLD_MILLIS(Effect.AFTER_RESTART, GatewaySettings::maxHoldMillis),
  CONFIGURATION_LIMIT_MILLIS(Effect.IMMEDIATELY, GatewaySettings::configurationLimitMillis),
  DRAIN_MILLIS(Effect.IMMEDIATELY, GatewaySettings::drainMillis),
  GRACE_MILLIS(Effect.IMMEDIATELY, GatewaySettings::graceMillis),
  RETRY_RATIO(Effect.IMMEDIATELY, GatewaySettings::retryRatio),
  RETRY_SLACK(Effect.IMMEDIATELY, GatewaySettings::retrySlack),
  RETRY_WINDOW_MILLIS(Effect.IMMEDIATELY, GatewaySettings::retryWindowMillis),
  LINK_BYTES_PER_SECOND(Effect.AFTER_RESTART, GatewaySettings::linkBytesPerSecond),
  CORES(Effect.AFTER_RESTART, GatewaySettings::cores),
  COLD_RATE_FACTOR(Effect.IMMEDIATELY, s -> s.targetLimits().coldRateFactor()),
  COLD_RATE_SLACK(Effect.IMMEDIATELY, s -> s.targetLimits().coldRateSlack()),
  EVACUATION_MILLIS(Effect.IMMEDIATELY, s -> s.targetLimits().evacuationMillis());

  private final Effect effect;

  @SuppressWarnings("ImmutableEnumChecker") // The getters are method references.
  private final Function<GatewaySettings, Object> getter;

  /** When a changed value takes effect. */
  public enum Effect {
    /** For all decisions from now on; what is under way is not affected. */
    IMMEDIATELY("immediately"),
    /** For the next call and connection. */
    NEXT_CALL("with the next call"),
    /** When the process is started again. */
    AFTER_RESTART("after a restart");

    private final String text;

    Effect(String text) {
      this.text = text;
    }

    /** Returns the effect in words, for operators. */
    public String text() {
      return text;
    }
  }

  HostSetting(Effect effect, Function<GatewaySettings, Object> getter) {
    this.effect = effect;
    this.getter = getter;
  }

  /** Returns when a changed value takes effect. */
  public Effect effect() {
    return effect;
  }

  /** Returns the name of the setting for operators. */
  public String label() {
    return Ascii.toLowerCase(name());
  }

  /** Returns the value in the given settings. */
  public Object value(GatewaySettings settings) {
    return getter.apply(settings);
  }

  /** Returns the settings whose values differ. */
  public static ImmutableList<HostSetting> differing(GatewaySettings a, GatewaySettings b) {
    return Arrays.stream(values())
        .filter(s -> !s.value(a).equals(s.value(b)))
        .collect(ImmutableList.toImmutableList());
  }
}
