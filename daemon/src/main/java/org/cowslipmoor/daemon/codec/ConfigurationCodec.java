package org.cowslipmoor.daemon.codec;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.core.configuration.Priority;
import org.cowslipmoor.core.configuration.Service;
import org.cowslipmoor.core.configuration.Target;

/** Converts configurations between the core's records and the schema's messages. */
public final class ConfigurationCodec {
  private ConfigurationCodec() {}

  /** Converts to the schema's message. */
  public static org.cowslipmoor.schema.configuration.Configuration encode(Configuration c) {
    return org.cowslipmoor.schema.configuration.Configuration.newBuilder()
        .setSetup(c.setup())
        .setRevision(c.revision())
        .setOperationId(c.operationId())
        .addAllMembers(c.members().stream().map(ConfigurationCodec::encodeMember).toList())
        .addAllJoining(c.joining().stream().map(ConfigurationCodec::encodeMember).toList())
        .addAllServices(c.services().stream().map(ConfigurationCodec::encodeService).toList())
        .build();
  }

  /**
   * Converts from the schema's message.
   *
   * @throws IllegalArgumentException if the configuration is invalid
   */
  public static Configuration decode(org.cowslipmoor.schema.configuration.Configuration c) {
    return new Configuration(
        c.getSetup(),
        Math.max(1, c.getRevision()),
        c.getOperationId(),
        c.getMembersList().stream()
            .map(ConfigurationCodec::decodeMember)
            .collect(ImmutableList.toImmutableList()),
        c.getJoiningList().stream()
            .map(ConfigurationCodec::decodeMember)
            .collect(ImmutableList.toImmutableList()),
        c.getServicesList().stream()
            .map(ConfigurationCodec::decodeService)
            .collect(ImmutableList.toImmutableList()));
  }

  /** Converts a member to the schema's message. */
  public static org.cowslipmoor.schema.configuration.Member encodeMember(Member m) {
    return org.cowslipmoor.schema.configuration.Member.newBuilder()
        .setId(m.id())
        .setDataCentre(m.dataCentre())
        .setIp(m.ip())
        .setCallerPort(m.callerPort())
        .setOperatorPort(m.operatorPort())
        .setMemberPort(m.memberPort())
        .build();
  }

  /**
   * Converts a member from the schema's message.
   *
   * @throws IllegalArgumentException if a part is malformed
   */
  public static Member decodeMember(org.cowslipmoor.schema.configuration.Member m) {
    return new Member(
        m.getId(),
        m.getDataCentre(),
        m.getIp(),
        m.getCallerPort(),
        m.getOperatorPort(),
        m.getMemberPort());
  }

  /** Converts a target to the schema's message. */
  public static org.cowslipmoor.schema.configuration.Target encodeTarget(Target t) {
    return org.cowslipmoor.schema.configuration.Target.newBuilder()
        .setId(t.id())
        .setDataCentre(t.dataCentre())
        .setIp(t.ip())
        .setPort(t.port())
        .setSlots(t.slots())
        .setConnections(t.connections())
        .setDraining(t.draining())
        .build();
  }

  /**
   * Converts a target from the schema's message.
   *
   * @throws IllegalArgumentException if a part is malformed
   */
  public static Target decodeTarget(org.cowslipmoor.schema.configuration.Target t) {
    return new Target(
        t.getId(),
        t.getDataCentre(),
        t.getIp(),
        t.getPort(),
        t.getSlots(),
        t.getConnections(),
        t.getDraining());
  }

  /** Converts a service to the schema's message. */
  public static org.cowslipmoor.schema.configuration.Service encodeService(Service s) {
    Map<String, Integer> indexByName = new LinkedHashMap<>();
    s.homes().forEach(home -> indexByName.putIfAbsent(home, indexByName.size()));
    return org.cowslipmoor.schema.configuration.Service.newBuilder()
        .setName(s.name())
        .setKeyed(s.keyed())
        .setShards(s.shards())
        .setRepeatable(s.repeatable())
        .setDefaultDeadlineMs((int) s.defaultDeadline().toMillis())
        .setMaxDeadlineMs((int) s.maxDeadline().toMillis())
        .setChecksGrants(s.checksGrants())
        .setPriority(encodePriority(s.priority()))
        .addAllTargets(s.targets().stream().map(ConfigurationCodec::encodeTarget).toList())
        .addAllHomes(s.homes().stream().map(home -> indexByName.getOrDefault(home, 0)).toList())
        .addAllHomeDataCentres(indexByName.keySet())
        .build();
  }

  /**
   * Converts a service from the schema's message.
   *
   * @throws IllegalArgumentException if a part is malformed or the parts are inconsistent
   */
  public static Service decodeService(org.cowslipmoor.schema.configuration.Service s) {
    ImmutableList.Builder<String> homes = ImmutableList.builder();
    for (int index : s.getHomesList()) {
      if (index < 0 || index >= s.getHomeDataCentresCount()) {
        throw new IllegalArgumentException(
            "service "
                + s.getName()
                + " refers to home data centre index "
                + index
                + ", but the number of home data centres is "
                + s.getHomeDataCentresCount());
      }
      homes.add(s.getHomeDataCentres(index));
    }
    return new Service(
        s.getName(),
        s.getKeyed(),
        s.getShards(),
        s.getRepeatable(),
        Duration.ofMillis(s.getDefaultDeadlineMs()),
        Duration.ofMillis(s.getMaxDeadlineMs()),
        s.getChecksGrants(),
        decodePriority(s.getPriority(), s.getName()),
        s.getTargetsList().stream()
            .map(ConfigurationCodec::decodeTarget)
            .collect(ImmutableList.toImmutableList()),
        homes.build());
  }

  private static org.cowslipmoor.schema.configuration.Priority encodePriority(Priority p) {
    return switch (p) {
      case URGENT -> org.cowslipmoor.schema.configuration.Priority.PRIORITY_URGENT;
      case NORMAL -> org.cowslipmoor.schema.configuration.Priority.PRIORITY_NORMAL;
      case BULK -> org.cowslipmoor.schema.configuration.Priority.PRIORITY_BULK;
    };
  }

  private static Priority decodePriority(
      org.cowslipmoor.schema.configuration.Priority p, String service) {
    return switch (p) {
      case PRIORITY_URGENT -> Priority.URGENT;
      case PRIORITY_NORMAL -> Priority.NORMAL;
      case PRIORITY_BULK -> Priority.BULK;
      case UNRECOGNIZED ->
          throw new IllegalArgumentException("service " + service + " has an unknown priority");
    };
  }
}
