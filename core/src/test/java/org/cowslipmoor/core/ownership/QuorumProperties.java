package org.cowslipmoor.core.ownership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import java.util.HashSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

final class QuorumProperties {
  @Property(seed = "1")
  void twoMajoritiesShareHost(
      @ForAll @IntRange(min = 1, max = 9) int size,
      @ForAll @IntRange(max = 511) int firstBits,
      @ForAll @IntRange(max = 511) int secondBits) {
    ImmutableList.Builder<String> hosts = ImmutableList.builder();
    for (int i = 0; i < size; i++) {
      hosts.add("host-" + i);
    }
    Quorum quorum = new Quorum(hosts.build());
    Set<String> firstHosts = subset(quorum, firstBits);
    Set<String> secondHosts = subset(quorum, secondBits);
    boolean bothMajorities = quorum.isMajority(firstHosts) && quorum.isMajority(secondHosts);
    assertThat(bothMajorities && Sets.intersection(firstHosts, secondHosts).isEmpty(), is(false));
    assertThat(quorum.isMajority(new HashSet<>(quorum.hosts())), is(true));
  }

  private static Set<String> subset(Quorum quorum, int bitMask) {
    Set<String> chosen = new HashSet<>();
    for (int i = 0; i < quorum.hosts().size(); i++) {
      if ((bitMask >> i & 1) == 1) {
        chosen.add(quorum.hosts().get(i));
      }
    }
    return chosen;
  }
}
