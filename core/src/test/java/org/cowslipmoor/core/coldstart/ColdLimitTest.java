package org.cowslipmoor.core.coldstart;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.cowslipmoor.core.discovery.TargetLimits;
import org.cowslipmoor.core.routing.ServiceDescription;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ColdLimitTest {
  private static ServiceDescription service(double coldPerSecond) {
    return new ServiceDescription("stock", 100, false, "", 0, coldPerSecond);
  }

  /**
   * The sites of today, a bound by the margin, a bound by the rate, and a rate below any request.
   */
  @ParameterizedTest
  @CsvSource({"4.2, 1.5, 8, 12", "10, 1, 2, 10", "1, 1, 100, 2", "0.2, 1, 0, 0"})
  void limitIsTheSmallerOfMarginAndRate(double perSecond, double factor, double slack, int limit) {
    assertThat(
        ColdLimit.of(new TargetLimits(factor, slack, 0), service(perSecond)),
        is(Optional.of(new ColdLimit(limit))));
  }

  /** Guards against an effect in deployments that set one of the two fields only. */
  @Test
  void thereIsNoLimitWithoutRateOrFactor() {
    assertThat(ColdLimit.of(new TargetLimits(1.5, 8, 0), service(0)), is(Optional.empty()));
    assertThat(ColdLimit.of(TargetLimits.NONE, service(4.2)), is(Optional.empty()));
  }
}
