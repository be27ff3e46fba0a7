package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSetMultimap;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.Member;

/**
 * Records which members of a data centre have approved which joining hosts.
 *
 * @param dataCentre the data centre
 * @param membersByCandidate ids of the members that approve, by candidate
 */
public record Approvals(
    String dataCentre, ImmutableSetMultimap<String, String> membersByCandidate) {

  /** Returns what stands for a joining host: another address makes it another candidate. */
  public static String candidateKey(Member m) {
    return m.id() + "@" + m.ip() + ":" + m.memberPort();
  }

  /** Returns what stands for each host that wants to join. */
  static ImmutableSet<String> candidateKeys(Configuration configuration) {
    return configuration.joining().stream()
        .map(Approvals::candidateKey)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns approvals of nobody. */
  public static Approvals empty(String dataCentre) {
    return new Approvals(dataCentre, ImmutableSetMultimap.of());
  }
}
