package org.cowslipmoor.tool;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import org.cowslipmoor.schema.configuration.Member;
import org.cowslipmoor.schema.operator.AddMember;
import org.cowslipmoor.schema.operator.ChangeRequest;

/** Proposes a new member. */
@Command(
    name = "add-member",
    description = "Proposes a new member; it serves requests once every member has approved it")
public final class AddMemberCommand extends ChangeCommand {
  @Option(name = "--file", description = "Member as JSON, see docs/CONFIGURATION.md")
  @Required
  private String file = "";

  @Override
  void setChange(ChangeRequest.Builder request) throws IOException {
    Member.Builder member = Member.newBuilder();
    readJson(file, member);
    request.setAddMember(AddMember.newBuilder().setMember(member));
  }
}
