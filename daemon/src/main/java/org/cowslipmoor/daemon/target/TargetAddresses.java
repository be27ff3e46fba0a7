package org.cowslipmoor.daemon.target;

import com.google.common.net.HostAndPort;
import org.cowslipmoor.core.configuration.Target;

/** Formats the addresses of targets. */
public final class TargetAddresses {
  private TargetAddresses() {}

  /** Returns the address of a target, as {@code ip:port}. */
  public static String of(Target target) {
    return HostAndPort.fromParts(target.ip(), target.port()).toString();
  }
}
