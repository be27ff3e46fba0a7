package org.cowslipmoor.core.control;

import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.ownership.OwnershipTable;

/** A call to the platform's key-value service. */
public sealed interface StoreCall {

  /** Creates the leadership record of the data centre under a new lease with the given TTL. */
  record AcquireLeadership(String dataCentre, String holder, long ttlNanos) implements StoreCall {}

  /** Renews the lease of the leadership record. */
  record RenewLeadership(long leaseId) implements StoreCall {}

  /** Releases the lease of the leadership record. */
  record ReleaseLeadership(long leaseId) implements StoreCall {}

  /** Reads the ownership record of a data centre. */
  record ReadTable(String dataCentre) implements StoreCall {}

  /** Writes the ownership record if it has the expected revision; 0 if it must not exist. */
  record WriteTable(long expectedRevision, OwnershipTable table) implements StoreCall {}

  /** Reads the configuration. */
  record ReadConfiguration() implements StoreCall {}

  /** Waits until the revision of the configuration record differs from the known one. */
  record WatchConfiguration(long knownRevision) implements StoreCall {}

  /** Reads the approvals of the members of a data centre. */
  record ReadApprovals(String dataCentre) implements StoreCall {}

  /** Writes the approvals if the record has the expected revision; 0 if it must not exist. */
  record WriteApprovals(long expectedRevision, Approvals approvals) implements StoreCall {}

  /** Writes the configuration if its record has the expected revision. */
  record WriteConfiguration(long expectedRevision, Configuration configuration)
      implements StoreCall {}
}
