package org.cowslipmoor.core.control;

import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.ownership.OwnershipTable;

/** A call to the platform's key-value service. */
public sealed interface StoreCall {

  /** Creates the data centre's leadership record under a new lease of the given nanoseconds. */
  record AcquireLeadership(String dataCentre, String holder, long ttlNanos) implements StoreCall {}

  /** Prolongs the lease of the leadership record. */
  record RenewLeadership(long leaseId) implements StoreCall {}

  /** Gives up the lease of the leadership record. */
  record ReleaseLeadership(long leaseId) implements StoreCall {}

  /** Reads the ownership record of a data centre. */
  record ReadTable(String dataCentre) implements StoreCall {}

  /** Writes the ownership record when its revision is the expected one; 0 expects none. */
  record WriteTable(long expectedRevision, OwnershipTable table) implements StoreCall {}

  /** Reads the configuration. */
  record ReadConfiguration() implements StoreCall {}

  /** Waits until the configuration's record has another revision than the known one. */
  record WatchConfiguration(long knownRevision) implements StoreCall {}

  /** Reads the approvals that a data centre's members have given. */
  record ReadApprovals(String dataCentre) implements StoreCall {}

  /** Writes a data centre's approvals when the record has the expected revision; 0 for none. */
  record WriteApprovals(long expectedRevision, Approvals approvals) implements StoreCall {}

  /** Writes the configuration when its record has the expected revision. */
  record WriteConfiguration(long expectedRevision, Configuration configuration)
      implements StoreCall {}
}
