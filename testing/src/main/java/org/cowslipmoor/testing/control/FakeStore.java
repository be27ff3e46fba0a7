package org.cowslipmoor.testing.control;

import java.util.HashMap;
import java.util.Map;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.control.Approvals;
import org.cowslipmoor.core.control.StoreCall;
import org.cowslipmoor.core.control.StoreResponse;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.jspecify.annotations.Nullable;

/**
 * A fake of the platform's key-value service in virtual time: compare-and-swap on revisions, leases
 * whose expiry removes the leadership record, and counts of calls. Not thread-safe.
 */
public final class FakeStore {
  private final Map<String, LeadershipRecord> leadershipRecords = new HashMap<>();
  private final Map<String, TableRecord> tables = new HashMap<>();
  private final Map<String, ApprovalsRecord> approvals = new HashMap<>();
  private @Nullable Configuration configuration;
  private long configurationRevision;
  private long lastRevision;
  private long lastLease;
  private long reads;
  private long writes;
  private long keepAlives;

  private record LeadershipRecord(String holder, long lease, long ttl, long until) {}

  private record ApprovalsRecord(long revision, Approvals approvals) {}

  private record TableRecord(long revision, OwnershipTable table) {}

  /**
   * Performs a call and returns its response.
   *
   * @param call the call
   * @param now the time of the store's own clock, in nanoseconds
   */
  public StoreResponse call(StoreCall call, long now) {
    leadershipRecords.values().removeIf(l -> now - l.until() >= 0);
    return switch (call) {
      case StoreCall.AcquireLeadership c -> acquire(c, now);
      case StoreCall.RenewLeadership c -> renewLease(c.leaseId(), now);
      case StoreCall.ReleaseLeadership c -> {
        writes++;
        leadershipRecords.values().removeIf(l -> l.lease() == c.leaseId());
        yield new StoreResponse.LeadershipRenewed(false);
      }
      case StoreCall.ReadTable c -> {
        reads++;
        TableRecord r = tables.get(c.dataCentre());
        yield r == null
            ? new StoreResponse.TableRead(0, null)
            : new StoreResponse.TableRead(r.revision(), r.table());
      }
      case StoreCall.WriteTable c -> writeTable(c);
      case StoreCall.ReadConfiguration c -> {
        reads++;
        yield new StoreResponse.ConfigurationRead(configurationRevision, configuration);
      }
      case StoreCall.ReadApprovals c -> {
        reads++;
        ApprovalsRecord r = approvals.get(c.dataCentre());
        yield r == null
            ? new StoreResponse.ApprovalsRead(0, Approvals.empty(c.dataCentre()))
            : new StoreResponse.ApprovalsRead(r.revision(), r.approvals());
      }
      case StoreCall.WriteApprovals c -> writeApprovals(c);
      case StoreCall.WriteConfiguration c -> writeConfiguration(c);
      case StoreCall.WatchConfiguration c -> {
        reads++;
        yield new StoreResponse.ConfigurationRead(configurationRevision, configuration);
      }
    };
  }

  /** Ends all leases before they expire. */
  public void endLeases() {
    leadershipRecords.clear();
  }

  /** Accepts a configuration, as an operator's successful write does. */
  public void accept(Configuration accepted) {
    lastRevision++;
    configuration = accepted;
    configurationRevision = lastRevision;
  }

  /** Returns the accepted configuration; null before there is one. */
  public @Nullable Configuration configuration() {
    return configuration;
  }

  /** Returns the ownership table of a data centre; null before there is one. */
  public @Nullable OwnershipTable table(String dataCentre) {
    TableRecord r = tables.get(dataCentre);
    return r == null ? null : r.table();
  }

  /** Returns the number of reads and watches so far. */
  public long reads() {
    return reads;
  }

  /** Returns the number of writes so far, without lease renewals. */
  public long writes() {
    return writes;
  }

  /** Returns the number of lease renewals so far. */
  public long keepAlives() {
    return keepAlives;
  }

  private StoreResponse acquire(StoreCall.AcquireLeadership c, long now) {
    writes += 2;
    if (leadershipRecords.containsKey(c.dataCentre())) {
      return new StoreResponse.LeadershipHeld();
    }
    lastLease++;
    leadershipRecords.put(
        c.dataCentre(),
        new LeadershipRecord(c.holder(), lastLease, c.ttlNanos(), now + c.ttlNanos()));
    return new StoreResponse.LeadershipAcquired(lastLease);
  }

  private StoreResponse renewLease(long lease, long now) {
    keepAlives++;
    for (Map.Entry<String, LeadershipRecord> e : leadershipRecords.entrySet()) {
      LeadershipRecord l = e.getValue();
      if (l.lease() == lease) {
        e.setValue(new LeadershipRecord(l.holder(), lease, l.ttl(), now + l.ttl()));
        return new StoreResponse.LeadershipRenewed(true);
      }
    }
    return new StoreResponse.LeadershipRenewed(false);
  }

  private StoreResponse writeApprovals(StoreCall.WriteApprovals c) {
    writes++;
    ApprovalsRecord current = approvals.get(c.approvals().dataCentre());
    long revision = current == null ? 0 : current.revision();
    if (revision != c.expectedRevision()) {
      return new StoreResponse.WriteDone(false, revision);
    }
    lastRevision++;
    approvals.put(c.approvals().dataCentre(), new ApprovalsRecord(lastRevision, c.approvals()));
    return new StoreResponse.WriteDone(true, lastRevision);
  }

  private StoreResponse writeConfiguration(StoreCall.WriteConfiguration c) {
    writes++;
    if (configurationRevision != c.expectedRevision()) {
      return new StoreResponse.WriteDone(false, configurationRevision);
    }
    accept(c.configuration());
    return new StoreResponse.WriteDone(true, configurationRevision);
  }

  private StoreResponse writeTable(StoreCall.WriteTable c) {
    writes++;
    TableRecord current = tables.get(c.table().dataCentre());
    long revision = current == null ? 0 : current.revision();
    if (revision != c.expectedRevision()) {
      return new StoreResponse.WriteDone(false, revision);
    }
    lastRevision++;
    tables.put(c.table().dataCentre(), new TableRecord(lastRevision, c.table()));
    return new StoreResponse.WriteDone(true, lastRevision);
  }
}
