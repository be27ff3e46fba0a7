package org.cowslipmoor.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The operators' configuration of a setup. Immutable.
 *
 * @param setup name of the setup
 * @param revision number of accepted changes, at least 1; never decreases
 * @param operationId identifies the operation that wrote this revision
 * @param members hosts that serve requests
 * @param joining hosts that await the approval of every member
 * @param services the services, with unique names
 */
public record Configuration(
    String setup,
    long revision,
    String operationId,
    ImmutableList<Member> members,
    ImmutableList<Member> joining,
    ImmutableList<Service> services) {

  /**
   * Checks the setup's name and revision, and that ids and names are unique.
   *
   * @throws IllegalArgumentException if the setup's name is malformed, the revision is below 1,
   *     there is no member, or a member, service or target is listed twice
   */
  public Configuration {
    FieldChecks.checkName("setup", setup);
    checkArgument(revision >= 1, "revision must be at least 1, but is %s", revision);
    checkArgument(!members.isEmpty(), "setup %s needs at least one member", setup);
    Set<String> ids = new HashSet<>();
    for (Member m : members) {
      checkArgument(ids.add(m.id()), "member %s is listed twice", m.id());
    }
    for (Member m : joining) {
      checkArgument(ids.add(m.id()), "member %s is listed twice", m.id());
    }
    Set<String> names = new HashSet<>();
    Set<String> targets = new HashSet<>();
    for (Service s : services) {
      checkArgument(names.add(s.name()), "service %s is listed twice", s.name());
      for (Target t : s.targets()) {
        checkArgument(targets.add(t.id()), "target %s is listed twice", t.id());
      }
    }
  }

  /** Returns the service with the given name. */
  public Optional<Service> service(String name) {
    return services.stream().filter(s -> s.name().equals(name)).findFirst();
  }

  /** Returns the member with the given id, joining hosts excluded. */
  public Optional<Member> member(String id) {
    return members.stream().filter(m -> m.id().equals(id)).findFirst();
  }

  /** Returns the members of a data centre, in the order of the configuration. */
  public ImmutableList<Member> membersOf(String dataCentre) {
    return members.stream()
        .filter(m -> m.dataCentre().equals(dataCentre))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the next revision, with the given content. */
  Configuration next(
      String newOperationId,
      Iterable<Member> newMembers,
      Iterable<Member> newJoining,
      Iterable<Service> newServices) {
    return new Configuration(
        setup,
        revision + 1,
        newOperationId,
        ImmutableList.copyOf(newMembers),
        ImmutableList.copyOf(newJoining),
        ImmutableList.copyOf(newServices));
  }
}
