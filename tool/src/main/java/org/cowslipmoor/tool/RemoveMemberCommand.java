package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.cowslipmoor.schema.operator.ChangeRequest;
import org.cowslipmoor.schema.operator.RemoveMember;

/** Removes a member. */
@Command(name = "remove-member", description = "Removes a member, or withdraws a proposed one")
public final class RemoveMemberCommand extends ChangeCommand {
  @Option(name = "--id", description = "Id of the member")
  @Required
  private String id = "";

  @Override
  void setChange(ChangeRequest.Builder request) {
    request.setRemoveMember(RemoveMember.newBuilder().setId(id));
  }
}
