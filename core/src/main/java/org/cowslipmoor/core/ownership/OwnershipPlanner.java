package org.cowslipmoor.core.ownership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.core.configuration.Service;

/** Computes the next ownership table of a data centre from the state its coordinator has. */
public final class OwnershipPlanner {
  private static final Quorum EMPTY_QUORUM = new Quorum(ImmutableList.of());

  private OwnershipPlanner() {}

  /**
   * Returns the next table, or empty if the current one needs no change. Takes time linear in
   * shards plus targets for each shard that changes owner.
   *
   * <p>A shard is never reassigned directly: it stays {@link ShardPhase#RELEASING} or {@link
   * ShardPhase#REVOKING} until its former owner is certain not to serve it any more.
   *
   * @param table the current table
   * @param inputs the coordinator's view of the data centre
   * @param operationId identifier of the write of the next table
   */
  public static Optional<OwnershipTable> next(
      OwnershipTable table, PlannerInputs inputs, String operationId) {
    Configuration configuration = inputs.configuration();
    TreeMap<ShardId, ShardEntry> entries = new TreeMap<>(table.entries());
    long sequence = table.version() + 1;
    for (Service service : configuration.services()) {
      if (service.keyed()) {
        new ServicePlanner(table, service, inputs, entries, sequence).run();
      }
    }
    revokeRemovedServices(configuration, inputs, entries, table.epoch(), sequence);

    Quorum configured = configuredQuorum(table, configuration);
    Quorum quorum = table.quorum();
    Quorum previous = table.previousQuorum();
    if (!previous.hosts().isEmpty()) {
      previous = inputs.tableInstalled() ? EMPTY_QUORUM : previous;
    } else if (!configured.equals(quorum) && !configured.hosts().isEmpty()) {
      previous = quorum;
      quorum = configured;
    }
    boolean unchanged =
        entries.equals(table.entries())
            && quorum.equals(table.quorum())
            && previous.equals(table.previousQuorum());
    if (unchanged) {
      return Optional.empty();
    }
    return Optional.of(
        table.next(
            operationId,
            configuration.revision(),
            quorum,
            previous,
            ImmutableSortedMap.copyOfSorted(entries)));
  }

  private static Quorum configuredQuorum(OwnershipTable table, Configuration configuration) {
    return new Quorum(
        configuration.membersOf(table.dataCentre()).stream()
            .map(Member::id)
            .collect(ImmutableList.toImmutableList()));
  }

  private static void revokeRemovedServices(
      Configuration configuration,
      PlannerInputs inputs,
      NavigableMap<ShardId, ShardEntry> entries,
      long epoch,
      long sequence) {
    entries
        .values()
        .removeIf(
            e -> isOfRemovedService(configuration, e) && e.owner() == null && hasNoUser(e, inputs));
    entries.replaceAll(
        (shard, e) -> {
          String owner = e.owner();
          if (!isOfRemovedService(configuration, e) || owner == null) {
            return e;
          }
          String former = e.phase() == ShardPhase.ACTIVE ? owner : e.formerOwner();
          return new ShardEntry(
              shard, null, new Fence(epoch, sequence), ShardPhase.REVOKING, former);
        });
  }

  private static boolean isOfRemovedService(Configuration configuration, ShardEntry e) {
    return configuration.service(e.shard().service()).isEmpty();
  }

  private static boolean hasNoUser(ShardEntry e, PlannerInputs inputs) {
    return e.phase() == ShardPhase.ACTIVE || inputs.freedShards().contains(e.shard());
  }
}
