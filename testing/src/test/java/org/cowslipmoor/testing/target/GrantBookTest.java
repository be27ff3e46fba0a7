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

final class GrantBookTest {
  private static final long DURATION = 1_000;
  private static final ShardId SHARD = new ShardId("stock", 1);
  private static final Fence FIRST = new Fence(1, 2);
  private static final Fence SECOND = new Fence(1, 3);

  private final GrantBook book = new GrantBook("run-1");

  private String tokenAt(long now) {
    return book.renew(new Renewal(0, 0, "", 0, ImmutableMap.of(), ImmutableMap.of()), now).token();
  }

  private RenewalResponse.Received grant(long version, String token, Fence fence, long now) {
    return book.renew(
        new Renewal(version, 1, token, DURATION, ImmutableMap.of(SHARD, fence), ImmutableMap.of()),
        now);
  }

  private RenewalResponse.Received release(long version, Fence fence, long now) {
    return book.renew(
        new Renewal(
            version, 1, tokenAt(now), DURATION, ImmutableMap.of(), ImmutableMap.of(SHARD, fence)),
        now);
  }

  @Test
  void grantLapsesItsDurationAfterTheTokenWasIssued() {
    String token = tokenAt(100);
    assertThat(grant(2, token, FIRST, 600).accepted(), is(true));
    assertThat(book.serves(SHARD, FIRST, 1_099), is(true));
    assertThat(book.serves(SHARD, FIRST, 1_100), is(false));
  }

  @Test
  void renewalThatWasUnderWayForLongerThanItsDurationIsRefused() {
    String token = tokenAt(100);
    assertThat(grant(2, token, FIRST, 1_100).accepted(), is(false));
    assertThat(book.serves(SHARD, FIRST, 1_100), is(false));
  }

  @Test
  void tokenOfAnEarlierRunIsRefused() {
    assertThat(grant(2, "run-0:100", FIRST, 200).accepted(), is(false));
  }

  @Test
  void olderVersionAndOtherFenceAreRefused() {
    grant(3, tokenAt(100), SECOND, 100);
    assertThat(grant(2, tokenAt(100), FIRST, 100).accepted(), is(false));
    assertThat(book.serves(SHARD, SECOND, 101), is(true));
    assertThat(book.serves(SHARD, FIRST, 101), is(false));
  }

  @Test
  void releaseWaitsForTheWorkInProgressAndRefusesNewWork() {
    grant(2, tokenAt(100), FIRST, 100);
    assertThat(book.begin(SHARD, FIRST, 200), is(true));
    assertThat(release(3, SECOND, 900).released(), is(anEmptyMap()));
    assertThat(book.begin(SHARD, FIRST, 901), is(false));
    // The release keeps the work covered beyond the grant's own time.
    assertThat(release(3, SECOND, 1_500).released(), is(anEmptyMap()));
    assertThat(book.end(SHARD, FIRST), is(2_500L));
    assertThat(release(3, SECOND, 1_600).released(), is(ImmutableMap.of(SHARD, SECOND)));
  }

  @Test
  void workIsCoveredNoLongerOnceItsShardIsTakenAway() {
    grant(2, tokenAt(100), FIRST, 100);
    book.begin(SHARD, FIRST, 200);
    grant(3, tokenAt(300), SECOND, 300);
    assertThat(book.end(SHARD, FIRST), is(300L));
  }
}
