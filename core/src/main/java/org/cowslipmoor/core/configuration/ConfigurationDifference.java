package org.cowslipmoor.core.configuration;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Lists the differences between two revisions of a configuration, for review. */
public final class ConfigurationDifference {
  private ConfigurationDifference() {}

  /** Returns one line per difference between two revisions; empty when they are equal. */
  public static ImmutableList<String> between(Configuration before, Configuration after) {
    ImmutableList.Builder<String> lines = ImmutableList.builder();
    compare("member", before.members(), after.members(), Member::id, Object::toString, lines);
    compare("joining", before.joining(), after.joining(), Member::id, Object::toString, lines);
    compare(
        "service",
        before.services(),
        after.services(),
        Service::name,
        ConfigurationDifference::settings,
        lines);
    Map<String, Service> old = index(before.services(), Service::name);
    for (Service s : after.services()) {
      Service previous = old.get(s.name());
      compare(
          "target of " + s.name(),
          previous == null ? ImmutableList.of() : previous.targets(),
          s.targets(),
          Target::id,
          Object::toString,
          lines);
    }
    return lines.build();
  }

  private static String settings(Service s) {
    return s.withTargets(ImmutableList.of()).withHomes(ImmutableList.of()).toString();
  }

  private static <T> void compare(
      String kind,
      Collection<T> before,
      Collection<T> after,
      Function<T, String> id,
      Function<T, String> text,
      ImmutableList.Builder<String> lines) {
    Map<String, T> old = index(before, id);
    Map<String, T> current = index(after, id);
    for (T value : before) {
      if (!current.containsKey(id.apply(value))) {
        lines.add("- " + kind + " " + id.apply(value));
      }
    }
    for (T value : after) {
      T previous = old.get(id.apply(value));
      if (previous == null) {
        lines.add("+ " + kind + " " + text.apply(value));
      } else if (!text.apply(previous).equals(text.apply(value))) {
        lines.add("~ " + kind + " " + text.apply(previous) + " -> " + text.apply(value));
      }
    }
  }

  private static <T> Map<String, T> index(Collection<T> values, Function<T, String> id) {
    return values.stream().collect(Collectors.toMap(id, Function.identity()));
  }
}
