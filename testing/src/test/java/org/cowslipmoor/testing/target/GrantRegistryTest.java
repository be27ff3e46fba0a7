package org.cowslipmoor.testing.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableMap;
import org.cowslipmoor.core.control.Renewal;
import org.cowslipmoor.core.control.RenewalResponse;
import org.cowslipmoor.core.ownership.Fence;
import org.cowslipmoor.core.ownership.ShardId;
import org.junit.jupiter.api.Test;

/** Tests how renewals grant, extend and release shards, and how long they cover work. */
final class GrantRegistryTest {
  private static final long DURATION_NANOS = 1_000;
  private static final ShardId SHARD = new ShardId("stock", 1);
  private static final Fence FIRST_FENCE = new Fence(1, 2);
  private static final Fence SECOND_FENCE = new Fence(1, 3);

  private final GrantRegistry grants = new GrantRegistry("run-1");

  private String tokenAt(long now) {
    return grants
        .renew(new Renewal(0, 0, "", 0, ImmutableMap.of(), ImmutableMap.of()), now)
        .token();
  }

  private RenewalResponse.Received grant(long version, String token, Fence fence, long now) {
    return grants.renew(
        new Renewal(
            version, 1, token, DURATION_NANOS, ImmutableMap.of(SHARD, fence), ImmutableMap.of()),
        now);
  }

  private RenewalResponse.Received release(long version, Fence fence, long now) {
    return grants.renew(
        new Renewal(
            version,
            1,
            tokenAt(now),
            DURATION_NANOS,
            ImmutableMap.of(),
            ImmutableMap.of(SHARD, fence)),
        now);
  }

  @Test
  void grantExpiresItsDurationAfterTheTokenWasIssued() {
    String token = tokenAt(100);
    assertThat(grant(2, token, FIRST_FENCE, 600).accepted(), is(true));
    assertThat(grants.serves(SHARD, FIRST_FENCE, 1_099), is(true));
    assertThat(grants.serves(SHARD, FIRST_FENCE, 1_100), is(false));
  }

  @Test
  void renewalDelayedForItsDurationIsRejected() {
    String token = tokenAt(100);
    assertThat(grant(2, token, FIRST_FENCE, 1_100).accepted(), is(false));
    assertThat(grants.serves(SHARD, FIRST_FENCE, 1_100), is(false));
  }

  @Test
  void tokenOfEarlierIncarnationIsRejected() {
    assertThat(grant(2, "run-0:100", FIRST_FENCE, 200).accepted(), is(false));
  }

  @Test
  void olderVersionAndOtherFenceAreRejected() {
    grant(3, tokenAt(100), SECOND_FENCE, 100);
    assertThat(grant(2, tokenAt(100), FIRST_FENCE, 100).accepted(), is(false));
    assertThat(grants.serves(SHARD, SECOND_FENCE, 101), is(true));
    assertThat(grants.serves(SHARD, FIRST_FENCE, 101), is(false));
  }

  @Test
  void releaseWaitsForWorkInProgressAndRejectsNewWork() {
    grant(2, tokenAt(100), FIRST_FENCE, 100);
    assertThat(grants.begin(SHARD, FIRST_FENCE, 200), is(true));
    assertThat(release(3, SECOND_FENCE, 900).released(), is(anEmptyMap()));
    assertThat(grants.begin(SHARD, FIRST_FENCE, 901), is(false));
    // The release extends the cover of the work beyond the expiry of its grant.
    assertThat(release(3, SECOND_FENCE, 1_500).released(), is(anEmptyMap()));
    assertThat(grants.end(SHARD, FIRST_FENCE), is(2_500L));
    assertThat(
        release(3, SECOND_FENCE, 1_600).released(), is(ImmutableMap.of(SHARD, SECOND_FENCE)));
  }

  @Test
  void workIsNotCoveredAfterItsShardIsReassigned() {
    grant(2, tokenAt(100), FIRST_FENCE, 100);
    grants.begin(SHARD, FIRST_FENCE, 200);
    grant(3, tokenAt(300), SECOND_FENCE, 300);
    assertThat(grants.end(SHARD, FIRST_FENCE), is(300L));
  }
}
