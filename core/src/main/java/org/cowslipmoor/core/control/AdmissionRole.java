package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSetMultimap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.ConfigurationChange;
import org.cowslipmoor.core.configuration.ConfigurationEditor;
import org.cowslipmoor.core.configuration.Member;

/**
 * Collects the members' approvals of joining hosts. The coordinator of each data centre writes the
 * approvals of its members as one record once all of them approve; the coordinator of the
 * candidate's data centre admits it once every member of the setup has approved. A join takes one
 * write per data centre and one of the configuration, regardless of the number of hosts.
 */
final class AdmissionRole {
  private static final long CALL_INTERVAL_NANOS = 500_000_000L;
  private static final long NO_CALL = 0;

  private final HostState host;
  private final Map<String, Approvals> approvalsByDataCentre = new HashMap<>();
  private final Map<Long, String> dataCentreByReadCall = new HashMap<>();
  private long ownRecordRevision;
  private boolean ownRecordRead;
  private long writeCall = NO_CALL;
  private long configurationCall = NO_CALL;
  private long admitCall = NO_CALL;
  private long nextCallsAt;

  AdmissionRole(HostState host, long now) {
    this.host = host;
    this.nextCallsAt = now;
  }

  /** Makes the store calls that are due; the host must be the coordinator. */
  void tick(long now, Map<String, MemberView> views) {
    Configuration configuration = host.configuration();
    if (configuration == null || configuration.joining().isEmpty() || now - nextCallsAt < 0) {
      return;
    }
    nextCallsAt = now + CALL_INTERVAL_NANOS;
    dataCentreByReadCall.clear();
    if (!ownRecordRead) {
      read(host.self.dataCentre());
      return;
    }
    writeOwnApprovals(configuration, views);
    for (Member candidate : configuration.joining()) {
      if (candidate.dataCentre().equals(host.self.dataCentre())
          || configuration.membersOf(candidate.dataCentre()).isEmpty()) {
        admitOrRead(configuration, candidate);
      }
    }
  }

  /** Handles the response to one of this role's calls; ignores other responses. */
  void onResponse(long callId, StoreResponse response) {
    if (dataCentreByReadCall.containsKey(callId)) {
      String dataCentre = dataCentreByReadCall.remove(callId);
      if (response instanceof StoreResponse.ApprovalsRead r && dataCentre != null) {
        approvalsByDataCentre.put(dataCentre, r.approvals());
        if (dataCentre.equals(host.self.dataCentre())) {
          ownRecordRevision = r.revision();
          ownRecordRead = true;
        }
      }
    } else if (callId == writeCall) {
      writeCall = NO_CALL;
      // Whatever the outcome, the record is read again, since the response may have been lost.
      ownRecordRead = false;
    } else if (callId == configurationCall) {
      configurationCall = NO_CALL;
      onConfiguration(response);
    } else if (callId == admitCall) {
      admitCall = NO_CALL;
    }
  }

  private void read(String dataCentre) {
    dataCentreByReadCall.put(host.call(new StoreCall.ReadApprovals(dataCentre)), dataCentre);
  }

  private void writeOwnApprovals(Configuration configuration, Map<String, MemberView> views) {
    ImmutableSetMultimap.Builder<String, String> complete = ImmutableSetMultimap.builder();
    ImmutableSet<String> members = memberIds(configuration, host.self.dataCentre());
    for (Member candidate : configuration.joining()) {
      Set<String> approving = new TreeSet<>();
      for (String id : members) {
        MemberView view = views.get(id);
        if (view != null && view.approvals.contains(Approvals.candidateKey(candidate))) {
          approving.add(id);
        }
      }
      if (approving.containsAll(members)) {
        complete.putAll(Approvals.candidateKey(candidate), approving);
      }
    }
    Approvals next = new Approvals(host.self.dataCentre(), complete.build());
    Approvals stored = approvalsOf(host.self.dataCentre());
    Set<String> joining = Approvals.candidateKeys(configuration);
    // A member that does not respond has not withdrawn its approval, so approvals are removed only
    // for hosts that are no longer joining.
    boolean stale = !joining.containsAll(stored.membersByCandidate().keySet());
    boolean incomplete =
        !stored.membersByCandidate().entries().containsAll(next.membersByCandidate().entries());
    if (writeCall == NO_CALL && (incomplete || stale)) {
      writeCall = host.call(new StoreCall.WriteApprovals(ownRecordRevision, next));
    }
  }

  private void admitOrRead(Configuration configuration, Member candidate) {
    Set<String> missing = dataCentresMissingApprovals(configuration, candidate);
    missing.forEach(this::read);
    if (missing.isEmpty() && configurationCall == NO_CALL && admitCall == NO_CALL) {
      configurationCall = host.call(new StoreCall.ReadConfiguration());
    }
  }

  /** Admits the first candidate that every member of the stored configuration has approved. */
  private void onConfiguration(StoreResponse response) {
    if (!(response instanceof StoreResponse.ConfigurationRead r)) {
      return;
    }
    Configuration stored = r.configuration();
    if (stored == null || stored.revision() < host.configurationRevision()) {
      return;
    }
    for (Member candidate : stored.joining()) {
      if (dataCentresMissingApprovals(stored, candidate).isEmpty()) {
        Configuration next =
            ConfigurationEditor.apply(
                stored, new ConfigurationChange.AdmitMember(candidate.id()), host.newOperationId());
        admitCall = host.call(new StoreCall.WriteConfiguration(r.revision(), next));
        return;
      }
    }
  }

  /** Returns the data centres whose approvals, as last read, lack a member for the candidate. */
  private Set<String> dataCentresMissingApprovals(Configuration configuration, Member candidate) {
    Set<String> missing = dataCentres(configuration);
    missing.removeIf(
        dataCentre ->
            approvalsOf(dataCentre)
                .membersByCandidate()
                .get(Approvals.candidateKey(candidate))
                .containsAll(memberIds(configuration, dataCentre)));
    return missing;
  }

  private Approvals approvalsOf(String dataCentre) {
    return approvalsByDataCentre.getOrDefault(dataCentre, Approvals.empty(dataCentre));
  }

  private static Set<String> dataCentres(Configuration configuration) {
    Set<String> result = new HashSet<>();
    configuration.members().forEach(m -> result.add(m.dataCentre()));
    return result;
  }

  private static ImmutableSet<String> memberIds(Configuration configuration, String dataCentre) {
    return configuration.membersOf(dataCentre).stream()
        .map(Member::id)
        .collect(ImmutableSet.toImmutableSet());
  }
}
