package org.cowslipmoor.core.control;

import com.google.common.collect.ImmutableMap;
import org.cowslipmoor.core.ownership.ShardId;

/** Provides the shards for which the host has requests in progress. */
public interface RequestsInProgress {

  /** Returns whether a request for the shard is being sent to or processed by a target. */
  boolean isBusy(ShardId shard);

  /** Returns the recent requests per second by shard; idle shards may be left out. */
  ImmutableMap<ShardId, Double> loads();
}
