package org.cowslipmoor.core.range;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.function.Function;
import org.cowslipmoor.core.discovery.DiscoveredTarget;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;

/**
 * The inputs of the coordinator's decisions.
 *
 * @param services names of the keyed services
 * @param directory the announced targets
 * @param loads returns the measured load of a service
 * @param leaseRecentlyRenewed whether the coordinator's lease was renewed recently; if not, grants
 *     get the long hold, since the store may be unavailable
 * @param cold targets that get keys only if no other target of the service can take them
 */
public record RangeInputs(
    ImmutableSet<String> services,
    TargetDirectory directory,
    Function<String, ServiceLoad> loads,
    boolean leaseRecentlyRenewed,
    ImmutableSet<TargetIncarnation> cold) {

  /** Creates the inputs when no target is cold. */
  public RangeInputs(
      ImmutableSet<String> services,
      TargetDirectory directory,
      Function<String, ServiceLoad> loads,
      boolean leaseRecentlyRenewed) {
    this(services, directory, loads, leaseRecentlyRenewed, ImmutableSet.of());
  }

  /** Returns the targets that are not cold; all of them if every one is. */
  ImmutableList<DiscoveredTarget> preferred(ImmutableList<DiscoveredTarget> targets) {
    ImmutableList<DiscoveredTarget> warm =
        targets.stream()
            .filter(t -> !cold.contains(t.incarnation()))
            .collect(ImmutableList.toImmutableList());
    return warm.isEmpty() ? targets : warm;
  }
}
