package org.cowslipmoor.core.ownership;

/** Progress of a change of a shard's owner. */
public enum ShardPhase {
  /** The owner may be granted the shard and serve it. */
  ACTIVE,
  /** The former owner's grant is expiring; no target may be granted the shard. */
  REVOKING,
  /** The former owner completes its requests in progress and then releases the shard. */
  RELEASING
}
