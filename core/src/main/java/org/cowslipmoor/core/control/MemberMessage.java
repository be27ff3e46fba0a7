package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.cowslipmoor.core.ownership.ShardId;

/** A message from one entry host to another. */
public sealed interface MemberMessage {

  /**
   * Asks a member to attest, and passes authority on to it.
   *
   * @param version version of the hub's ownership table; 0 when it has none
   * @param configurationRevision revision of the hub's configuration
   * @param pollerIncarnation run of the hub's process
   * @param pollerTime the hub's clock at sending
   * @param memberIncarnation run of the member's process that {@code echoedMemberTime} is of
   * @param echoedMemberTime the member's clock in the last answer that reached the hub
   * @param authorityNanos nanoseconds from {@code echoedMemberTime} for which the member may act on
   *     {@code version}; 0 for none
   * @param basis what the authority rests on
   * @param liveMembers members that the hub has heard from lately; empty when they are as sent
   *     before
   */
  record Poll(
      long version,
      long configurationRevision,
      String pollerIncarnation,
      long pollerTime,
      String memberIncarnation,
      long echoedMemberTime,
      long authorityNanos,
      Authority.Basis basis,
      ImmutableList<String> liveMembers)
      implements MemberMessage {}

  /**
   * Answers a poll.
   *
   * @param version version of the member's ownership table; 0 when it has none
   * @param configurationRevision revision of the member's configuration; 0 when it has none
   * @param pollerIncarnation echoed from the poll
   * @param pollerTime echoed from the poll
   * @param memberIncarnation run of the member's process
   * @param memberTime the member's clock at sending
   * @param attests whether the member knows no newer table than the poll's
   * @param drainedVersion highest version whose withdrawn shards have no request in progress here
   * @param failingTargets targets that do not answer, with the nanoseconds since they did
   * @param released shards that their former owner has released, with the sequence of their fence
   * @param approvals joining hosts that the member approves
   * @param loads requests per second that the member sent to its busiest shards lately; empty when
   *     they are as sent before
   */
  record PollResponse(
      long version,
      long configurationRevision,
      String pollerIncarnation,
      long pollerTime,
      String memberIncarnation,
      long memberTime,
      boolean attests,
      long drainedVersion,
      ImmutableMap<String, Long> failingTargets,
      ImmutableMap<ShardId, Long> released,
      ImmutableSet<String> approvals,
      ImmutableMap<ShardId, Double> loads)
      implements MemberMessage {}

  /** Brings the ownership table of the data centre. */
  record TableUpdate(OwnershipTable table) implements MemberMessage {}

  /** Brings the configuration. */
  record ConfigurationUpdate(Configuration configuration) implements MemberMessage {}

  /**
   * Asks for what the receiver has that is newer.
   *
   * @param dataCentre data centre of the sender; a table is sent only within it
   * @param configurationRevision revision that the sender has; 0 for none
   * @param version version that the sender has; 0 for none
   */
  record StateRequest(String dataCentre, long configurationRevision, long version)
      implements MemberMessage {}

  /** Tells a host of another data centre which configuration the sender has in force. */
  record Digest(String dataCentre, long configurationRevision) implements MemberMessage {}
}
