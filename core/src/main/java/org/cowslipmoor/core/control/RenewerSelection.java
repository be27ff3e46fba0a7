package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

/** Selects the hosts that renew the grants of a target by rendezvous hashing. */
final class RenewerSelection {
  /** Number of hosts that renew each target, so that the loss of one has no effect. */
  private static final int RENEWERS_PER_TARGET = 2;

  private RenewerSelection() {}

  /** Returns the renewers of a target among the live hosts. Takes time O(n log n) in the hosts. */
  static ImmutableList<String> of(String target, List<String> liveHosts) {
    return liveHosts.stream()
        .sorted(Comparator.comparingLong(host -> weight(host, target)))
        .limit(RENEWERS_PER_TARGET)
        .collect(ImmutableList.toImmutableList());
  }

  private static long weight(String host, String target) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(host, StandardCharsets.UTF_8)
        .putChar('/')
        .putString(target, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
