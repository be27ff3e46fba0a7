package org.cowslipmoor.testing.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Places requests on targets of which some fail all requests at once. */
final class FailingTargetsTest {
  private static final int SECONDS = 20;

  /** Guards against each host that finds out a failing target by failures of its own. */
  @ParameterizedTest
  @CsvSource({"19, 1, 0.02", "63, 4, 0.02", "102, 7, 0.02", "300, 21, 0.03"})
  void fewRequestsFail(int hosts, int failingTargets, double maxFailed) {
    PlacementScenario scenario =
        PlacementScenario.orders(hosts, 0.58, 0.58).withFailingTargets(failingTargets);
    PlacementSimulation.Result r =
        new PlacementSimulation(scenario, new PlacementPolicy.Product(), 1).run(SECONDS);

    assertThat(r.failed(), lessThan(maxFailed));
  }
}
