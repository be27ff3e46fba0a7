package org.cowslipmoor.daemon.settings;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Looks at the settings file every second and when signalled, and applies new settings. Confined to
 * one event loop, except {@link #onSignal}.
 */
public final class SettingsWatcher {
  /** Interval between looks at the file without a signal. */
  static final long INTERVAL_MILLIS = 1_000;

  /** Longest file that is read. */
  private static final long MAX_FILE_BYTES = 1 << 20;

  private static final long SETTLING_MILLIS =
      TimeUnit.NANOSECONDS.toMillis(SettingsMonitor.SETTLING_NANOS) + 1;

  private final Path file;
  private final SettingsMonitor monitor;
  private final EventLoop loop;
  private final Listener listener;

  /** Is notified of new settings. */
  public interface Listener {
    /** Called on the event loop when settings have changed with immediate effect. */
    void onSettings(GatewaySettings settings);
  }

  /** Creates a watcher that has not started. */
  public SettingsWatcher(Path file, SettingsMonitor monitor, EventLoop loop, Listener listener) {
    this.file = file;
    this.monitor = monitor;
    this.loop = loop;
    this.listener = listener;
  }

  /** Starts to look at the file periodically. */
  public void start() {
    loop.scheduleWithFixedDelay(
        this::look, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Looks at the file now, because a signal announces that it has changed. Thread-safe. */
  public void onSignal() {
    loop.execute(
        () -> {
          Logger.info("event=settings_signal");
          look();
        });
  }

  /** Looks at the file; an exception must not cancel the repetition. */
  private void look() {
    try {
      apply(monitor.onContent(read(), System.nanoTime()));
    } catch (RuntimeException e) {
      Logger.error(e, "looking at the settings file {} failed", file);
    }
  }

  private void apply(SettingsMonitor.Outcome outcome) {
    switch (outcome) {
      case SettingsMonitor.Outcome.Unchanged o -> {}
      case SettingsMonitor.Outcome.Settling o ->
          loop.schedule(this::look, SETTLING_MILLIS, TimeUnit.MILLISECONDS);
      case SettingsMonitor.Outcome.Rejected o ->
          Logger.error(
              "event=settings_rejected file={} reason=\"{}\"; the settings stay as they were",
              file,
              o.reason());
      case SettingsMonitor.Outcome.Applied o -> {
        Logger.info(
            "event=settings_applied content={} changed={}",
            "%08x".formatted(monitor.contentHash()),
            o.changed());
        for (HostSetting s : o.pending()) {
          Logger.warn("event=settings_pending setting={} effect=\"after a restart\"", s.label());
        }
        listener.onSettings(o.settings());
      }
    }
  }

  private byte @Nullable [] read() {
    try {
      return Files.size(file) > MAX_FILE_BYTES ? null : Files.readAllBytes(file);
    } catch (IOException e) {
      return null;
    }
  }
}
