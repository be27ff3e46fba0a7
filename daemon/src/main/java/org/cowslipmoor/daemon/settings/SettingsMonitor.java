package org.cowslipmoor.daemon.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Decides which settings are in force while the settings file changes. Does no I/O; times are
 * nanoseconds. Not thread-safe.
 *
 * <p>New settings take effect as a whole or not at all. A file that is being written may be valid
 * by chance, with a value cut short; its content is therefore used only once it has stayed the same
 * for {@link #SETTLING_NANOS}.
 */
public final class SettingsMonitor {
  /** Time for which new content must not change before it is used. */
  public static final long SETTLING_NANOS = 200_000_000L;

  private final Decoder decoder;
  private final GatewaySettings startedWith;
  private GatewaySettings inForce;
  private GatewaySettings newest;
  private byte[] usedContent;
  private byte[] candidate;
  private long candidateSince;
  private boolean isCandidateDecided;
  private long inForceSince;
  private long rejections;

  /** Decodes the content of a settings file. */
  public interface Decoder {
    /**
     * Returns the settings.
     *
     * @throws IllegalArgumentException if a setting is missing or invalid, with a message that
     *     names it
     */
    GatewaySettings decode(byte[] content);
  }

  /** What follows from a look at the file. */
  public sealed interface Outcome {
    /** Nothing changes. */
    record Unchanged() implements Outcome {}

    /** The content is new; it must be looked at again after {@link #SETTLING_NANOS}. */
    record Settling() implements Outcome {}

    /**
     * The content can't be used, and all settings stay as they are.
     *
     * @param reason why, naming the setting
     */
    record Rejected(String reason) implements Outcome {}

    /**
     * New settings are in force.
     *
     * @param settings the settings in force
     * @param changed the settings that changed with immediate effect
     * @param pending the settings whose new value takes effect after a restart
     */
    record Applied(
        GatewaySettings settings,
        ImmutableList<HostSetting> changed,
        ImmutableList<HostSetting> pending)
        implements Outcome {}
  }

  /** Creates the monitor of a host that started with the given content of its settings file. */
  public SettingsMonitor(Decoder decoder, byte[] content, long now) {
    this.decoder = decoder;
    this.startedWith = decoder.decode(content);
    this.inForce = startedWith;
    this.newest = startedWith;
    this.usedContent = content;
    this.candidate = content;
    this.isCandidateDecided = true;
    this.inForceSince = now;
  }

  /** Decides on the content of the file; null if there is no readable file. */
  public Outcome onContent(byte @Nullable [] read, long now) {
    byte[] content = read == null ? new byte[0] : read;
    if (!Arrays.equals(content, candidate)) {
      candidate = content;
      candidateSince = now;
      isCandidateDecided = Arrays.equals(content, usedContent);
      return isCandidateDecided ? new Outcome.Unchanged() : new Outcome.Settling();
    }
    if (isCandidateDecided || now - candidateSince < SETTLING_NANOS) {
      return new Outcome.Unchanged();
    }
    isCandidateDecided = true;
    if (read == null) {
      return reject("the file is missing or can't be read");
    }
    try {
      return apply(decoder.decode(content), now);
    } catch (IllegalArgumentException e) {
      return reject(String.valueOf(e.getMessage()));
    }
  }

  private Outcome reject(String reason) {
    rejections++;
    return new Outcome.Rejected(reason);
  }

  private Outcome apply(GatewaySettings settings, long now) {
    final GatewaySettings before = inForce;
    usedContent = candidate;
    newest = settings;
    inForce = startedWith.withReloadable(settings);
    inForceSince = now;
    return new Outcome.Applied(inForce, HostSetting.differing(before, inForce), pending());
  }

  /** Returns the settings in force. */
  public GatewaySettings inForce() {
    return inForce;
  }

  /** Returns the settings whose value in the file takes effect after a restart. */
  public ImmutableList<HostSetting> pending() {
    return HostSetting.differing(inForce, newest);
  }

  /** Returns for how many nanoseconds the settings have been in force. */
  public long age(long now) {
    return now - inForceSince;
  }

  /** Returns how often content was rejected. */
  public long rejections() {
    return rejections;
  }

  /** Returns a number that identifies the content whose settings are in force. */
  public long contentHash() {
    return Integer.toUnsignedLong(Hashing.sha256().hashBytes(usedContent).asInt());
  }

  /** Returns all settings as text, one a line, for operators. */
  public String describe(long now) {
    StringBuilder text = new StringBuilder();
    text.append(
        "# content %08x in force for %.1f s, %d rejected\n"
            .formatted(contentHash(), age(now) / 1e9, rejections));
    ImmutableList<HostSetting> pending = pending();
    for (HostSetting s : HostSetting.values()) {
      text.append(s.label()).append(" = ").append(s.value(inForce));
      text.append("  # changes take effect ").append(s.effect().text());
      if (pending.contains(s)) {
        text.append("; restart for ").append(s.value(newest));
      }
      text.append('\n');
    }
    return text.toString();
  }
}
