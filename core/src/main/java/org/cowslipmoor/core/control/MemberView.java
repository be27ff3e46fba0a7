package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.cowslipmoor.core.ownership.ShardId;

/** What a hub knows of one member, from its answers. Times are of the hub's clock. */
final class MemberView {
  long receivedAt = Long.MIN_VALUE;
  boolean heard;
  long attestedAt;
  boolean attests;
  long version;
  long configurationRevision;
  long drainedVersion;
  String incarnation = "";
  long memberTime;
  ImmutableList<String> liveSent = ImmutableList.of();
  long liveSentAt;
  ImmutableMap<String, Long> failingTargets = ImmutableMap.of();
  ImmutableMap<ShardId, Long> released = ImmutableMap.of();
  ImmutableSet<String> approvals = ImmutableSet.of();
  ImmutableMap<ShardId, Double> loads = ImmutableMap.of();

  void onResponse(long now, MemberMessage.PollResponse a) {
    heard = true;
    receivedAt = now;
    if (a.attests()) {
      attests = true;
      attestedAt = a.pollerTime();
    }
    version = a.version();
    configurationRevision = a.configurationRevision();
    drainedVersion = a.drainedVersion();
    incarnation = a.memberIncarnation();
    memberTime = a.memberTime();
    failingTargets = a.failingTargets();
    released = a.released();
    approvals = a.approvals();
    loads = a.loads().isEmpty() ? loads : a.loads();
  }

  boolean isLive(long now, long limit) {
    return heard && now - receivedAt < limit;
  }
}
