package org.cowslipmoor.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cowslipmoor.core.range.VirtualTime;

/**
 * Simulates, in virtual time, hosts that receive store updates through a coordinator. Links have
 * limited bandwidth, loss and delay, hosts may be slow, and the coordinator changes. Times are
 * nanoseconds.
 */
final class StoreUpdateSimulation {
  static final long NANOS_PER_MILLI = VirtualTime.NANOS_PER_MILLI;
  static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  private static final long STORE_DELAY_NANOS = 2 * NANOS_PER_MILLI;
  private static final long LINK_DELAY_NANOS = 2 * NANOS_PER_MILLI;
  private static final long REPORT_INTERVAL_NANOS = 250 * NANOS_PER_MILLI;
  private static final long TICK_INTERVAL_NANOS = 50 * NANOS_PER_MILLI;
  private static final int CONFIRMATION_BYTES = 60;

  private final VirtualTime time = new VirtualTime();
  private final List<Long> changes = new ArrayList<>();
  private final List<Host> hosts = new ArrayList<>();
  private final SplittableRandom random;
  private final Setup setup;
  private int coordinator;
  private boolean isStoreStalled;
  private boolean measuresAgeFromArrival;
  private long maxDelayNanos;
  private long calls;

  /**
   * The properties of the hosts and their links.
   *
   * @param hosts number of hosts
   * @param linkBytesPerSecond capacity of a coordinator's link
   * @param changeBytes size of one store change in a frame
   * @param stateBytes size of the fleet state in a frame
   * @param maxAgeNanos age from which on relayed updates are not relied on
   * @param loss fraction of frames at which the receiver's link breaks for a second
   * @param lagNanos upper bound of the time until a host processes what has arrived
   */
  record Setup(
      int hosts,
      double linkBytesPerSecond,
      int changeBytes,
      int stateBytes,
      long maxAgeNanos,
      double loss,
      long lagNanos) {}

  StoreUpdateSimulation(Setup setup, long seed) {
    this.setup = setup;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < setup.hosts(); i++) {
      hosts.add(new Host(i));
    }
    hosts.forEach(Host::start);
  }

  void run(long durationNanos) {
    time.advance(durationNanos);
  }

  /** Changes the store; the time until each host has the change is measured. */
  void change() {
    changes.add(now());
    hosts.forEach(Host::onStoreChanged);
  }

  void setCoordinator(int host) {
    coordinator = host;
    hosts.get(host).becomeCoordinator();
  }

  /**
   * Makes hosts treat every frame from the coordinator as proof at its arrival that their state is
   * current, and makes the coordinator send without regard to its link's capacity.
   */
  void measureAgeFromArrival() {
    measuresAgeFromArrival = true;
  }

  /** Makes the connections to the store stall, or lets new ones work again. */
  void setStoreStalled(boolean stalled) {
    isStoreStalled = stalled;
  }

  /**
   * Returns the longest time that a change took to reach a host, including changes still missing.
   */
  long maxDelayNanos() {
    hosts.forEach(h -> h.advanceTo(h.revision));
    for (Host h : hosts) {
      for (int revision = h.revision; revision < changes.size(); revision++) {
        maxDelayNanos = Math.max(maxDelayNanos, now() - changes.get(revision));
      }
    }
    return maxDelayNanos;
  }

  long calls() {
    return calls;
  }

  private long now() {
    return time.now();
  }

  private void after(long delayNanos, Runnable task) {
    time.schedule(delayNanos, task);
  }

  /** One host; its revision is the number of changes that it has. */
  private final class Host {
    private final int id;
    private final StorePollScheduler pollScheduler;
    private final StoreUpdateRelay relay = StoreUpdateRelay.create();
    private final LinkBudget budget = LinkBudget.create(setup.linkBytesPerSecond(), now());
    private final List<Runnable> heldPolls = new ArrayList<>();
    private int revision;
    private long linkFreeAt = now();
    private long linkBrokenUntil = now();
    private long relayedAt;

    Host(int id) {
      this.id = id;
      this.pollScheduler = StorePollScheduler.create(setup.maxAgeNanos(), random, now());
    }

    void start() {
      after(random.nextLong(TICK_INTERVAL_NANOS), this::tick);
      after(random.nextLong(REPORT_INTERVAL_NANOS), this::report);
    }

    void becomeCoordinator() {
      relay.clear();
      pollScheduler.onRelayAvailable(false);
    }

    private void tick() {
      pollScheduler.onRelayAvailable(id != coordinator);
      poll();
      if (id == coordinator && pollScheduler.confirmedAt() > relayedAt) {
        relay();
      }
      after(TICK_INTERVAL_NANOS, this::tick);
    }

    private void report() {
      if (id != coordinator) {
        int currentRevision = revision;
        long at = now();
        Host to = hosts.get(coordinator);
        after(
            LINK_DELAY_NANOS,
            () -> to.relay.onReport("" + id, new StorePlace(0, currentRevision), at));
      } else if (measuresAgeFromArrival || budget.mayBroadcast(unsentBytes(), now())) {
        budget.onBroadcast((long) setup.stateBytes() * (hosts.size() - 1), now());
        hosts.stream().filter(h -> h != this).forEach(h -> send(h, setup.stateBytes(), h::onState));
      }
      after(REPORT_INTERVAL_NANOS, this::report);
    }

    private void poll() {
      pollScheduler
          .nextPoll(now())
          .ifPresent(
              poll -> {
                calls++;
                int since = revision;
                boolean[] completed = {false};
                after(
                    poll.timeoutNanos(),
                    () -> completeOnce(completed, () -> pollScheduler.onFailure(poll, now())));
                Runnable respond =
                    () ->
                        after(
                            STORE_DELAY_NANOS + lagNanos(),
                            () ->
                                completeOnce(
                                    completed, () -> onResponse(poll, since, changes.size())));
                if (!isStoreStalled) {
                  after(STORE_DELAY_NANOS, () -> serve(since, poll.holdNanos(), respond));
                }
              });
    }

    private void serve(int since, long holdNanos, Runnable respond) {
      boolean[] responded = {false};
      Runnable once = () -> completeOnce(responded, isStoreStalled ? () -> {} : respond);
      if (changes.size() > since) {
        once.run();
      } else {
        heldPolls.add(once);
        after(holdNanos, once);
      }
    }

    void onStoreChanged() {
      List<Runnable> polls = List.copyOf(heldPolls);
      heldPolls.clear();
      polls.forEach(Runnable::run);
    }

    private void onResponse(StorePollScheduler.Poll poll, int since, int newRevision) {
      advanceTo(newRevision);
      pollScheduler.onResponse(poll, newRevision > since, now());
      if (id == coordinator) {
        relay();
      }
      poll();
    }

    private void relay() {
      relayedAt = pollScheduler.confirmedAt();
      long ageNanos = pollScheduler.age(now());
      int currentRevision = revision;
      StorePlace place = new StorePlace(0, currentRevision);
      for (StoreUpdateRelay.Frame f : relay.due(place, StorePlace.START, now())) {
        if (!measuresAgeFromArrival && !budget.hasCapacity(unsentBytes())) {
          return;
        }
        relay.onSent(f, place, now());
        Host to = hosts.get(Integer.parseInt(f.host()));
        int bytes =
            CONFIRMATION_BYTES
                + (int) (currentRevision - f.since().revision()) * setup.changeBytes();
        send(
            to,
            bytes,
            () -> to.onUpdates(f.since().revision(), currentRevision, f.echoedAt() - ageNanos));
      }
    }

    private void onUpdates(long since, int newRevision, long at) {
      if (revision >= since) {
        advanceTo(newRevision);
        pollScheduler.onRelayedUpdate(at);
      }
    }

    private void onState() {
      if (measuresAgeFromArrival) {
        pollScheduler.onRelayedUpdate(now());
      }
    }

    private void send(Host to, int bytes, Runnable onArrival) {
      long sendNanos = (long) (bytes / setup.linkBytesPerSecond() * NANOS_PER_SECOND);
      linkFreeAt = Math.max(now(), linkFreeAt) + sendNanos;
      if (random.nextDouble() < setup.loss()) {
        to.linkBrokenUntil = now() + NANOS_PER_SECOND;
      }
      if (now() >= to.linkBrokenUntil) {
        after(linkFreeAt - now() + LINK_DELAY_NANOS + to.lagNanos(), onArrival);
      }
    }

    private long unsentBytes() {
      return (long)
          (Math.max(0, linkFreeAt - now()) * setup.linkBytesPerSecond() / NANOS_PER_SECOND);
    }

    private long lagNanos() {
      return setup.lagNanos() == 0 ? 0 : random.nextLong(setup.lagNanos());
    }

    private void advanceTo(int newRevision) {
      for (; revision < newRevision; revision++) {
        maxDelayNanos = Math.max(maxDelayNanos, now() - changes.get(revision));
      }
    }

    private static void completeOnce(boolean[] completed, Runnable task) {
      if (!completed[0]) {
        completed[0] = true;
        task.run();
      }
    }
  }
}
