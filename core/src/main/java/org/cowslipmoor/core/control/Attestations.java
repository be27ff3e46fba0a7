package org.cowslipmoor.core.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.cowslipmoor.core.ownership.OwnershipTable;

/** Collects attestations and finds the latest time since which a majority has attested. */
final class Attestations {
  private final List<Attestation> attestations = new ArrayList<>();

  private record Attestation(String host, long requestedAt) {}

  /** Adds the attestation of a host, with the time at which it was requested. */
  void add(String host, long requestedAt) {
    attestations.add(new Attestation(host, requestedAt));
  }

  /**
   * Returns the latest time such that a majority attested at or after it; empty if there is none.
   * Takes time O(n²) in the number of attesting hosts.
   */
  OptionalLong majorityTime(OwnershipTable table, Collection<String> excluded) {
    // In the order from newest to oldest, the shortest prefix that is a majority has the latest
    // possible oldest attestation.
    attestations.sort(Comparator.comparingLong(Attestation::requestedAt).reversed());
    Set<String> hosts = new HashSet<>();
    for (Attestation a : attestations) {
      if (!excluded.contains(a.host())) {
        hosts.add(a.host());
        if (table.isMajority(hosts)) {
          return OptionalLong.of(a.requestedAt());
        }
      }
    }
    return OptionalLong.empty();
  }
}
