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
 * Joins hosts' control decisions, a fake store and fake targets in virtual time. Faults are
 * methods; {@link InvariantChecker} watches what must always hold after each event. Not
 * thread-safe.
 *
 * <pre>{@code
 * ControlSimulation simulation = ControlSimulation.create(configuration, Timing.standard(), seed);
 * simulation.run(5_000_000_000L);
 * simulation.stopTarget("stock-1");
 * simulation.run(4_000_000_000L);
 * }</pre>
 */
public final class ControlSimulation {
  private static final long TICK = 20_000_000L;
  private static final long LEAST_DELAY = 100_000L;
  private static final long USUAL_DELAY = 2_000_000L;
  private static final long STORE_DELAY = 3_000_000L;
  private static final long CALL_TIMEOUT = 400_000_000L;
  private static final long WATCH_DELAY = 100_000_000L;

  /** Name of the store in partitions. */
  public static final String STORE = "store";

  final EventQueue events = new EventQueue();
  final Map<String, FakeHost> hosts = new LinkedHashMap<>();
  final Map<String, FakeTarget> targets = new LinkedHashMap<>();
  private final FakeStore store = new FakeStore();
  private final Set<String> checkedServices = new HashSet<>();
  private final Map<String, Integer> partitions = new HashMap<>();
  private final SplittableRandom random;
  private final Timing timing;
  private final InvariantChecker checker;
  private final Map<String, Integer> faultCounts = new LinkedHashMap<>();
  private NetworkFaults faults = NetworkFaults.NONE;
  private ProtocolMutation tampering = ProtocolMutation.NONE;
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
        simulation.checkedServices.add(s.name());
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
    scheduleTick(hosts.get(m.id()), hosts.get(m.id()).run());
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

  /** Lets time pass. */
  public void run(long nanos) {
    events.runUntil(events.now() + nanos, checker::check);
  }

  /** Returns the present true time, in nanoseconds from the start. */
  public long now() {
    return events.now();
  }

  /** Returns the fake store. */
  public FakeStore store() {
    return store;
  }

  /** Returns the watcher of what must always hold. */
  public InvariantChecker checker() {
    return checker;
  }

  /** Returns how often each kind of fault was brought about. */
  public Map<String, Integer> faultCounts() {
    return faultCounts;
  }

  /** Returns the number of events so far. */
  public long steps() {
    return events.ran();
  }

  /** Sets how the network misbehaves from now on. */
  public void setFaults(NetworkFaults value) {
    faults = value;
  }

  /** Breaks rules on purpose from now on. */
  public void setTampering(ProtocolMutation value) {
    tampering = value;
  }

  /** Watches what hosts send from now on. */
  public void setObserver(MessageObserver value) {
    observer = value;
  }

  /** Makes the store unreachable, or reachable again. */
  public void setStoreDown(boolean down) {
    if (down && !storeDown) {
      count("store outage", "");
    }
    if (!down && storeDown) {
      note("store back");
    }
    storeDown = down;
  }

  /** Cuts the given nodes off from all others; they still reach each other. */
  public void partition(int group, List<String> nodes) {
    count("partition", group + " " + nodes);
    nodes.forEach(n -> partitions.put(n, group));
  }

  /** Joins all nodes again. */
  public void healPartitions() {
    note("partitions healed");
    partitions.clear();
  }

  /** Ends a host's process. */
  public void stopHost(String id) {
    count("host loss", id);
    host(id).stop();
  }

  /** Lets a host give up coordination, as at the beginning of a planned stop. */
  public void resignHost(String id) {
    FakeHost h = host(id);
    perform(h, h.controller.resign());
  }

  /** Starts a host's process again; it remembers nothing. */
  public void restartHost(String id) {
    count("host restart", id);
    FakeHost h = host(id);
    h.restart(now());
    scheduleTick(h, h.run());
  }

  /** Freezes a node for a time, after which it goes on as if nothing had happened. */
  public void pause(String id, long nanos) {
    count(hosts.containsKey(id) ? "host pause" : "target pause", id + " for " + nanos / 1_000_000);
    FakeNode node = node(id);
    node.pause();
    int run = node.run();
    events.after(
        nanos,
        () -> {
          if (node.run() == run) {
            node.resume();
          }
        });
  }

  /** Ends a target's process. */
  public void stopTarget(String id) {
    count("target loss", id);
    checkNotNull(targets.get(id), "no target %s", id).stop();
  }

  /** Starts a target's process again; it has no grants. */
  public void restartTarget(String id) {
    count("target restart", id);
    checkNotNull(targets.get(id), "no target %s", id).restart();
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

  /** Returns what a host routes by at present. */
  public RoutingView view(String hostId) {
    FakeHost h = host(hostId);
    return new RoutingView(
        h.dataCentre, h.controller.configuration(), h.controller.table(), h.controller.authority());
  }

  /** Returns a host's own time. */
  public long clock(String hostId) {
    return host(hostId).clock(now());
  }

  /** Tells whether a node's process runs and is not paused. */
  public boolean isRunning(String id) {
    FakeNode node = node(id);
    return node.isUp() && !node.isPaused();
  }

  /** Tells whether the targets of a service check grants. */
  boolean checksGrants(String service) {
    return checkedServices.contains(service);
  }

  /** Tells whether two nodes can reach each other. */
  public boolean isConnected(String a, String b) {
    return partitions.getOrDefault(a, 0).equals(partitions.getOrDefault(b, 0));
  }

  private FakeHost host(String id) {
    return checkNotNull(hosts.get(id), "no host %s", id);
  }

  private FakeNode node(String id) {
    FakeNode h = hosts.get(id);
    return h != null ? h : checkNotNull(targets.get(id), "no node %s", id);
  }

  private void count(String fault) {
    faultCounts.merge(fault, 1, Integer::sum);
  }

  private void count(String fault, String subject) {
    count(fault);
    note(fault + " " + subject);
  }

  /** Returns what happened, a line each: faults, and what hosts installed. */
  public ImmutableList<String> history() {
    return ImmutableList.copyOf(history);
  }

  void note(String happened) {
    history.add(now() / 1_000_000 + " ms: " + happened);
  }

  private void scheduleTick(FakeHost h, int run) {
    events.after(
        TICK,
        () -> {
          if (h.run() != run || !h.isUp()) {
            return;
          }
          if (!h.isPaused()) {
            perform(h, h.controller.tick(h.clock(now()), h));
          }
          scheduleTick(h, run);
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
    MemberMessage sent = tampering.message(from.id, message);
    transmit(
        from.id,
        to,
        () ->
            receiver.handle(
                () ->
                    perform(
                        receiver,
                        receiver.controller.onMessage(
                            receiver.clock(now()), from.id, sent, receiver))));
  }

  private void renew(FakeHost h, String targetId, Renewal renewal) {
    observer.onRenewal(h.id, targetId);
    FakeTarget target = targets.get(targetId);
    int run = h.run();
    boolean[] answered = {false};
    if (target != null) {
      transmit(
          h.id,
          targetId,
          () ->
              target.handle(
                  () -> {
                    RenewalResponse answer = renewAt(target, renewal);
                    transmit(targetId, h.id, () -> deliver(h, run, targetId, answer, answered));
                  }));
    }
    events.after(
        CALL_TIMEOUT, () -> deliver(h, run, targetId, new RenewalResponse.Unreachable(), answered));
  }

  private RenewalResponse renewAt(FakeTarget target, Renewal renewal) {
    long now = target.clock(now());
    String fresh =
        target
            .book
            .renew(new Renewal(0, 0, "", 0, ImmutableMap.of(), ImmutableMap.of()), now)
            .token();
    return target.book.renew(tampering.renewal(renewal, fresh), now);
  }

  private void deliver(
      FakeHost h, int run, String target, RenewalResponse answer, boolean[] answered) {
    if (answered[0]) {
      return;
    }
    answered[0] = true;
    h.handle(
        () -> {
          if (h.run() == run) {
            perform(h, h.controller.onRenewalResponse(h.clock(now()), target, answer));
          }
        });
  }

  private void callStore(FakeHost h, long call, StoreCall request) {
    int run = h.run();
    boolean[] answered = {false};
    boolean reaches = !storeDown && isConnected(h.id, STORE);
    if (reaches) {
      long delay = delay(STORE_DELAY);
      events.after(
          delay,
          () -> {
            if (storeDown) {
              return;
            }
            StoreResponse answer = store.call(request, now());
            boolean lost = random.nextDouble() < faults.lostStoreAnswers();
            if (lost) {
              count("lost store answer");
            } else {
              long back =
                  request instanceof StoreCall.WatchConfiguration
                      ? WATCH_DELAY
                      : delay(STORE_DELAY);
              events.after(back, () -> deliverStoreAnswer(h, run, call, answer, answered));
            }
          });
    }
    events.after(
        CALL_TIMEOUT,
        () -> deliverStoreAnswer(h, run, call, new StoreResponse.NoResponse(), answered));
  }

  private void deliverStoreAnswer(
      FakeHost h, int run, long call, StoreResponse answer, boolean[] answered) {
    if (answered[0]) {
      return;
    }
    answered[0] = true;
    StoreResponse told = tampering.storeAnswer(answer);
    h.handle(
        () -> {
          if (h.run() == run) {
            perform(h, h.controller.onStoreResponse(h.clock(now()), call, told));
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
    events.after(delay(USUAL_DELAY), arrival);
    if (random.nextDouble() < faults.duplication()) {
      count("message duplication");
      events.after(delay(USUAL_DELAY), arrival);
    }
  }

  private long delay(long usual) {
    if (random.nextDouble() < faults.longDelay()) {
      count("long delay");
      return random.nextLong(faults.longestDelay());
    }
    return LEAST_DELAY + random.nextLong(usual);
  }
}
