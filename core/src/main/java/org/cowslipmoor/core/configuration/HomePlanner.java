package org.cowslipmoor.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Assigns a home data centre to each shard of a new service. */
final class HomePlanner {
  private HomePlanner() {}

  /**
   * Distributes the shards over the data centres that have both targets and members, in proportion
   * to their numbers of targets, by smooth weighted round-robin. Takes time proportional to shards
   * times data centres.
   *
   * @throws IllegalArgumentException if no data centre has both targets and members
   */
  static ImmutableList<String> plan(Service service, List<Member> members) {
    TreeMap<String, Integer> weights = new TreeMap<>();
    for (Target t : service.targets()) {
      boolean hasMember = members.stream().anyMatch(m -> m.dataCentre().equals(t.dataCentre()));
      if (hasMember) {
        weights.merge(t.dataCentre(), 1, Integer::sum);
      }
    }
    checkArgument(
        !weights.isEmpty(),
        "keyed service %s needs a target in a data centre that has a member",
        service.name());
    List<String> names = new ArrayList<>(weights.keySet());
    double[] credit = new double[names.size()];
    double total = weights.values().stream().mapToInt(Integer::intValue).sum();
    ImmutableList.Builder<String> homes = ImmutableList.builderWithExpectedSize(service.shards());
    for (int shard = 0; shard < service.shards(); shard++) {
      int best = 0;
      for (int i = 0; i < credit.length; i++) {
        credit[i] += weights.getOrDefault(names.get(i), 0) / total;
        best = credit[i] > credit[best] ? i : best;
      }
      credit[best] -= 1;
      homes.add(names.get(best));
    }
    return homes.build();
  }
}
