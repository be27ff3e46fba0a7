package org.cowslipmoor.testing.control;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.Member;
import org.cowslipmoor.core.configuration.Service;
import org.cowslipmoor.core.configuration.Target;
import org.cowslipmoor.core.control.ControlAction;
import org.cowslipmoor.core.control.MemberMessage;
import org.cowslipmoor.core.control.Renewal;
import org.cowslipmoor.core.control.RenewalResponse;
import org.cowslipmoor.core.control.StoreCall;
import org.cowslipmoor.core.control.StoreResponse;
import org.cowslipmoor.core.control.Timing;
import org.cowslipmoor.core.request.RoutingView;
import org.jspecify.annotations.Nullable;

/**
 * Simulates the control logic of hosts with a fake store and fake targets in virtual time. Methods
 * inject faults; {@link InvariantChecker} checks the invariants after each event. Not thread-safe.
 *
 * <pre>{@code
 * ControlSimulation simulation = ControlSimulation.create(configuration, Timing.standard(), seed);
 * simulation.run(5_000_000_000L);
 * simulation.stopTarget("stock-1");
 * simulation.run(4_000_000_000L);
 * }</pre>
 */
public final class ControlSimulation {
  private static final long TICK_NANOS = 20_000_000L;
  private static final long MIN_DELAY_NANOS = 100_000L;
  private static final long NETWORK_DELAY_RANGE_NANOS = 2_000_000L;
  private static final long STORE_DELAY_RANGE_NANOS = 3_000_000L;
  private static final long CALL_TIMEOUT_NANOS = 400_000_000L;
  private static final long WATCH_DELAY_NANOS = 100_000_000L;

  /** Name of the store in {@link #partition}. */
  public static final String STORE = "store";

  final EventQueue events = new EventQueue();
  final Map<String, FakeHost> hosts = new LinkedHashMap<>();
  final Map<String, FakeTarget> targets = new LinkedHashMap<>();
  private final FakeStore store = new FakeStore();
  private final Set<String> grantCheckingServices = new HashSet<>();
  private final Map<String, Integer> partitions = new HashMap<>();
  private final SplittableRandom random;
  private final Timing timing;
  private final InvariantChecker checker;
  private final Map<String, Integer> faultCounts = new LinkedHashMap<>();
  private NetworkFaults faults = NetworkFaults.NONE;
  private ProtocolMutation mutation = ProtocolMutation.NONE;
  private MessageObserver observer = MessageObserver.NONE;
  private final List<String> history = new ArrayList<>();
  private boolean storeDown;
  private @Nullable FakeRequests requests;

  private ControlSimulation(Timing timing, long seed) {
    this.timing = timing;
    this.random = new SplittableRandom(seed);
    this.checker = new InvariantChecker(this);
  }

  /** Creates a simulation whose store holds the configuration and whose nodes have just started. */
  public static ControlSimulation create(Configuration configuration, Timing timing, long seed) {
    ControlSimulation simulation = new ControlSimulation(timing, seed);
    simulation.store.accept(configuration);
    for (Service s : configuration.services()) {
      if (s.checksGrants()) {
        simulation.grantCheckingServices.add(s.name());
      }
      for (Target t : s.targets()) {
        simulation.addTarget(t);
      }
    }
    configuration.members().forEach(simulation::addHost);
    configuration.joining().forEach(simulation::addHost);
    return simulation;
  }

  /** Starts the process of a host that is not a member yet. */
  public void addHost(Member m) {
    hosts.put(m.id(), new FakeHost(m.id(), m.dataCentre(), timing, random.split(), now()));
    scheduleTick(hosts.get(m.id()), hosts.get(m.id()).incarnation());
  }

  /** Starts the process of a target. */
  public void addTarget(Target t) {
    targets.put(t.id(), new FakeTarget(t.id(), t.dataCentre(), random));
  }

  /** Sends requests for keys of the service from every host from now on. */
  public void startRequests(String service) {
    Configuration configuration = checkNotNull(store.configuration());
    requests = new FakeRequests(this, configuration.service(service).orElseThrow(), random.split());
    requests.start();
  }

  /** Returns the number of requests sent so far. */
  public long requestsSent() {
    return requests == null ? 0 : requests.sent();
  }

  @Nullable FakeRequests requests() {
    return requests;
  }

  /** Advances the virtual time and runs the events due in it. */
  public void run(long nanos) {
    events.runUntil(events.now() + nanos, checker::check);
  }

  /** Returns the virtual time, in nanoseconds from the start. */
  public long now() {
    return events.now();
  }

  /** Returns the fake store. */
  public FakeStore store() {
    return store;
  }

  /** Returns the checker of the invariants. */
  public InvariantChecker checker() {
    return checker;
  }

  /** Returns how often each kind of fault occurred. */
  public Map<String, Integer> faultCounts() {
    return faultCounts;
  }

  /** Returns the number of events run so far. */
  public long steps() {
    return events.eventsRun();
  }

  /** Sets the faults of the network and the store from now on. */
  public void setFaults(NetworkFaults value) {
    faults = value;
  }

  /** Applies a mutation of the protocol from now on. */
  public void setMutation(ProtocolMutation value) {
    mutation = value;
  }

  /** Sets the observer of messages and renewals from now on. */
  public void setObserver(MessageObserver value) {
    observer = value;
  }

  /** Makes the store unreachable, or reachable again. */
  public void setStoreDown(boolean down) {
    if (down && !storeDown) {
      count("store outage", "");
    }
    if (!down && storeDown) {
      note("store reachable");
    }
    storeDown = down;
  }

  /**
   * Moves the given nodes to a partition group. Nodes reach only the nodes of their own group;
   * group 0 holds the nodes that were not moved.
   */
  public void partition(int group, List<String> nodes) {
    count("partition", group + " " + nodes);
    nodes.forEach(n -> partitions.put(n, group));
  }

  /** Removes all partitions. */
  public void healPartitions() {
    note("partitions healed");
    partitions.clear();
  }

  /** Stops a host's process. */
  public void stopHost(String id) {
    count("host loss", id);
    host(id).stop();
  }

  /** Makes a host resign as coordinator, as at the beginning of a planned stop. */
  public void resignHost(String id) {
    FakeHost h = host(id);
    perform(h, h.controller.resign());
  }

  /** Restarts a host's process without its former state. */
  public void restartHost(String id) {
    count("host restart", id);
    FakeHost h = host(id);
    h.restart(now());
    scheduleTick(h, h.incarnation());
  }

  /** Pauses a node for a time in nanoseconds; it then resumes with its state unchanged. */
  public void pause(String id, long nanos) {
    count(hosts.containsKey(id) ? "host pause" : "target pause", id + " for " + nanos / 1_000_000);
    FakeNode node = node(id);
    node.pause();
    int incarnation = node.incarnation();
    events.after(
        nanos,
        () -> {
          if (node.incarnation() == incarnation) {
            node.resume();
          }
        });
  }

  /** Stops a target's process. */
  public void stopTarget(String id) {
    count("target loss", id);
    checkNotNull(targets.get(id), "no target has the id '%s'", id).stop();
  }

  /** Restarts a target's process; it has no grants. */
  public void restartTarget(String id) {
    count("target restart", id);
    checkNotNull(targets.get(id), "no target has the id '%s'", id).restart();
  }

  /** Records a host's approval of a joining host, as its operator's call does. */
  public void approve(String hostId, String joining) {
    host(hostId).controller.approve(joining);
  }

  /** Accepts a configuration in the store, as an operator's successful write does. */
  public void accept(Configuration configuration) {
    count("configuration change", "" + configuration.revision());
    store.accept(configuration);
    checker.onAccepted(configuration);
  }

  /** Returns the view by which a host routes requests at present. */
  public RoutingView view(String hostId) {
    FakeHost h = host(hostId);
    return new RoutingView(
        h.dataCentre, h.controller.configuration(), h.controller.table(), h.controller.authority());
  }

  /** Returns the time of a host's own clock, in nanoseconds. */
  public long clock(String hostId) {
    return host(hostId).clock(now());
  }

  /** Returns whether a node's process runs and is not paused. */
  public boolean isRunning(String id) {
    FakeNode node = node(id);
    return node.isUp() && !node.isPaused();
  }

  /** Returns whether the targets of a service check grants. */
  boolean checksGrants(String service) {
    return grantCheckingServices.contains(service);
  }

  /** Returns whether two nodes can reach each other. */
  public boolean isConnected(String a, String b) {
    return partitions.getOrDefault(a, 0).equals(partitions.getOrDefault(b, 0));
  }

  private FakeHost host(String id) {
    return checkNotNull(hosts.get(id), "no host has the id '%s'", id);
  }

  private FakeNode node(String id) {
    FakeNode h = hosts.get(id);
    return h != null ? h : checkNotNull(targets.get(id), "no node has the id '%s'", id);
  }

  private void count(String fault) {
    faultCounts.merge(fault, 1, Integer::sum);
  }

  private void count(String fault, String subject) {
    count(fault);
    note(fault + " " + subject);
  }

  /** Returns one line for each fault and each table that a host installed, oldest first. */
  public ImmutableList<String> history() {
    return ImmutableList.copyOf(history);
  }

  void note(String event) {
    history.add(now() / 1_000_000 + " ms: " + event);
  }

  private void scheduleTick(FakeHost h, int incarnation) {
    events.after(
        TICK_NANOS,
        () -> {
          if (h.incarnation() != incarnation || !h.isUp()) {
            return;
          }
          if (!h.isPaused()) {
            perform(h, h.controller.tick(h.clock(now()), h));
          }
          scheduleTick(h, incarnation);
        });
  }

  private void perform(FakeHost h, List<ControlAction> actions) {
    for (ControlAction action : actions) {
      switch (action) {
        case ControlAction.Send a -> sendMessage(h, a.member(), a.message());
        case ControlAction.SendToPeers a -> {
          for (FakeHost peer : hosts.values()) {
            if (peer != h) {
              sendMessage(h, peer.id, a.message());
            }
          }
        }
        case ControlAction.CallStore a -> callStore(h, a.callId(), a.request());
        case ControlAction.Renew a -> renew(h, a.target(), a.renewal());
      }
    }
  }

  private void sendMessage(FakeHost from, String to, MemberMessage message) {
    FakeHost receiver = hosts.get(to);
    if (receiver == null) {
      return;
    }
    observer.onMessage(from.id, to, message);
    MemberMessage delivered = mutation.message(from.id, message);
    transmit(
        from.id,
        to,
        () ->
            receiver.handle(
                () ->
                    perform(
                        receiver,
                        receiver.controller.onMessage(
                            receiver.clock(now()), from.id, delivered, receiver))));
  }

  private void renew(FakeHost h, String targetId, Renewal renewal) {
    observer.onRenewal(h.id, targetId);
    FakeTarget target = targets.get(targetId);
    int incarnation = h.incarnation();
    boolean[] completed = {false};
    if (target != null) {
      transmit(
          h.id,
          targetId,
          () ->
              target.handle(
                  () -> {
                    RenewalResponse response = renewAt(target, renewal);
                    transmit(
                        targetId,
                        h.id,
                        () -> deliver(h, incarnation, targetId, response, completed));
                  }));
    }
    events.after(
        CALL_TIMEOUT_NANOS,
        () -> deliver(h, incarnation, targetId, new RenewalResponse.Unreachable(), completed));
  }

  private RenewalResponse renewAt(FakeTarget target, Renewal renewal) {
    long now = target.clock(now());
    String freshToken =
        target
            .grants
            .renew(new Renewal(0, 0, "", 0, ImmutableMap.of(), ImmutableMap.of()), now)
            .token();
    return target.grants.renew(mutation.renewal(renewal, freshToken), now);
  }

  private void deliver(
      FakeHost h, int incarnation, String target, RenewalResponse response, boolean[] completed) {
    if (completed[0]) {
      return;
    }
    completed[0] = true;
    h.handle(
        () -> {
          if (h.incarnation() == incarnation) {
            perform(h, h.controller.onRenewalResponse(h.clock(now()), target, response));
          }
        });
  }

  private void callStore(FakeHost h, long callId, StoreCall storeCall) {
    int incarnation = h.incarnation();
    boolean[] completed = {false};
    boolean reachable = !storeDown && isConnected(h.id, STORE);
    if (reachable) {
      long delay = delay(STORE_DELAY_RANGE_NANOS);
      events.after(
          delay,
          () -> {
            if (storeDown) {
              return;
            }
            StoreResponse response = store.call(storeCall, now());
            boolean lost = random.nextDouble() < faults.lostStoreResponses();
            if (lost) {
              count("lost store response");
            } else {
              long responseDelay =
                  storeCall instanceof StoreCall.WatchConfiguration
                      ? WATCH_DELAY_NANOS
                      : delay(STORE_DELAY_RANGE_NANOS);
              events.after(
                  responseDelay,
                  () -> deliverStoreResponse(h, incarnation, callId, response, completed));
            }
          });
    }
    events.after(
        CALL_TIMEOUT_NANOS,
        () ->
            deliverStoreResponse(
                h, incarnation, callId, new StoreResponse.NoResponse(), completed));
  }

  private void deliverStoreResponse(
      FakeHost h, int incarnation, long callId, StoreResponse response, boolean[] completed) {
    if (completed[0]) {
      return;
    }
    completed[0] = true;
    StoreResponse delivered = mutation.storeResponse(response);
    h.handle(
        () -> {
          if (h.incarnation() == incarnation) {
            perform(h, h.controller.onStoreResponse(h.clock(now()), callId, delivered));
          }
        });
  }

  private void transmit(String from, String to, Runnable arrival) {
    if (!isConnected(from, to)) {
      return;
    }
    if (random.nextDouble() < faults.loss()) {
      count("message loss");
      return;
    }
    events.after(delay(NETWORK_DELAY_RANGE_NANOS), arrival);
    if (random.nextDouble() < faults.duplication()) {
      count("message duplication");
      events.after(delay(NETWORK_DELAY_RANGE_NANOS), arrival);
    }
  }

  private long delay(long normalRangeNanos) {
    if (random.nextDouble() < faults.longDelay()) {
      count("long delay");
      return random.nextLong(faults.maxDelayNanos());
    }
    return MIN_DELAY_NANOS + random.nextLong(normalRangeNanos);
  }
}
