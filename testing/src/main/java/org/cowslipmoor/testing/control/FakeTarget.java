package org.cowslipmoor.testing.control;

import java.util.random.RandomGenerator;
import org.cowslipmoor.testing.target.GrantRegistry;

/** A simulated target with its grants. Not thread-safe. */
final class FakeTarget extends FakeNode {
  final String dataCentre;
  GrantRegistry grants;

  FakeTarget(String id, String dataCentre, RandomGenerator random) {
    super(id, random);
    this.dataCentre = dataCentre;
    this.grants = new GrantRegistry(id + "-1");
  }

  void restart() {
    stop();
    startNewIncarnation();
    grants = new GrantRegistry(id + "-" + incarnation());
  }
}
