package org.cowslipmoor.daemon.codec;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.cowslipmoor.core.ownership.Quorum;
import org.cowslipmoor.core.ownership.ShardEntry;
import org.cowslipmoor.core.ownership.ShardId;
import org.cowslipmoor.core.ownership.ShardPhase;

/** Converts ownership tables between the core's records and the schema's messages. */
public final class OwnershipCodec {
  private OwnershipCodec() {}

  /** Converts to the schema's message. */
  public static org.cowslipmoor.schema.member.OwnershipTable encode(OwnershipTable t) {
    return org.cowslipmoor.schema.member.OwnershipTable.newBuilder()
        .setDataCentre(t.dataCentre())
        .setVersion(t.version())
        .setEpoch(t.epoch())
        .setCoordinator(t.coordinator())
        .setOperationId(t.operationId())
        .setConfigurationRevision(t.configurationRevision())
        .addAllQuorum(t.quorum().hosts())
        .addAllPreviousQuorum(t.previousQuorum().hosts())
        .addAllEntries(t.entries().values().stream().map(OwnershipCodec::encodeEntry).toList())
        .build();
  }

  /**
   * Converts from the schema's message.
   *
   * @throws IllegalArgumentException if an entry is invalid
   */
  public static OwnershipTable decode(org.cowslipmoor.schema.member.OwnershipTable t) {
    ImmutableSortedMap.Builder<ShardId, ShardEntry> entries = ImmutableSortedMap.naturalOrder();
    for (var e : t.getEntriesList()) {
      ShardId shard = new ShardId(e.getService(), e.getShard());
      entries.put(
          shard,
          new ShardEntry(
              shard,
              e.getOwner().isEmpty() ? null : e.getOwner(),
              new Fence(e.getFenceEpoch(), e.getFenceSequence()),
              decodePhase(e.getPhase()),
              e.getFormerOwner().isEmpty() ? null : e.getFormerOwner()));
    }
    return new OwnershipTable(
        t.getDataCentre(),
        t.getVersion(),
        t.getEpoch(),
        t.getCoordinator(),
        t.getOperationId(),
        t.getConfigurationRevision(),
        new Quorum(ImmutableList.copyOf(t.getQuorumList())),
        new Quorum(ImmutableList.copyOf(t.getPreviousQuorumList())),
        entries.buildOrThrow());
  }

  private static org.cowslipmoor.schema.member.ShardEntry encodeEntry(ShardEntry e) {
    String owner = e.owner();
    String former = e.formerOwner();
    return org.cowslipmoor.schema.member.ShardEntry.newBuilder()
        .setService(e.shard().service())
        .setShard(e.shard().index())
        .setOwner(owner == null ? "" : owner)
        .setFenceEpoch(e.fence().epoch())
        .setFenceSequence(e.fence().sequence())
        .setPhase(encodePhase(e.phase()))
        .setFormerOwner(former == null ? "" : former)
        .build();
  }

  private static org.cowslipmoor.schema.member.ShardPhase encodePhase(ShardPhase p) {
    return switch (p) {
      case ACTIVE -> org.cowslipmoor.schema.member.ShardPhase.SHARD_ACTIVE;
      case REVOKING -> org.cowslipmoor.schema.member.ShardPhase.SHARD_REVOKING;
      case RELEASING -> org.cowslipmoor.schema.member.ShardPhase.SHARD_RELEASING;
    };
  }

  private static ShardPhase decodePhase(org.cowslipmoor.schema.member.ShardPhase p) {
    return switch (p) {
      case SHARD_ACTIVE -> ShardPhase.ACTIVE;
      case SHARD_REVOKING -> ShardPhase.REVOKING;
      case SHARD_RELEASING -> ShardPhase.RELEASING;
      case UNRECOGNIZED -> throw new IllegalArgumentException("the phase of a shard is unknown");
    };
  }
}
