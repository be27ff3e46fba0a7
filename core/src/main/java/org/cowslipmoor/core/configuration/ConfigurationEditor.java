package org.cowslipmoor.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/** Applies changes to a configuration, which produces its next revision. */
public final class ConfigurationEditor {
  private ConfigurationEditor() {}

  /**
   * Returns the first revision of a new setup.
   *
   * @throws IllegalArgumentException if the configuration is invalid
   */
  public static Configuration create(Configuration proposed, String operationId) {
    checkArgument(
        proposed.joining().isEmpty(), "a new setup lists its first hosts as members, not joining");
    return new Configuration(
        proposed.setup(),
        1,
        operationId,
        proposed.members(),
        ImmutableList.of(),
        withHomes(ImmutableList.of(), proposed.services(), proposed.members()));
  }

  /**
   * Returns the revision that results from applying a change to the base.
   *
   * @param base the configuration in effect
   * @param change the requested change
   * @param operationId identifies the operation
   * @throws IllegalArgumentException if the change refers to an unknown host, service or target, or
   *     if its result is invalid
   */
  public static Configuration apply(
      Configuration base, ConfigurationChange change, String operationId) {
    return switch (change) {
      case ConfigurationChange.Replace c -> replace(base, c.configuration(), operationId);
      case ConfigurationChange.AddMember c -> addMember(base, c.member(), operationId);
      case ConfigurationChange.AdmitMember c -> admitMember(base, c.id(), operationId);
      case ConfigurationChange.RemoveMember c -> removeMember(base, c.id(), operationId);
      case ConfigurationChange.PutService c -> putService(base, c.service(), operationId);
      case ConfigurationChange.RemoveService c -> {
        checkService(base, c.name());
        List<Service> services = new ArrayList<>(base.services());
        services.removeIf(s -> s.name().equals(c.name()));
        yield withServices(base, services, operationId);
      }
      case ConfigurationChange.AddTarget c ->
          editService(
              base,
              c.service(),
              s -> {
                List<Target> targets = new ArrayList<>(s.targets());
                targets.add(c.target());
                return s.withTargets(targets);
              },
              operationId);
      case ConfigurationChange.DrainTarget c ->
          editTargets(
              base, c.service(), c.id(), t -> List.of(t.withDraining(c.draining())), operationId);
      case ConfigurationChange.RemoveTarget c ->
          editTargets(base, c.service(), c.id(), t -> List.of(), operationId);
    };
  }

  private static Configuration replace(Configuration base, Configuration requested, String op) {
    checkArgument(
        requested.setup().equals(base.setup()),
        "the configuration is for setup %s, but this is setup %s",
        requested.setup(),
        base.setup());
    checkArgument(
        requested.members().equals(base.members()) && requested.joining().equals(base.joining()),
        "members change by adding and removing them, not by replacing the configuration");
    return withServices(base, requested.services(), op);
  }

  private static Configuration addMember(Configuration base, Member member, String op) {
    List<Member> joining = new ArrayList<>(base.joining());
    joining.add(member);
    return base.next(op, base.members(), joining, base.services());
  }

  private static Configuration admitMember(Configuration base, String id, String op) {
    List<Member> joining = new ArrayList<>(base.joining());
    Member member =
        joining.stream()
            .filter(m -> m.id().equals(id))
            .findFirst()
            .orElseThrow(() -> new IllegalArgumentException("there is no joining host " + id));
    joining.remove(member);
    List<Member> members = new ArrayList<>(base.members());
    members.add(member);
    return base.next(op, members, joining, base.services());
  }

  private static Configuration removeMember(Configuration base, String id, String op) {
    List<Member> members = new ArrayList<>(base.members());
    List<Member> joining = new ArrayList<>(base.joining());
    boolean removed = members.removeIf(m -> m.id().equals(id));
    removed |= joining.removeIf(m -> m.id().equals(id));
    checkArgument(removed, "there is no member or joining host %s", id);
    return base.next(op, members, joining, base.services());
  }

  private static Configuration putService(Configuration base, Service service, String op) {
    List<Service> services = new ArrayList<>(base.services());
    int at = indexOf(services, service.name());
    if (at >= 0) {
      services.set(at, service);
    } else {
      services.add(service);
    }
    return withServices(base, services, op);
  }

  private static Configuration editService(
      Configuration base, String name, UnaryOperator<Service> edit, String op) {
    checkService(base, name);
    List<Service> services = new ArrayList<>(base.services());
    services.replaceAll(s -> s.name().equals(name) ? edit.apply(s) : s);
    return withServices(base, services, op);
  }

  private static Configuration editTargets(
      Configuration base,
      String service,
      String id,
      Function<Target, List<Target>> edit,
      String op) {
    return editService(
        base,
        service,
        s -> {
          checkArgument(s.target(id).isPresent(), "service %s has no target %s", service, id);
          List<Target> targets = new ArrayList<>();
          for (Target t : s.targets()) {
            targets.addAll(t.id().equals(id) ? edit.apply(t) : List.of(t));
          }
          return s.withTargets(targets);
        },
        op);
  }

  private static Configuration withServices(Configuration base, List<Service> services, String op) {
    return base.next(
        op, base.members(), base.joining(), withHomes(base.services(), services, base.members()));
  }

  /** Keeps the homes of existing services and plans those of new ones. */
  private static ImmutableList<Service> withHomes(
      List<Service> before, List<Service> after, List<Member> members) {
    ImmutableList.Builder<Service> result = ImmutableList.builder();
    for (Service s : after) {
      int at = indexOf(before, s.name());
      if (!s.keyed()) {
        checkArgument(
            at < 0 || !before.get(at).keyed(),
            "service %s is keyed and can't become a service without keys",
            s.name());
        result.add(s);
      } else if (at < 0) {
        result.add(s.withHomes(HomePlanner.plan(s, members)));
      } else {
        Service old = before.get(at);
        checkArgument(
            old.keyed() && old.shards() == s.shards(),
            "the number of shards of service %s is fixed at %s, but %s were requested",
            s.name(),
            old.shards(),
            s.shards());
        checkArgument(
            old.checksGrants() == s.checksGrants(),
            "service %s can't change whether its targets check grants",
            s.name());
        result.add(s.withHomes(old.homes()));
      }
    }
    return result.build();
  }

  private static void checkService(Configuration base, String name) {
    checkArgument(base.service(name).isPresent(), "there is no service %s", name);
  }

  private static int indexOf(List<Service> services, String name) {
    for (int i = 0; i < services.size(); i++) {
      if (services.get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }
}
