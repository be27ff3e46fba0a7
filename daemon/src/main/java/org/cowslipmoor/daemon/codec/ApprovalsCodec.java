package org.cowslipmoor.daemon.codec;

import com.google.common.collect.ImmutableSetMultimap;
import org.cowslipmoor.core.control.Approvals;
import org.cowslipmoor.schema.member.Approval;

/** Converts approvals of joining hosts between the core's record and the schema's message. */
public final class ApprovalsCodec {
  private ApprovalsCodec() {}

  /** Converts to the schema's message. */
  public static org.cowslipmoor.schema.member.Approvals encode(Approvals a) {
    org.cowslipmoor.schema.member.Approvals.Builder message =
        org.cowslipmoor.schema.member.Approvals.newBuilder().setDataCentre(a.dataCentre());
    a.membersByCandidate()
        .asMap()
        .forEach(
            (candidate, members) ->
                message.addApprovals(
                    Approval.newBuilder().setCandidate(candidate).addAllMembers(members)));
    return message.build();
  }

  /** Converts from the schema's message. */
  public static Approvals decode(org.cowslipmoor.schema.member.Approvals a) {
    ImmutableSetMultimap.Builder<String, String> members = ImmutableSetMultimap.builder();
    a.getApprovalsList().forEach(p -> members.putAll(p.getCandidate(), p.getMembersList()));
    return new Approvals(a.getDataCentre(), members.build());
  }
}
