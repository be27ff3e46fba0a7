package org.cowslipmoor.core.balance;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.random.RandomGenerator;

/**
 * Distributes requests over targets so that the expected response times of all targets that receive
 * any become equal, and chooses targets at random by these shares. Not thread-safe.
 *
 * <p>Answers the load of many hosts that each send few requests: they all see the same loads, late,
 * so that a target that looks idle would be chosen by all of them until the next report. Instead
 * each host distributes what all hosts together are expected to send meanwhile, and draws its own
 * request from that distribution. See M. Dahlin, "Interpreting Stale Load Information", 1999.
 */
public final class WaterFilling {
  /** Bisection steps, after which the level is accurate to less than a millionth. */
  private static final int STEPS = 30;

  /** Level from which on all room counts as used. */
  private static final double MAX_LEVEL_NANOS = 1e18;

  private final double[] loads;
  private final double[] rooms;
  private final double[] slots;
  private final double[] serviceNanos;
  private final double[] extraNanos;
  private double levelNanos;
  private double requests;
  private int size;

  private WaterFilling(int capacity) {
    this.loads = new double[capacity];
    this.rooms = new double[capacity];
    this.slots = new double[capacity];
    this.serviceNanos = new double[capacity];
    this.extraNanos = new double[capacity];
  }

  /**
   * Creates an instance without targets.
   *
   * @param capacity maximum number of targets, at least 1
   */
  public static WaterFilling create(int capacity) {
    checkArgument(capacity >= 1, "capacity must be at least 1, but is %s", capacity);
    return new WaterFilling(capacity);
  }

  /**
   * Adds a target.
   *
   * @param load requests expected to be in progress there without those to be distributed
   * @param room maximum number of requests to be distributed to it, at least 0
   * @param slotCount requests that it runs at the same time, at least 1
   * @param service its service time in nanoseconds, above 0
   * @param extra cost of choosing it besides its response time, in equivalent nanoseconds
   */
  public void add(double load, double room, int slotCount, double service, double extra) {
    checkArgument(room >= 0, "room must be at least 0, but is %s", room);
    checkArgument(slotCount >= 1, "slotCount must be at least 1, but is %s", slotCount);
    checkArgument(service > 0, "service must be above 0, but is %s", service);
    loads[size] = load;
    rooms[size] = room;
    slots[size] = slotCount;
    serviceNanos[size] = service;
    extraNanos[size] = extra;
    size++;
  }

  /** Distributes a number of requests, above 0; those beyond all room remain undistributed. */
  public void distribute(double requestCount) {
    checkArgument(requestCount > 0, "requestCount must be above 0, but is %s", requestCount);
    requests = requestCount;
    double low = 0;
    double high = 1;
    while (added(high) < requests && high < MAX_LEVEL_NANOS) {
      low = high;
      high *= 2;
    }
    for (int i = 0; i < STEPS; i++) {
      double middle = (low + high) / 2;
      if (added(middle) < requests) {
        low = middle;
      } else {
        high = middle;
      }
    }
    levelNanos = high;
  }

  /**
   * Returns the index of a target, chosen with the probability of its share of the requests; -1
   * with the probability that a request remains undistributed.
   */
  public int choose(RandomGenerator random) {
    double left = random.nextDouble() * Math.max(requests, added(levelNanos));
    int chosen = -1;
    for (int i = 0; i < size && left >= 0; i++) {
      double share = added(i, levelNanos);
      if (share > 0) {
        chosen = i;
        left -= share;
      }
    }
    return left < 0 ? chosen : -1;
  }

  /** Returns the expected number of requests at a target after the distribution. */
  public double load(int index) {
    return loads[index] + added(index, levelNanos);
  }

  private double added(double level) {
    double sum = 0;
    for (int i = 0; i < size; i++) {
      sum += added(i, level);
    }
    return sum;
  }

  private double added(int i, double level) {
    return Math.max(0, Math.min(rooms[i], loadAt(i, level) - loads[i]));
  }

  /**
   * Returns the number of requests at a target up to which the last of them is served at a level.
   * Response times are taken to grow with the square of the utilization by the requests before:
   * requests do not arrive evenly, so that some wait already while slots are free on average.
   */
  private double loadAt(int i, double level) {
    double utilizationSquared = (level - extraNanos[i]) / serviceNanos[i] - 1;
    return utilizationSquared < 0 ? 0 : 1 + slots[i] * Math.sqrt(utilizationSquared);
  }
}
