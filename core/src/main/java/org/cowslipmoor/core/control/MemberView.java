package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.cowslipmoor.core.ownership.ShardId;

/**
 * Holds a poller's view of one member, from the member's responses. Times are on the poller's clock
 * except {@code memberTime}.
 */
final class MemberView {
  long receivedAt = Long.MIN_VALUE;
  boolean hasResponded;
  long attestedAt;
  boolean attests;
  long version;
  long configurationRevision;
  long drainedVersion;
  String incarnation = "";
  long memberTime;
  ImmutableList<String> sentLiveMembers = ImmutableList.of();
  long liveMembersSentAt;
  ImmutableMap<String, Long> failingTargets = ImmutableMap.of();
  ImmutableMap<ShardId, Long> released = ImmutableMap.of();
  ImmutableSet<String> approvals = ImmutableSet.of();
  ImmutableMap<ShardId, Double> loads = ImmutableMap.of();

  void onResponse(long now, MemberMessage.PollResponse response) {
    hasResponded = true;
    receivedAt = now;
    if (response.attests()) {
      attests = true;
      attestedAt = response.pollerTime();
    }
    version = response.version();
    configurationRevision = response.configurationRevision();
    drainedVersion = response.drainedVersion();
    incarnation = response.memberIncarnation();
    memberTime = response.memberTime();
    failingTargets = response.failingTargets();
    released = response.released();
    approvals = response.approvals();
    loads = response.loads().isEmpty() ? loads : response.loads();
  }

  boolean isLive(long now, long timeoutNanos) {
    return hasResponded && now - receivedAt < timeoutNanos;
  }
}
