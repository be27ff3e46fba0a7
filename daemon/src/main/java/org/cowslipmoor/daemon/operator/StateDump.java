package org.cowslipmoor.daemon.operator;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.control.Authority;
import org.cowslipmoor.core.control.HostController;
import org.cowslipmoor.core.control.HostIdentity;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.cowslipmoor.core.ownership.ShardEntry;
import org.cowslipmoor.daemon.ControlLoop;
import org.cowslipmoor.daemon.DaemonSettings;
import org.cowslipmoor.daemon.member.MemberLinks;

/**
 * Writes a host's state as JSON: its settings, the configuration and authority in effect, the
 * ownership table and the counters.
 */
public final class StateDump {
  private final DaemonSettings settings;
  private final HostIdentity identity;
  private final ControlLoop loop;
  private final MemberLinks links;
  private final MetricRegistry metrics;

  /** Creates a dump of the given components. */
  public StateDump(
      DaemonSettings settings,
      HostIdentity identity,
      ControlLoop loop,
      MemberLinks links,
      MetricRegistry metrics) {
    this.settings = settings;
    this.identity = identity;
    this.loop = loop;
    this.links = links;
    this.metrics = metrics;
  }

  /** Returns the current state. */
  public ObjectNode toJson() {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("id", identity.id());
    json.put("dataCentre", identity.dataCentre());
    json.put("incarnation", identity.incarnation());
    ObjectNode settingsNode = json.putObject("settings");
    settings.values().forEach(settingsNode::put);
    loop.read(
        controller -> {
          putControlState(json, controller);
          return null;
        });
    json.set("metrics", MetricsService.toJson(metrics));
    ObjectNode linksNode = json.putObject("links");
    linksNode.put("framesSent", links.framesSent());
    linksNode.put("bytesSent", links.bytesSent());
    return json;
  }

  private static void putControlState(ObjectNode json, HostController controller) {
    long now = System.nanoTime();
    Configuration configuration = controller.configuration();
    json.put("configurationRevision", configuration == null ? 0 : configuration.revision());
    json.put("hub", controller.isPoller());
    json.put("coordinator", controller.isCoordinator(now));
    json.put("attesting", controller.isAttesting());
    Authority authority = controller.authority();
    ObjectNode a = json.putObject("authority");
    a.put("version", authority.version());
    a.put("basis", authority.basis().name());
    a.put("inForce", authority.permits(authority.version(), now));
    ArrayNode live = json.putArray("liveMembers");
    controller.liveMembers().forEach(live::add);
    ObjectNode failing = json.putObject("failingTargetsNanos");
    controller.failingTargets(now).forEach(failing::put);
    OwnershipTable table = controller.table();
    if (table != null) {
      putTable(json.putObject("ownership"), table);
    }
  }

  private static void putTable(ObjectNode json, OwnershipTable table) {
    json.put("version", table.version());
    json.put("epoch", table.epoch());
    json.put("coordinator", table.coordinator());
    json.put("configurationRevision", table.configurationRevision());
    ArrayNode quorum = json.putArray("quorum");
    table.quorum().hosts().forEach(quorum::add);
    ArrayNode shards = json.putArray("shards");
    for (ShardEntry e : table.entries().values()) {
      ObjectNode s = shards.addObject();
      s.put("service", e.shard().service());
      s.put("shard", e.shard().index());
      s.put("owner", e.owner());
      s.put("fence", e.fence().epoch() + "." + e.fence().sequence());
      s.put("phase", e.phase().name());
      s.put("formerOwner", e.formerOwner());
    }
  }
}
