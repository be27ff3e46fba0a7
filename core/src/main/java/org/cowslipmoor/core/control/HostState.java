package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.jspecify.annotations.Nullable;

/** Holds the state shared by the roles of one host. Not thread-safe. */
final class HostState {
  final HostIdentity self;
  final Timing timing;
  final long startTime;
  final Set<String> approvals = new LinkedHashSet<>();
  private final List<ControlAction> actions = new ArrayList<>();
  private @Nullable Configuration configuration;
  private @Nullable OwnershipTable table;
  private long lastCallId;
  private long lastOperationNumber;
  Authority authority = Authority.NONE;
  boolean attesting;
  ImmutableList<String> liveMembers = ImmutableList.of();

  HostState(HostIdentity self, Timing timing, long startTime) {
    this.self = self;
    this.timing = timing;
    this.startTime = startTime;
  }

  @Nullable Configuration configuration() {
    return configuration;
  }

  @Nullable OwnershipTable table() {
    return table;
  }

  long version() {
    return table == null ? 0 : table.version();
  }

  long configurationRevision() {
    return configuration == null ? 0 : configuration.revision();
  }

  /** Installs the table if it is newer; returns whether it was installed. */
  boolean install(OwnershipTable candidate) {
    if (!candidate.dataCentre().equals(self.dataCentre()) || candidate.version() <= version()) {
      return false;
    }
    table = candidate;
    return true;
  }

  /** Installs the configuration if it is newer; returns whether it was installed. */
  boolean install(Configuration candidate) {
    if (candidate.revision() <= configurationRevision()) {
      return false;
    }
    if (configuration != null && !configuration.setup().equals(candidate.setup())) {
      return false;
    }
    configuration = candidate;
    return true;
  }

  /** Returns the members of the host's data centre; empty until there is a configuration. */
  ImmutableList<Member> localMembers() {
    return configuration == null ? ImmutableList.of() : configuration.membersOf(self.dataCentre());
  }

  boolean isMember() {
    return configuration != null && configuration.member(self.id()).isPresent();
  }

  void send(String member, MemberMessage message) {
    actions.add(new ControlAction.Send(member, message));
  }

  void addAction(ControlAction action) {
    actions.add(action);
  }

  long call(StoreCall request) {
    lastCallId++;
    actions.add(new ControlAction.CallStore(lastCallId, request));
    return lastCallId;
  }

  /** Returns an operation id that is unique among all writes. */
  String newOperationId() {
    lastOperationNumber++;
    return self.id() + "/" + self.incarnation() + "/" + lastOperationNumber;
  }

  ImmutableList<ControlAction> takeActions() {
    ImmutableList<ControlAction> taken = ImmutableList.copyOf(actions);
    actions.clear();
    return taken;
  }
}
