package org.cowslipmoor.core.coldstart;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.junit.jupiter.api.Test;

final class AllowanceStockTest {
  private static final TargetIncarnation T = new TargetIncarnation("t", 1);
  private static final TargetIncarnation U = new TargetIncarnation("u", 1);
  private static final ColdLimit LIMIT = new ColdLimit(12);
  private static final long VALID = ColdLimit.VALID_NANOS;
  private static final long INTERVAL = AllowanceStock.MIN_ASK_INTERVAL_NANOS;

  private final AllowanceStock stock = AllowanceStock.create();

  private static Allowance allowance(int requests, long askedAt) {
    return new Allowance(ImmutableMap.of(T, requests), askedAt, VALID);
  }

  private Optional<AllowanceRequest> ask(long now) {
    stock.onDemand(T, LIMIT, now);
    return stock.nextRequest(now);
  }

  @Test
  void asksAtOnceAndThenAtMostOnceInAnInterval() {
    assertThat(ask(0), is(Optional.of(new AllowanceRequest(ImmutableMap.of(T, 1), 0))));
    assertThat(ask(1), is(Optional.empty()));
    assertThat(ask(INTERVAL - 1), is(Optional.empty()));
    assertThat(ask(INTERVAL).isPresent(), is(true));
    assertThat(stock.nextRequest(3 * INTERVAL), is(Optional.empty()));
  }

  @Test
  void oneRequestAsksForSeveralTargets() {
    stock.onDemand(T, LIMIT, 0);
    stock.onDemand(U, new ColdLimit(120), 0);
    stock.onDemand(U, new ColdLimit(120), 0);

    assertThat(
        stock.nextRequest(0),
        is(Optional.of(new AllowanceRequest(ImmutableMap.of(T, 1, U, 2), 0))));
  }

  /** Guards against many hosts that ask for a target at the highest rate while it is denied. */
  @Test
  void asksLessOftenWhileItIsDenied() {
    ask(0);
    stock.onAllowance(allowance(0, 0), 1);
    assertThat(ask(3 * INTERVAL), is(Optional.empty()));
    assertThat(ask(4 * INTERVAL).isPresent(), is(true));
    stock.onAllowance(allowance(1, 4 * INTERVAL), 4 * INTERVAL);
    assertThat(ask(5 * INTERVAL).isPresent(), is(true));
  }

  @Test
  void eachAllowanceIsSpentOnce() {
    ask(0);
    stock.onAllowance(allowance(2, 0), 1);

    assertThat(stock.spend(T, 2), is(true));
    assertThat(stock.spend(U, 2), is(false));
    assertThat(stock.spend(T, 3), is(true));
    assertThat(stock.spend(T, 4), is(false));
  }

  /** Guards against an allowance that a link held back, and is spent later than it counts. */
  @Test
  void allowanceExpiresByTheTimeOfAsking() {
    ask(0);
    stock.onAllowance(allowance(1, 0), VALID - 1);
    assertThat(stock.holds(T, VALID - 1), is(true));
    assertThat(stock.spend(T, VALID), is(false));

    stock.onAllowance(allowance(1, 0), VALID + 1);
    assertThat(stock.spend(T, VALID + 1), is(false));
  }

  /** Guards against a coordinator of another version that states a longer time. */
  @Test
  void allowanceIsNeverValidForLonger() {
    ask(0);
    stock.onAllowance(new Allowance(ImmutableMap.of(T, 1), 0, 5 * VALID), 1);

    assertThat(stock.spend(T, VALID), is(false));
  }

  /**
   * Guards against allowances without limit, for a warm target, that are spent after its restart.
   */
  @Test
  void suspicionDropsAllowancesAndIsReported() {
    ask(0);
    stock.onAllowance(allowance(1, 0), 1);
    stock.onSuspicion(T, 2);

    assertThat(stock.spend(T, 2), is(false));
    assertThat(stock.nextRequest(2), is(Optional.empty()));
    assertThat(
        stock.nextRequest(INTERVAL),
        is(Optional.of(new AllowanceRequest(ImmutableMap.of(T, 0), INTERVAL))));
  }

  /** Guards against an allowance that outlives a suspension, which the clock doesn't count. */
  @Test
  void nothingIsHeldAfterSuspension() {
    ask(0);
    stock.onAllowance(allowance(1, 0), 1);
    stock.clear();

    assertThat(stock.spend(T, 2), is(false));
  }
}
