package org.cowslipmoor.core.range;

import static org.cowslipmoor.core.range.GrantOutcome.NOT_SENT;

import com.google.common.collect.ImmutableSet;
import java.util.SplittableRandom;
import org.cowslipmoor.core.discovery.TargetDirectory;

/**
 * A host that coordinates while it holds the store's lease, in the way of the daemon: what it does
 * runs on one event loop, which may be slow or stand still.
 */
final class FakeHost {
  static final long LEASE = 1_500 * VirtualTime.MS;

  /** Time after a thaw in which arriving grants don't count; the platform's {@code thaw_ms}. */
  private static final long THAW = 300 * VirtualTime.MS;

  private static final long RETRANSMISSION = 200 * VirtualTime.MS;
  private static final long TICK = 50 * VirtualTime.MS;

  private final RangeWorld world;
  private final VirtualTime time;
  private final FakeStore store;
  private final SplittableRandom random;
  private final Leadership leadership;
  private TargetDirectory directory = TargetDirectory.empty();
  private RangeCoordinator coordinator;
  private long tableRevision;
  private boolean isReading;
  private boolean isRunning = true;
  private long stoodStill;
  private long noticedStandstill;
  private long wakesAt;
  private boolean isThawed;

  /** Durations that it believes to be in use. */
  RangeTiming timing = timing(10_000);

  /** Time from the tick that decides an order to its sending. */
  long sendDelay;

  /** Longest random addition to {@link #sendDelay}. */
  long sendJitter;

  /** Time from an answer's arrival to its processing. */
  long answerDelay;

  /**
   * Creates a host that does not coordinate.
   *
   * @param trustedLease duration of its leases, as it believes, in nanoseconds
   */
  FakeHost(RangeWorld world, long trustedLease, SplittableRandom random) {
    this.world = world;
    this.time = world.time;
    this.store = world.store;
    this.random = random;
    this.leadership = Leadership.create(trustedLease / VirtualTime.MS, random.split());
    this.wakesAt = time.now();
    time.schedule(TICK, () -> onLoop(this::tick));
  }

  /** Returns the durations in use where targets allow a longest hold. */
  static RangeTiming timing(long longestHoldMillis) {
    return RangeTiming.standard(
        longestHoldMillis, LEASE / VirtualTime.MS, RangeWorld.CALL_TIMEOUT / VirtualTime.MS);
  }

  /** Takes the coordination at once. */
  void takeOver() {
    leadership.onClaimed(now(), store.claimNow());
    tableRevision = 0;
    store.read(this, this::onTable);
  }

  boolean leads() {
    return coordinator != null && leadership.leads(now());
  }

  void stop() {
    isRunning = false;
  }

  /** Nothing runs for a time that the host's clock does not count; calls in flight stay so. */
  void standStill(long duration) {
    if (time.now() < wakesAt) {
      return;
    }
    wakesAt = time.now() + duration;
    stoodStill += duration;
    isThawed = true;
  }

  /** Tells whether the rules excuse what arrives from this host now, since it has just woken. */
  boolean hasJustThawed() {
    return isThawed && time.now() - wakesAt < THAW;
  }

  /** Takes an answer; one that comes while the host stands still is sent again after that. */
  void onAnswer(Runnable work) {
    if (time.now() < wakesAt) {
      time.schedule(wakesAt - time.now() + RETRANSMISSION, () -> onAnswer(work));
    } else {
      onLoop(work);
    }
  }

  /** Does work as soon as the host runs. */
  private void onLoop(Runnable work) {
    if (time.now() < wakesAt) {
      time.schedule(wakesAt - time.now(), () -> onLoop(work));
    } else if (isRunning) {
      work.run();
    }
  }

  /** Does work after a time by the host's clock. */
  void onTimer(long delay, Runnable work) {
    at(now() + delay, work);
  }

  private void at(long due, Runnable work) {
    time.schedule(
        Math.max(0, due - now()),
        () ->
            onLoop(
                () -> {
                  if (now() < due) {
                    at(due, work);
                  } else {
                    work.run();
                  }
                }));
  }

  private long now() {
    return time.now() - stoodStill;
  }

  private void tick() {
    long now = now();
    onTimer(TICK, this::tick);
    noticeStandstill(now);
    if (store.reaches(this)) {
      directory = world.directory();
      leadership.onVacancy(now, store.isVacant(), 0);
    }
    leadership.tick(now).ifPresent(this::call);
    if (leadership.lease() == null) {
      coordinator = null;
    } else if (leadership.leads(now)) {
      RangeCoordinator c = coordinator;
      if (c == null) {
        beginTenure();
      } else {
        c.tick(now, inputs(now)).forEach(a -> perform(c, a));
      }
    }
  }

  private RangeInputs inputs(long now) {
    return new RangeInputs(
        ImmutableSet.of(RangeWorld.SERVICE),
        directory,
        unused -> world.load,
        leadership.isRecentlyRenewed(now));
  }

  private void call(Leadership.Action action) {
    long sentAt = now();
    switch (action) {
      case Leadership.Action.Claim a -> store.claim(this, lease -> onClaim(sentAt, lease));
      case Leadership.Action.Renew a ->
          store.renew(this, a.lease(), result -> onRenewal(sentAt, result));
      case Leadership.Action.End a -> store.revoke();
    }
  }

  private void onClaim(long sentAt, Leadership.Lease lease) {
    if (lease == null) {
      leadership.onClaimFailed(now());
    } else {
      leadership.onClaimed(sentAt, lease);
    }
  }

  private void onRenewal(long sentAt, FakeStore.Result result) {
    switch (result) {
      case DONE -> leadership.onRenewed(sentAt);
      case REFUSED -> {
        leadership.onLeaseLost(now());
        coordinator = null;
      }
      case UNKNOWN -> leadership.onRenewalUnknown();
      default -> throw new IllegalArgumentException("unknown result: " + result);
    }
  }

  private void beginTenure() {
    if (!isReading) {
      isReading = true;
      store.read(this, this::onTable);
    }
  }

  private void onTable(FakeStore.Read read) {
    isReading = false;
    if (read.known() && leadership.leads(now())) {
      tableRevision = read.revision();
      coordinator = RangeCoordinator.begin(read.table(), timing, RangeListener.NONE, now());
    }
  }

  private void noticeStandstill(long now) {
    if (noticedStandstill != stoodStill) {
      noticedStandstill = stoodStill;
      leadership.onSuspended(now);
    }
  }

  private void perform(RangeCoordinator c, RangeAction action) {
    switch (action) {
      case RangeAction.Grant a -> send(c, () -> grant(c, a), () -> onGrant(c, a, NOT_SENT));
      case RangeAction.Release a -> send(c, () -> release(c, a), () -> onRelease(c, a, false));
      case RangeAction.Write a -> write(c, a.table());
    }
  }

  private void grant(RangeCoordinator c, RangeAction.Grant a) {
    world.grant(this, a, outcome -> answered(() -> onGrant(c, a, outcome)));
  }

  private void onGrant(RangeCoordinator c, RangeAction.Grant a, GrantOutcome outcome) {
    c.onGrant(now(), a.entry(), outcome);
  }

  private void release(RangeCoordinator c, RangeAction.Release a) {
    world.release(this, a.entry(), done -> answered(() -> onRelease(c, a, done)));
  }

  private void onRelease(RangeCoordinator c, RangeAction.Release a, boolean done) {
    c.onRelease(now(), a.entry(), done, done ? "handover" : null);
  }

  /** Sends an order some time after its decision, if its coordinator may still order then. */
  private void send(RangeCoordinator c, Runnable work, Runnable notSent) {
    long jitter = sendJitter == 0 ? 0 : random.nextLong(sendJitter);
    onTimer(
        sendDelay + jitter,
        () -> {
          noticeStandstill(now());
          boolean mayOrder = coordinator == c && leadership.leads(now());
          (mayOrder ? work : notSent).run();
        });
  }

  private void answered(Runnable work) {
    time.schedule(answerDelay, () -> onAnswer(work));
  }

  private void write(RangeCoordinator c, RangeTable table) {
    Leadership.Lease lease = leadership.lease();
    if (lease == null) {
      return;
    }
    store.write(
        this,
        table,
        tableRevision,
        lease,
        written -> {
          switch (written.result()) {
            case DONE -> {
              tableRevision = written.revision();
              c.onWritten(table);
            }
            case REFUSED -> endTenure(c);
            case UNKNOWN -> resolve(c, table);
            default -> throw new IllegalArgumentException("unknown result: " + written);
          }
        });
  }

  private void resolve(RangeCoordinator c, RangeTable table) {
    if (coordinator != c) {
      return;
    }
    store.read(
        this,
        found -> {
          if (!found.known()) {
            resolve(c, table);
          } else if (found.table().version() == table.version()
              && found.table().entries().equals(table.entries())) {
            tableRevision = found.revision();
            c.onWritten(table);
          } else if (found.revision() == tableRevision) {
            c.onNotWritten();
          } else {
            endTenure(c);
          }
        });
  }

  private void endTenure(RangeCoordinator c) {
    if (coordinator == c) {
      coordinator = null;
    }
  }
}
