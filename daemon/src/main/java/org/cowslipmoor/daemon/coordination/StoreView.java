package org.cowslipmoor.daemon.coordination;

import com.google.common.collect.ImmutableSet;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.core.routing.RoutingConfiguration;
import org.jspecify.annotations.Nullable;

/**
 * What a host last learned from the shared store.
 *
 * @param configuration the newest accepted configuration; null before one is known
 * @param directory the targets
 * @param table who holds which keys
 * @param tableRevision the store's mark of that table, for a conditional write; 0 when there is
 *     none
 * @param members ids of the hosts that are members; empty before the first one
 * @param membersRevision the store's mark of the members; 0 when there are none
 * @param coordinator the host that coordinates; null when none does
 * @param isLoaded whether the store was read at all
 * @param revision the newest state of the store that is known
 */
public record StoreView(
    @Nullable RoutingConfiguration configuration,
    TargetDirectory directory,
    RangeTable table,
    long tableRevision,
    ImmutableSet<String> members,
    long membersRevision,
    @Nullable Coordinator coordinator,
    boolean isLoaded,
    long revision) {

  /**
   * A host that coordinates.
   *
   * @param host its id
   * @param linkAddress where it takes links of other hosts, as {@code ip:port}
   */
  public record Coordinator(String host, String linkAddress) {}

  /** Returns the view of a host that knows nothing. */
  public static StoreView unknown() {
    return new StoreView(
        null, TargetDirectory.empty(), RangeTable.empty(), 0, ImmutableSet.of(), 0, null, false, 0);
  }
}
