package org.cowslipmoor.daemon.coordination;

import com.google.common.collect.ImmutableSet;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.fleet.MemberList;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.RangeTable;
import org.cowslipmoor.core.routing.RoutingConfiguration;
import org.jspecify.annotations.Nullable;

/**
 * A host's cached view of the shared store.
 *
 * @param configuration the newest accepted configuration; null before the first one is read
 * @param directory the targets
 * @param table the range table, which maps keys to their owners
 * @param tableRevision the store's revision of that table, for a conditional write; 0 when there is
 *     none
 * @param memberList the hosts that are members
 * @param membersPlace the place in the store of the members; the start when there are none
 * @param coordinator the host that is the coordinator; null when there is none
 * @param isLoaded whether the store has been read
 * @param place the newest place in the store that is cached
 * @param evacuated the data centres that the operator evacuates
 */
public record StoreView(
    @Nullable RoutingConfiguration configuration,
    TargetDirectory directory,
    RangeTable table,
    long tableRevision,
    MemberList memberList,
    StorePlace membersPlace,
    @Nullable Coordinator coordinator,
    boolean isLoaded,
    StorePlace place,
    ImmutableSet<String> evacuated) {

  /** Creates the view of a store in which no data centre is evacuated. */
  public StoreView(
      @Nullable RoutingConfiguration configuration,
      TargetDirectory directory,
      RangeTable table,
      long tableRevision,
      MemberList memberList,
      StorePlace membersPlace,
      @Nullable Coordinator coordinator,
      boolean isLoaded,
      StorePlace place) {
    this(
        configuration,
        directory,
        table,
        tableRevision,
        memberList,
        membersPlace,
        coordinator,
        isLoaded,
        place,
        ImmutableSet.of());
  }

  /**
   * The host that is the coordinator.
   *
   * @param host its id
   * @param linkAddress where it accepts links from other hosts, as {@code ip:port}
   * @param term its leadership term: the place of its claim in the store
   */
  public record Coordinator(String host, String linkAddress, StorePlace term) {}

  /** Returns the ids of the hosts that are members; empty before the first one. */
  public ImmutableSet<String> members() {
    return memberList.members();
  }

  /** Returns this view with other targets. */
  public StoreView withDirectory(TargetDirectory newDirectory) {
    return new StoreView(
        configuration,
        newDirectory,
        table,
        tableRevision,
        memberList,
        membersPlace,
        coordinator,
        isLoaded,
        place,
        evacuated);
  }

  /** Returns this view with other evacuated data centres. */
  public StoreView withEvacuated(ImmutableSet<String> newEvacuated) {
    return new StoreView(
        configuration,
        directory,
        table,
        tableRevision,
        memberList,
        membersPlace,
        coordinator,
        isLoaded,
        place,
        newEvacuated);
  }

  /** Returns the view of a host that has not read the store. */
  public static StoreView unknown() {
    return new StoreView(
        null,
        TargetDirectory.empty(),
        RangeTable.empty(),
        0,
        MemberList.empty(),
        StorePlace.START,
        null,
        false,
        StorePlace.START);
  }
}
