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
 * Gathers the members' approvals of joining hosts. The coordinator of each data centre writes those
 * of its members as one record once all of them approve; the coordinator of the candidate's data
 * centre admits it once every member of the setup has approved. A join costs one write for each
 * data centre and one for the configuration, whatever the number of hosts.
 */
final class AdmissionRole {
  private static final long INTERVAL = 500_000_000L;
  private static final long NO_CALL = 0;

  private final HostState host;
  private final Map<String, Approvals> known = new HashMap<>();
  private final Map<Long, String> reads = new HashMap<>();
  private long ownRevision;
  private boolean ownKnown;
  private long writeCall = NO_CALL;
  private long configurationCall = NO_CALL;
  private long admitCall = NO_CALL;
  private long nextAt;

  AdmissionRole(HostState host, long now) {
    this.host = host;
    this.nextAt = now;
  }

  /** Makes the calls that are due; the host must be the coordinator. */
  void tick(long now, Map<String, MemberView> views) {
    Configuration configuration = host.configuration();
    if (configuration == null || configuration.joining().isEmpty() || now - nextAt < 0) {
      return;
    }
    nextAt = now + INTERVAL;
    reads.clear();
    if (!ownKnown) {
      read(host.self.dataCentre());
      return;
    }
    writeOwn(configuration, views);
    for (Member candidate : configuration.joining()) {
      if (candidate.dataCentre().equals(host.self.dataCentre())
          || configuration.membersOf(candidate.dataCentre()).isEmpty()) {
        admitOrRead(configuration, candidate);
      }
    }
  }

  /** Takes an answer to one of the role's calls; ignores others. */
  void onResponse(long call, StoreResponse answer) {
    if (reads.containsKey(call)) {
      String dataCentre = reads.remove(call);
      if (answer instanceof StoreResponse.ApprovalsRead r && dataCentre != null) {
        known.put(dataCentre, r.approvals());
        if (dataCentre.equals(host.self.dataCentre())) {
          ownRevision = r.revision();
          ownKnown = true;
        }
      }
    } else if (call == writeCall) {
      writeCall = NO_CALL;
      // Whatever came of it, the record is read again: the answer may have been lost.
      ownKnown = false;
    } else if (call == configurationCall) {
      configurationCall = NO_CALL;
      onConfiguration(answer);
    } else if (call == admitCall) {
      admitCall = NO_CALL;
    }
  }

  private void read(String dataCentre) {
    reads.put(host.call(new StoreCall.ReadApprovals(dataCentre)), dataCentre);
  }

  private void writeOwn(Configuration configuration, Map<String, MemberView> views) {
    ImmutableSetMultimap.Builder<String, String> wanted = ImmutableSetMultimap.builder();
    ImmutableSet<String> members = ids(configuration, host.self.dataCentre());
    for (Member candidate : configuration.joining()) {
      Set<String> approving = new TreeSet<>();
      for (String id : members) {
        MemberView v = views.get(id);
        if (v != null && v.approvals.contains(Approvals.candidateKey(candidate))) {
          approving.add(id);
        }
      }
      if (approving.containsAll(members)) {
        wanted.putAll(Approvals.candidateKey(candidate), approving);
      }
    }
    Approvals next = new Approvals(host.self.dataCentre(), wanted.build());
    Approvals present = approvalsOf(host.self.dataCentre());
    Set<String> joining = Approvals.candidateKeys(configuration);
    // A member that is not heard from now has not withdrawn its approval, so none is taken back
    // but those of hosts that do not want to join any more.
    boolean stale = !joining.containsAll(present.membersByCandidate().keySet());
    boolean adds =
        !present.membersByCandidate().entries().containsAll(next.membersByCandidate().entries());
    if (writeCall == NO_CALL && (adds || stale)) {
      writeCall = host.call(new StoreCall.WriteApprovals(ownRevision, next));
    }
  }

  private void admitOrRead(Configuration configuration, Member candidate) {
    Set<String> missing = missingApprovals(configuration, candidate);
    missing.forEach(this::read);
    if (missing.isEmpty() && configurationCall == NO_CALL && admitCall == NO_CALL) {
      configurationCall = host.call(new StoreCall.ReadConfiguration());
    }
  }

  /** Admits what every member of the stored configuration has approved. */
  private void onConfiguration(StoreResponse answer) {
    if (!(answer instanceof StoreResponse.ConfigurationRead r)) {
      return;
    }
    Configuration stored = r.configuration();
    if (stored == null || stored.revision() < host.configurationRevision()) {
      return;
    }
    for (Member candidate : stored.joining()) {
      if (missingApprovals(stored, candidate).isEmpty()) {
        Configuration next =
            ConfigurationEditor.apply(
                stored, new ConfigurationChange.AdmitMember(candidate.id()), host.newOperationId());
        admitCall = host.call(new StoreCall.WriteConfiguration(r.revision(), next));
        return;
      }
    }
  }

  /** Returns the data centres of which not every member is known to approve the candidate. */
  private Set<String> missingApprovals(Configuration configuration, Member candidate) {
    Set<String> missing = dataCentres(configuration);
    missing.removeIf(
        dataCentre ->
            approvalsOf(dataCentre)
                .membersByCandidate()
                .get(Approvals.candidateKey(candidate))
                .containsAll(ids(configuration, dataCentre)));
    return missing;
  }

  private Approvals approvalsOf(String dataCentre) {
    return known.getOrDefault(dataCentre, Approvals.empty(dataCentre));
  }

  private static Set<String> dataCentres(Configuration configuration) {
    Set<String> names = new HashSet<>();
    configuration.members().forEach(m -> names.add(m.dataCentre()));
    return names;
  }

  private static ImmutableSet<String> ids(Configuration configuration, String dataCentre) {
    return configuration.membersOf(dataCentre).stream()
        .map(Member::id)
        .collect(ImmutableSet.toImmutableSet());
  }
}
