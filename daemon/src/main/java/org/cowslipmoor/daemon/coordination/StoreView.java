package org.cowslipmoor.daemon.coordination;

import com.google.common.collect.ImmutableSet;
import org.cowslipmoor.core.discovery.TargetDirectory;
import org.cowslipmoor.core.fleet.MemberList;
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
 * @param membersRevision the store's revision of the members; 0 when there are none
 * @param coordinator the host that is the coordinator; null when there is none
 * @param isLoaded whether the store has been read
 * @param revision the newest revision of the store that is cached
 * @param evacuated the data centres that the operator evacuates
 */
public record StoreView(
    @Nullable RoutingConfiguration configuration,
    TargetDirectory directory,
    RangeTable table,
    long tableRevision,
    MemberList memberList,
    long membersRevision,
    @Nullable Coordinator coordinator,
    boolean isLoaded,
    long revision,
    ImmutableSet<String> evacuated) {

  /** Creates the view of a store in which no data centre is evacuated. */
  public StoreView(
      @Nullable RoutingConfiguration configuration,
      TargetDirectory directory,
      RangeTable table,
      long tableRevision,
      MemberList memberList,
      long membersRevision,
      @Nullable Coordinator coordinator,
      boolean isLoaded,
      long revision) {
    this(
        configuration,
        directory,
        table,
        tableRevision,
        memberList,
        membersRevision,
        coordinator,
        isLoaded,
        revision,
        ImmutableSet.of());
  }

  /**
   * The host that is the coordinator.
   *
   * @param host its id
   * @param linkAddress where it accepts links from other hosts, as {@code ip:port}
   * @param term number of its leadership term: the store's revision of its claim
   */
  public record Coordinator(String host, String linkAddress, long term) {}

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
        membersRevision,
        coordinator,
        isLoaded,
        revision,
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
        membersRevision,
        coordinator,
        isLoaded,
        revision,
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
        0,
        null,
        false,
        0);
  }
}
