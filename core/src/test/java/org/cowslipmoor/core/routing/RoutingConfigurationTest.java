package org.cowslipmoor.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RoutingConfigurationTest {
  private static final CallerLimits LIMITS = new CallerLimits(1_000, 1_000, 1_000, 1_000);

  private static RouteRule rule(String name, String host, String prefix, String service) {
    return new RouteRule(
        name,
        host,
        prefix,
        RequestKind.SAFE,
        2,
        1_000,
        500,
        1,
        ImmutableList.of(new Destination(service, 1)));
  }

  private static RoutingConfiguration configuration(RouteRule... rules) {
    return RoutingConfiguration.of(
        1, LIMITS, List.of(new ServiceDescription("stock", 10, true)), List.of(rules));
  }

  @Test
  void longestPrefixOfTheHostIsFound() {
    RoutingConfiguration c =
        configuration(
            rule("short", "a", "/x/", "stock"),
            rule("long", "a", "/x/y/", "stock"),
            rule("other", "b", "/x/y/z/", "stock"));

    assertThat(c.find("a", "/x/y/z/1").map(RouteEntry::name), is(Optional.of("long")));
    assertThat(c.find("a", "/x/1").map(RouteEntry::name), is(Optional.of("short")));
    assertThat(c.find("a", "/x").map(RouteEntry::name), is(Optional.empty()));
    assertThat(c.find("c", "/x/1").map(RouteEntry::name), is(Optional.empty()));
  }

  @Test
  void routeToAnUnknownServiceIsRejected() {
    IllegalArgumentException e =
        assertThrows(
            IllegalArgumentException.class, () -> configuration(rule("r", "a", "/x/", "gone")));
    assertThat(e.getMessage(), containsString("unknown service 'gone'"));
  }

  @Test
  void twoRoutesForOnePrefixAreRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> configuration(rule("r", "a", "/x/", "stock"), rule("s", "a", "/x/", "stock")));
  }
}
