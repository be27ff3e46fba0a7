package org.cowslipmoor.core.ownership;

import com.google.common.collect.ImmutableList;
import java.util.Set;

/**
 * Holds the hosts whose attestations are counted, and decides which sets of them are a majority.
 * Any two majorities share a host. With an even number of hosts, the half that contains the first
 * host is a majority.
 *
 * @param hosts ids of the hosts; the first one breaks ties
 */
public record Quorum(ImmutableList<String> hosts) {

  /**
   * Returns whether the given hosts are a majority. Takes time linear in the size of the quorum.
   */
  public boolean isMajority(Set<String> present) {
    int count = 0;
    for (String host : hosts) {
      count += present.contains(host) ? 1 : 0;
    }
    if (2 * count == hosts.size()) {
      return !hosts.isEmpty() && present.contains(hosts.get(0));
    }
    return 2 * count > hosts.size();
  }
}
