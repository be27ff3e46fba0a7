package org.cowslipmoor.testing.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

/**
 * A process with its own clock that can be paused and resumed. Messages that arrive during a pause
 * are handled after it, as they are by a process that was suspended. Not thread-safe.
 */
abstract class FakeNode {
  /** Maximum relative deviation of a clock's rate from that of the virtual time. */
  private static final double MAX_DRIFT = 0.001;

  private static final long MAX_OFFSET_NANOS = 1_000_000_000_000L;

  final String id;
  private final long offsetNanos;
  private final double rate;
  private final Deque<Runnable> deferred = new ArrayDeque<>();
  private boolean up = true;
  private boolean paused;
  private int incarnation = 1;

  FakeNode(String id, RandomGenerator random) {
    this.id = id;
    this.offsetNanos = random.nextLong(-MAX_OFFSET_NANOS, MAX_OFFSET_NANOS);
    this.rate = 1 + random.nextDouble(-MAX_DRIFT, MAX_DRIFT);
  }

  /** Returns the time of the node's own monotonic clock, in nanoseconds. */
  final long clock(long virtualTime) {
    return offsetNanos + (long) (virtualTime * rate);
  }

  final boolean isUp() {
    return up;
  }

  final boolean isPaused() {
    return paused;
  }

  /**
   * Returns the number of the process's present incarnation. Responses to earlier incarnations are
   * dropped.
   */
  final int incarnation() {
    return incarnation;
  }

  /** Handles an arriving message now, or after the pause; a stopped process drops it. */
  final void handle(Runnable handler) {
    if (!up) {
      return;
    }
    if (paused) {
      deferred.add(handler);
    } else {
      handler.run();
    }
  }

  final void pause() {
    paused = true;
  }

  final void resume() {
    paused = false;
    while (!deferred.isEmpty() && up) {
      deferred.remove().run();
    }
  }

  final void stop() {
    up = false;
    paused = false;
    deferred.clear();
  }

  final void startNewIncarnation() {
    up = true;
    incarnation++;
  }
}
