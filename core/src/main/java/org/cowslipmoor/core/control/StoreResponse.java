package org.cowslipmoor.core.control;

import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.jspecify.annotations.Nullable;

/** An answer of the platform's key-value service. */
public sealed interface StoreResponse {

  /** Tells that the caller leads, under the given lease. */
  record LeadershipAcquired(long leaseId) implements StoreResponse {}

  /** Tells that another host holds the leadership record. */
  record LeadershipHeld() implements StoreResponse {}

  /** Tells whether the lease was still alive and has been prolonged. */
  record LeadershipRenewed(boolean alive) implements StoreResponse {}

  /** Brings the ownership record; revision 0 and no table when there is none. */
  record TableRead(long revision, @Nullable OwnershipTable table) implements StoreResponse {}

  /** Brings the configuration; revision 0 and no configuration when there is none. */
  record ConfigurationRead(long revision, @Nullable Configuration configuration)
      implements StoreResponse {}

  /** Brings a data centre's approvals; revision 0 and none when there is no record. */
  record ApprovalsRead(long revision, Approvals approvals) implements StoreResponse {}

  /** Tells whether a write took effect, and the record's revision after it. */
  record WriteDone(boolean written, long revision) implements StoreResponse {}

  /** Tells that no answer came; a write may have taken effect. */
  record NoResponse() implements StoreResponse {}
}
