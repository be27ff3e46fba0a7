package org.cowslipmoor.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cowslipmoor.core.range.VirtualTime;

/**
 * Hosts that follow a store through a coordinator, in virtual time: links that carry little, lose
 * and delay, slow hosts, and coordinators one after the other. Times are nanoseconds.
 */
final class StoreUpdateSimulation {
  static final long MS = VirtualTime.MS;
  static final long SECOND = 1_000 * MS;
  private static final long STORE_DELAY = 2 * MS;
  private static final long LINK_DELAY = 2 * MS;
  private static final long REPORT = 250 * MS;
  private static final long TICK = 50 * MS;
  private static final int CONFIRMATION_BYTES = 60;

  private final VirtualTime time = new VirtualTime();
  private final List<Long> changes = new ArrayList<>();
  private final List<Host> hosts = new ArrayList<>();
  private final SplittableRandom random;
  private final Setup setup;
  private int coordinator;
  private boolean isStoreSilent;
  private boolean countsFromArrival;
  private long worstDelay;
  private long calls;

  /**
   * What the hosts are like.
   *
   * @param hosts number of hosts
   * @param linkBytesPerSecond what a coordinator's link carries
   * @param changeBytes what one change of the store takes in a frame
   * @param stateBytes what a state of the fleet takes in a frame
   * @param limit age from which on a host does not rely on another one
   * @param loss part of the frames with which a link breaks
   * @param lag longest time until a host gets to what has arrived
   */
  record Setup(
      int hosts,
      double linkBytesPerSecond,
      int changeBytes,
      int stateBytes,
      long limit,
      double loss,
      long lag) {}

  StoreUpdateSimulation(Setup setup, long seed) {
    this.setup = setup;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < setup.hosts(); i++) {
      hosts.add(new Host(i));
    }
    hosts.forEach(Host::start);
  }

  void run(long duration) {
    time.advance(duration);
  }

  /** Changes the store, and notes when each host knows of it. */
  void change() {
    changes.add(now());
    hosts.forEach(Host::onStoreChanged);
  }

  void coordinate(int host) {
    coordinator = host;
    hosts.get(host).becomeCoordinator();
  }

  /**
   * Lets hosts take any frame of the coordinator, whenever it was sent, for a sign that they know
   * what it knows, and lets the coordinator send without a look at its link.
   */
  void countFromArrival() {
    countsFromArrival = true;
  }

  /** Lets the store's connections go silent, or answer again on new ones. */
  void setStoreSilent(boolean silent) {
    isStoreSilent = silent;
  }

  /** Returns the longest time that a host took to know a change, changes not known yet included. */
  long worstDelay() {
    hosts.forEach(h -> h.learn(h.known));
    for (Host h : hosts) {
      for (int revision = h.known; revision < changes.size(); revision++) {
        worstDelay = Math.max(worstDelay, now() - changes.get(revision));
      }
    }
    return worstDelay;
  }

  long calls() {
    return calls;
  }

  private long now() {
    return time.now();
  }

  private void after(long delay, Runnable work) {
    time.schedule(delay, work);
  }

  /** One host; it knows of changes up to a number of them, which serves as the revision. */
  private final class Host {
    private final int id;
    private final StorePollScheduler pollScheduler;
    private final StoreUpdateRelay relay = StoreUpdateRelay.create();
    private final LinkBudget budget = LinkBudget.create(setup.linkBytesPerSecond(), now());
    private final List<Runnable> waiting = new ArrayList<>();
    private int known;
    private long linkFreeAt = now();
    private long linkBrokenUntil = now();
    private long relayedAt;

    Host(int id) {
      this.id = id;
      this.pollScheduler = StorePollScheduler.create(setup.limit(), random, now());
    }

    void start() {
      after(random.nextLong(TICK), this::tick);
      after(random.nextLong(REPORT), this::report);
    }

    void becomeCoordinator() {
      relay.clear();
      pollScheduler.onRelayAvailable(false);
    }

    private void tick() {
      pollScheduler.onRelayAvailable(id != coordinator);
      ask();
      if (id == coordinator && pollScheduler.confirmedAt() > relayedAt) {
        passOn();
      }
      after(TICK, this::tick);
    }

    private void report() {
      if (id != coordinator) {
        int revision = known;
        long at = now();
        Host to = hosts.get(coordinator);
        after(LINK_DELAY, () -> to.relay.onReport("" + id, revision, at));
      } else if (countsFromArrival || budget.mayBroadcast(unsent(), now())) {
        budget.onBroadcast((long) setup.stateBytes() * (hosts.size() - 1), now());
        hosts.stream().filter(h -> h != this).forEach(h -> send(h, setup.stateBytes(), h::onState));
      }
      after(REPORT, this::report);
    }

    private void ask() {
      pollScheduler
          .nextPoll(now())
          .ifPresent(
              poll -> {
                calls++;
                int since = known;
                boolean[] over = {false};
                after(
                    poll.timeoutNanos(),
                    () -> finish(over, () -> pollScheduler.onFailure(poll, now())));
                Runnable answer =
                    () ->
                        after(
                            STORE_DELAY + lag(),
                            () -> finish(over, () -> onAnswer(poll, since, changes.size())));
                if (!isStoreSilent) {
                  after(STORE_DELAY, () -> serve(since, poll.holdNanos(), answer));
                }
              });
    }

    private void serve(int since, long wait, Runnable answer) {
      boolean[] answered = {false};
      Runnable once = () -> finish(answered, isStoreSilent ? () -> {} : answer);
      if (changes.size() > since) {
        once.run();
      } else {
        waiting.add(once);
        after(wait, once);
      }
    }

    void onStoreChanged() {
      List<Runnable> served = List.copyOf(waiting);
      waiting.clear();
      served.forEach(Runnable::run);
    }

    private void onAnswer(StorePollScheduler.Poll poll, int since, int revision) {
      learn(revision);
      pollScheduler.onResponse(poll, revision > since, now());
      if (id == coordinator) {
        passOn();
      }
      ask();
    }

    private void passOn() {
      relayedAt = pollScheduler.confirmedAt();
      long age = pollScheduler.age(now());
      int revision = known;
      for (StoreUpdateRelay.Frame f : relay.due(revision, 0, now())) {
        if (!countsFromArrival && !budget.hasRoom(unsent())) {
          return;
        }
        relay.onSent(f, revision, now());
        Host to = hosts.get(Integer.parseInt(f.host()));
        int bytes = CONFIRMATION_BYTES + (int) (revision - f.since()) * setup.changeBytes();
        send(to, bytes, () -> to.onNews(f.since(), revision, f.echoedAt() - age));
      }
    }

    private void onNews(long since, int revision, long at) {
      if (known >= since) {
        learn(revision);
        pollScheduler.onRelayedUpdate(at);
      }
    }

    private void onState() {
      if (countsFromArrival) {
        pollScheduler.onRelayedUpdate(now());
      }
    }

    private void send(Host to, int bytes, Runnable arrival) {
      long nanos = (long) (bytes / setup.linkBytesPerSecond() * SECOND);
      linkFreeAt = Math.max(now(), linkFreeAt) + nanos;
      if (random.nextDouble() < setup.loss()) {
        to.linkBrokenUntil = now() + SECOND;
      }
      if (now() >= to.linkBrokenUntil) {
        after(linkFreeAt - now() + LINK_DELAY + to.lag(), arrival);
      }
    }

    private long unsent() {
      return (long) (Math.max(0, linkFreeAt - now()) * setup.linkBytesPerSecond() / SECOND);
    }

    private long lag() {
      return setup.lag() == 0 ? 0 : random.nextLong(setup.lag());
    }

    private void learn(int revision) {
      for (; known < revision; known++) {
        worstDelay = Math.max(worstDelay, now() - changes.get(known));
      }
    }

    private static void finish(boolean[] over, Runnable work) {
      if (!over[0]) {
        over[0] = true;
        work.run();
      }
    }
  }
}
