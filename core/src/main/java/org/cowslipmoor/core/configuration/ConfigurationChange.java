package org.cowslipmoor.core.configuration;

/** A change that an operator requests, or that the admission of a host makes. */
public sealed interface ConfigurationChange {

  /** Replaces the services and targets; members change only through their own changes. */
  record Replace(Configuration configuration) implements ConfigurationChange {}

  /** Adds a joining host, which becomes a member once every member has approved it. */
  record AddMember(Member member) implements ConfigurationChange {}

  /** Makes a joining host, which every member has approved, a member. */
  record AdmitMember(String id) implements ConfigurationChange {}

  /** Removes a member or a joining host. */
  record RemoveMember(String id) implements ConfigurationChange {}

  /** Adds a service, or replaces its settings and targets. */
  record PutService(Service service) implements ConfigurationChange {}

  /** Removes a service and the ownership of its keys. */
  record RemoveService(String name) implements ConfigurationChange {}

  /** Adds a target to a service. */
  record AddTarget(String service, Target target) implements ConfigurationChange {}

  /** Starts or stops draining a target. */
  record DrainTarget(String service, String id, boolean draining) implements ConfigurationChange {}

  /** Removes a target from a service. */
  record RemoveTarget(String service, String id) implements ConfigurationChange {}
}
