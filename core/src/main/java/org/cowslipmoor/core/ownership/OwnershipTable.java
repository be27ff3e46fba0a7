package org.cowslipmoor.core.ownership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Holds the owners of all shards whose home is one data centre. Immutable; each version is written
 * by one compare-and-swap of the record in the store.
 *
 * @param dataCentre the data centre
 * @param version version number, from 1; increases by at least one with each write
 * @param epoch epoch of the coordinator that wrote it
 * @param coordinator id of the host that wrote it
 * @param operationId identifies the write, so that its outcome can be determined by reading the
 *     record back if the response is lost
 * @param configurationRevision revision of the configuration that it was computed from
 * @param quorum hosts whose attestations are counted
 * @param previousQuorum quorum that must also reach a majority while the quorum changes; empty
 *     otherwise
 * @param entries entries by shard
 */
public record OwnershipTable(
    String dataCentre,
    long version,
    long epoch,
    String coordinator,
    String operationId,
    long configurationRevision,
    Quorum quorum,
    Quorum previousQuorum,
    ImmutableSortedMap<ShardId, ShardEntry> entries) {

  private static final Quorum EMPTY_QUORUM = new Quorum(ImmutableList.of());

  /** Returns the first table of a data centre, without entries. */
  public static OwnershipTable create(String dataCentre, Quorum quorum) {
    return new OwnershipTable(
        dataCentre, 0, 0, "", "", 0, quorum, EMPTY_QUORUM, ImmutableSortedMap.of());
  }

  /** Returns the entry of a shard; null if the shard has never been assigned. */
  public @Nullable ShardEntry entry(ShardId shard) {
    return entries.get(shard);
  }

  /** Returns whether the hosts are a majority of the quorum, and of the previous one if any. */
  public boolean isMajority(Set<String> hosts) {
    return quorum.isMajority(hosts)
        && (previousQuorum.hosts().isEmpty() || previousQuorum.isMajority(hosts));
  }

  /** Returns the hosts whose attestations are counted in either quorum. */
  public ImmutableSet<String> attesters() {
    return ImmutableSet.<String>builder()
        .addAll(quorum.hosts())
        .addAll(previousQuorum.hosts())
        .build();
  }

  /** Returns the next version with unchanged content, written by a coordinator of a new epoch. */
  public OwnershipTable inNewEpoch(long newEpoch, String newCoordinator, String newOperationId) {
    return new OwnershipTable(
        dataCentre,
        version + 1,
        newEpoch,
        newCoordinator,
        newOperationId,
        configurationRevision,
        quorum,
        previousQuorum,
        entries);
  }

  /** Returns the next version in the same epoch, with the given quorums and entries. */
  OwnershipTable next(
      String newOperationId,
      long newConfigurationRevision,
      Quorum newQuorum,
      Quorum newPreviousQuorum,
      ImmutableSortedMap<ShardId, ShardEntry> newEntries) {
    return new OwnershipTable(
        dataCentre,
        version + 1,
        epoch,
        coordinator,
        newOperationId,
        newConfigurationRevision,
        newQuorum,
        newPreviousQuorum,
        newEntries);
  }
}
