package org.cowslipmoor.testing.control;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.ConfigurationEditor;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.core.configuration.Priority;
import org.cowslipmoor.core.configuration.Service;
import org.cowslipmoor.core.configuration.Target;

/** Creates configurations for tests and experiments. */
public final class SampleSetups {
  private static final int FIRST_PORT = 10_000;

  private SampleSetups() {}

  /**
   * Returns a setup with one keyed service named {@code stock}.
   *
   * @param dataCentres number of data centres, named {@code dc-1} and so on
   * @param hosts hosts in each, named {@code host-1-1} and so on
   * @param targets targets in each, named {@code stock-1-1} and so on
   * @param shards total number of shards
   * @param checksGrants whether the targets check grants
   */
  public static Configuration keyed(
      int dataCentres, int hosts, int targets, int shards, boolean checksGrants) {
    ImmutableList.Builder<Member> members = ImmutableList.builder();
    ImmutableList.Builder<Target> all = ImmutableList.builder();
    for (int d = 1; d <= dataCentres; d++) {
      for (int h = 1; h <= hosts; h++) {
        members.add(member(d, h));
      }
      for (int t = 1; t <= targets; t++) {
        all.add(target(d, t));
      }
    }
    Service stock =
        new Service(
            "stock",
            true,
            shards,
            true,
            Duration.ofSeconds(2),
            Duration.ofSeconds(2),
            checksGrants,
            Priority.NORMAL,
            all.build(),
            ImmutableList.of());
    Configuration proposed =
        new Configuration(
            "main", 1, "", members.build(), ImmutableList.of(), ImmutableList.of(stock));
    return ConfigurationEditor.create(proposed, "create");
  }

  /** Returns a host of a data centre. */
  public static Member member(int dataCentre, int number) {
    return new Member(
        "host-" + dataCentre + "-" + number,
        "dc-" + dataCentre,
        "127.0.0.1",
        FIRST_PORT + 100 * dataCentre + number,
        2 * FIRST_PORT + 100 * dataCentre + number,
        3 * FIRST_PORT + 100 * dataCentre + number);
  }

  /** Returns a target of a data centre. */
  public static Target target(int dataCentre, int number) {
    return new Target(
        "stock-" + dataCentre + "-" + number,
        "dc-" + dataCentre,
        "127.0.0.1",
        4 * FIRST_PORT + 100 * dataCentre + number,
        4,
        230,
        false);
  }
}
