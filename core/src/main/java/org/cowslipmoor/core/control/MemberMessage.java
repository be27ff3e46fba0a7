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
   * Requests an attestation from a member and passes authority on to it.
   *
   * @param version version of the poller's ownership table; 0 if it has none
   * @param configurationRevision revision of the poller's configuration
   * @param pollerIncarnation incarnation of the poller's process
   * @param pollerTime time of sending on the poller's clock
   * @param memberIncarnation incarnation of the member's process to which {@code echoedMemberTime}
   *     belongs
   * @param echoedMemberTime time on the member's clock of its last response that the poller
   *     received
   * @param authorityNanos nanoseconds from {@code echoedMemberTime} for which the member may act on
   *     {@code version}; 0 for none
   * @param basis source of the authority
   * @param liveMembers members that have recently responded to the poller; empty if they are the
   *     same as last sent
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
   * Responds to a poll.
   *
   * @param version version of the member's ownership table; 0 if it has none
   * @param configurationRevision revision of the member's configuration; 0 if it has none
   * @param pollerIncarnation echoed from the poll
   * @param pollerTime echoed from the poll
   * @param memberIncarnation incarnation of the member's process
   * @param memberTime time of sending on the member's clock
   * @param attests whether the member attests that it has no newer table than the poller
   * @param drainedVersion highest version whose revoked and releasing shards have no request in
   *     progress at the member
   * @param failingTargets targets that do not respond, with the duration of the failure in
   *     nanoseconds
   * @param released shards that their former owner has released, with the sequence of their fence
   * @param approvals keys of the joining hosts that the member approves
   * @param loads requests per second that the member recently sent to its busiest shards; empty if
   *     the loads sent before still apply
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

  /** Transfers the ownership table of the data centre. */
  record TableUpdate(OwnershipTable table) implements MemberMessage {}

  /** Transfers the configuration. */
  record ConfigurationUpdate(Configuration configuration) implements MemberMessage {}

  /**
   * Requests the configuration and the ownership table if the receiver has newer ones.
   *
   * @param dataCentre data centre of the sender; a table is sent only within it
   * @param configurationRevision revision of the sender's configuration; 0 if it has none
   * @param version version of the sender's table; 0 if it has none
   */
  record StateRequest(String dataCentre, long configurationRevision, long version)
      implements MemberMessage {}

  /** Announces the revision of the configuration that is in effect at the sender. */
  record Digest(String dataCentre, long configurationRevision) implements MemberMessage {}
}
