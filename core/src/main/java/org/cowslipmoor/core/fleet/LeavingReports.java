package org.cowslipmoor.core.fleet;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.discovery.TargetIncarnation;

/**
 * Selects the leaving targets that a host reports to the coordinator: those that no state of the
 * coordinator has listed. Not thread-safe.
 */
public final class LeavingReports {
  private final Set<TargetIncarnation> confirmed = new HashSet<>();
  private StorePlace term = StorePlace.START;

  private LeavingReports() {}

  /** Creates an instance for a host that knows no coordinator. */
  public static LeavingReports create() {
    return new LeavingReports();
  }

  /**
   * Records the coordinator's term. The coordinator of another term may not have received what its
   * predecessor has listed.
   */
  public void onTerm(StorePlace newTerm) {
    if (!newTerm.equals(term)) {
      term = newTerm;
      confirmed.clear();
    }
  }

  /** Records a state that the coordinator has sent. */
  public void onState(FleetState state) {
    confirmed.addAll(state.leaving());
  }

  /**
   * Returns the targets to be reported.
   *
   * @param leaving all targets that the host knows to be leaving
   * @param directory the registered targets; others are not reported
   */
  public ImmutableSet<TargetIncarnation> pending(
      Set<TargetIncarnation> leaving, TargetDirectory directory) {
    confirmed.retainAll(leaving);
    return leaving.stream()
        .filter(target -> !confirmed.contains(target) && directory.find(target).isPresent())
        .collect(ImmutableSet.toImmutableSet());
  }
}
