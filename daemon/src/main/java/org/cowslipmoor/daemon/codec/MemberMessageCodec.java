package org.cowslipmoor.daemon.codec;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.cowslipmoor.core.control.Authority;
import org.cowslipmoor.core.control.MemberMessage;
import org.cowslipmoor.core.ownership.ShardId;
import org.cowslipmoor.schema.member.AuthorityBasis;
import org.cowslipmoor.schema.member.Digest;
import org.cowslipmoor.schema.member.Envelope;
import org.cowslipmoor.schema.member.Poll;
import org.cowslipmoor.schema.member.PollAnswer;
import org.cowslipmoor.schema.member.Release;
import org.cowslipmoor.schema.member.ShardLoad;
import org.cowslipmoor.schema.member.StateRequest;
import org.cowslipmoor.schema.member.TargetReport;

/** Converts the messages that members exchange to and from frames. */
public final class MemberMessageCodec {
  private MemberMessageCodec() {}

  /** Converts a message to a frame. */
  public static Envelope encode(MemberMessage message) {
    Envelope.Builder frame = Envelope.newBuilder();
    return switch (message) {
      case MemberMessage.Poll m -> frame.setPoll(encodePoll(m)).build();
      case MemberMessage.PollResponse m -> frame.setPollAnswer(encodePollResponse(m)).build();
      case MemberMessage.TableUpdate m -> frame.setTable(OwnershipCodec.encode(m.table())).build();
      case MemberMessage.ConfigurationUpdate m ->
          frame.setConfiguration(ConfigurationCodec.encode(m.configuration())).build();
      case MemberMessage.StateRequest m ->
          frame
              .setStateRequest(
                  StateRequest.newBuilder()
                      .setDataCentre(m.dataCentre())
                      .setConfigurationRevision(m.configurationRevision())
                      .setTableVersion(m.version()))
              .build();
      case MemberMessage.Digest m ->
          frame
              .setDigest(
                  Digest.newBuilder()
                      .setDataCentre(m.dataCentre())
                      .setConfigurationRevision(m.configurationRevision()))
              .build();
    };
  }

  /**
   * Converts a message from a frame; empty for frames that carry no {@link MemberMessage}.
   *
   * @throws IllegalArgumentException if the content is invalid
   */
  public static Optional<MemberMessage> decode(Envelope frame) {
    return switch (frame.getContentCase()) {
      case POLL -> Optional.of(decodePoll(frame.getPoll()));
      case POLL_ANSWER -> Optional.of(decodePollResponse(frame.getPollAnswer()));
      case TABLE ->
          Optional.of(new MemberMessage.TableUpdate(OwnershipCodec.decode(frame.getTable())));
      case CONFIGURATION ->
          Optional.of(
              new MemberMessage.ConfigurationUpdate(
                  ConfigurationCodec.decode(frame.getConfiguration())));
      case STATE_REQUEST ->
          Optional.of(
              new MemberMessage.StateRequest(
                  frame.getStateRequest().getDataCentre(),
                  frame.getStateRequest().getConfigurationRevision(),
                  frame.getStateRequest().getTableVersion()));
      case DIGEST ->
          Optional.of(
              new MemberMessage.Digest(
                  frame.getDigest().getDataCentre(), frame.getDigest().getConfigurationRevision()));
      case HELLO,
          HEARTBEAT,
          HOST_REPORT,
          FLEET_STATE,
          STORE_NEWS,
          COLD_ALLOWANCE_REQUEST,
          COLD_ALLOWANCE,
          FORMER_ITEMS,
          CONTENT_NOT_SET ->
          Optional.empty();
    };
  }

  private static Poll encodePoll(MemberMessage.Poll m) {
    return Poll.newBuilder()
        .setVersion(m.version())
        .setConfigurationRevision(m.configurationRevision())
        .setHubIncarnation(m.pollerIncarnation())
        .setHubTime(m.pollerTime())
        .setMemberIncarnation(m.memberIncarnation())
        .setEchoedMemberTime(m.echoedMemberTime())
        .setAuthorityNanos(m.authorityNanos())
        .setBasis(encodeBasis(m.basis()))
        .addAllLive(m.liveMembers())
        .build();
  }

  private static MemberMessage.Poll decodePoll(Poll m) {
    return new MemberMessage.Poll(
        m.getVersion(),
        m.getConfigurationRevision(),
        m.getHubIncarnation(),
        m.getHubTime(),
        m.getMemberIncarnation(),
        m.getEchoedMemberTime(),
        m.getAuthorityNanos(),
        decodeBasis(m.getBasis()),
        ImmutableList.copyOf(m.getLiveList()));
  }

  private static PollAnswer encodePollResponse(MemberMessage.PollResponse m) {
    PollAnswer.Builder response =
        PollAnswer.newBuilder()
            .setVersion(m.version())
            .setConfigurationRevision(m.configurationRevision())
            .setHubIncarnation(m.pollerIncarnation())
            .setHubTime(m.pollerTime())
            .setMemberIncarnation(m.memberIncarnation())
            .setMemberTime(m.memberTime())
            .setAttests(m.attests())
            .setDrainedVersion(m.drainedVersion())
            .addAllApprovals(m.approvals());
    m.failingTargets()
        .forEach(
            (t, nanos) ->
                response.addReports(TargetReport.newBuilder().setTarget(t).setFailingNanos(nanos)));
    m.released()
        .forEach(
            (s, sequence) ->
                response.addReleases(
                    Release.newBuilder()
                        .setService(s.service())
                        .setShard(s.index())
                        .setVersion(sequence)));
    m.loads()
        .forEach(
            (s, load) ->
                response.addLoads(
                    ShardLoad.newBuilder()
                        .setService(s.service())
                        .setShard(s.index())
                        .setRequestsPerSecond(load)));
    return response.build();
  }

  private static MemberMessage.PollResponse decodePollResponse(PollAnswer m) {
    ImmutableMap.Builder<String, Long> failing = ImmutableMap.builder();
    m.getReportsList().forEach(r -> failing.put(r.getTarget(), r.getFailingNanos()));
    ImmutableMap.Builder<ShardId, Long> released = ImmutableMap.builder();
    m.getReleasesList()
        .forEach(r -> released.put(new ShardId(r.getService(), r.getShard()), r.getVersion()));
    ImmutableMap.Builder<ShardId, Double> loads = ImmutableMap.builder();
    m.getLoadsList()
        .forEach(
            l -> loads.put(new ShardId(l.getService(), l.getShard()), l.getRequestsPerSecond()));
    return new MemberMessage.PollResponse(
        m.getVersion(),
        m.getConfigurationRevision(),
        m.getHubIncarnation(),
        m.getHubTime(),
        m.getMemberIncarnation(),
        m.getMemberTime(),
        m.getAttests(),
        m.getDrainedVersion(),
        failing.buildKeepingLast(),
        released.buildKeepingLast(),
        ImmutableSet.copyOf(m.getApprovalsList()),
        loads.buildKeepingLast());
  }

  private static AuthorityBasis encodeBasis(Authority.Basis basis) {
    return switch (basis) {
      case NONE -> AuthorityBasis.AUTHORITY_NONE;
      case STORE_LEASE -> AuthorityBasis.AUTHORITY_STORE_LEASE;
      case ATTESTATION -> AuthorityBasis.AUTHORITY_ATTESTATION;
    };
  }

  private static Authority.Basis decodeBasis(AuthorityBasis basis) {
    return switch (basis) {
      case AUTHORITY_STORE_LEASE -> Authority.Basis.STORE_LEASE;
      case AUTHORITY_ATTESTATION -> Authority.Basis.ATTESTATION;
      case AUTHORITY_NONE, UNRECOGNIZED -> Authority.Basis.NONE;
    };
  }
}
