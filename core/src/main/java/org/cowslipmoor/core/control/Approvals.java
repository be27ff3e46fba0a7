package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSetMultimap;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.Member;

/**
 * Records which members of a data centre have approved which joining hosts.
 *
 * @param dataCentre the data centre
 * @param membersByCandidate ids of the approving members, by candidate key
 */
public record Approvals(
    String dataCentre, ImmutableSetMultimap<String, String> membersByCandidate) {

  /** Returns the key of a joining host; a changed address makes it another candidate. */
  public static String candidateKey(Member member) {
    return member.id() + "@" + member.ip() + ":" + member.memberPort();
  }

  /** Returns the keys of all joining hosts of the configuration. */
  static ImmutableSet<String> candidateKeys(Configuration configuration) {
    return configuration.joining().stream()
        .map(Approvals::candidateKey)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns a record of the data centre without approvals. */
  public static Approvals empty(String dataCentre) {
    return new Approvals(dataCentre, ImmutableSetMultimap.of());
  }
}
