package org.cowslipmoor.core.coldstart;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.cowslipmoor.core.fleet.StorePlace;
import org.junit.jupiter.api.Test;

final class AllowanceLedgerTest {
  private static final ColdLimit LIMIT = new ColdLimit(12);
  private static final long WINDOW = ColdLimit.WINDOW_NANOS;

  private final AllowanceLedger ledger = AllowanceLedger.create();

  @Test
  void handsOutNoMoreThanTheLimitInAnyWindow() {
    ledger.onTerm(new StorePlace(0, 1), -WINDOW);

    assertThat(ledger.handOut("t", 5, LIMIT, 1), is(5));
    assertThat(ledger.handOut("t", 9, LIMIT, 2), is(7));
    assertThat(ledger.handOut("u", 9, LIMIT, 2), is(9));
    assertThat(ledger.handOut("t", 9, LIMIT, 1 + WINDOW), is(0));
    assertThat(ledger.handOut("t", 9, LIMIT, 2 + WINDOW), is(5));
  }

  /** Guards against allowances of two coordinators that are spent in the same second. */
  @Test
  void handsOutNothingInTheFirstWindowOfEachTerm() {
    assertThat(ledger.handOut("t", 1, LIMIT, 0), is(0));
    ledger.onTerm(new StorePlace(0, 1), 0);
    assertThat(ledger.handOut("t", 1, LIMIT, WINDOW), is(0));
    assertThat(ledger.handOut("t", 1, LIMIT, WINDOW + 1), is(1));
    ledger.onTerm(new StorePlace(0, 2), WINDOW + 2);
    assertThat(ledger.handOut("t", 1, LIMIT, 2 * WINDOW + 2), is(0));
    assertThat(ledger.handOutForWarm("t", 1, 2 * WINDOW + 2), is(0));
    assertThat(ledger.handOut("t", 1, LIMIT, 2 * WINDOW + 3), is(1));
  }

  /** Guards against a pause of all cold targets whenever a lease is renewed late. */
  @Test
  void termThatContinuesIsNoNewOne() {
    ledger.onTerm(new StorePlace(0, 1), 0);
    ledger.onTerm(new StorePlace(0, 1), WINDOW);

    assertThat(ledger.handOut("t", 1, LIMIT, WINDOW + 1), is(1));
  }

  /** Guards against a target that becomes cold while allowances for it as a warm one are valid. */
  @Test
  void whatIsHandedOutForWarmTargetsCounts() {
    ledger.onTerm(new StorePlace(0, 1), -WINDOW);

    assertThat(ledger.handOutForWarm("t", 40, 1), is(40));
    assertThat(ledger.handOut("t", 1, LIMIT, 1 + WINDOW), is(0));
    assertThat(ledger.handOut("t", 1, LIMIT, 2 + WINDOW), is(1));
  }
}
