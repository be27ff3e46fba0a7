package org.cowslipmoor.core.control;

import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.jspecify.annotations.Nullable;

/** A response of the platform's key-value service. */
public sealed interface StoreResponse {

  /** Reports that the requesting host has become the leader, under the given lease. */
  record LeadershipAcquired(long leaseId) implements StoreResponse {}

  /** Reports that another host holds the leadership record. */
  record LeadershipHeld() implements StoreResponse {}

  /** Reports whether the lease was still alive and has been renewed. */
  record LeadershipRenewed(boolean alive) implements StoreResponse {}

  /** Contains the ownership record; revision 0 and no table if there is none. */
  record TableRead(long revision, @Nullable OwnershipTable table) implements StoreResponse {}

  /** Contains the configuration record; revision 0 and no configuration if there is none. */
  record ConfigurationRead(long revision, @Nullable Configuration configuration)
      implements StoreResponse {}

  /** Contains the approvals of a data centre; revision 0 and no approvals if there is no record. */
  record ApprovalsRead(long revision, Approvals approvals) implements StoreResponse {}

  /** Reports whether a write took effect, and the revision of the record after it. */
  record WriteDone(boolean written, long revision) implements StoreResponse {}

  /** Reports that no response was received; a write may have taken effect. */
  record NoResponse() implements StoreResponse {}
}
