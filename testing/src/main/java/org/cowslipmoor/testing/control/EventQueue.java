package org.cowslipmoor.testing.control;

import java.util.PriorityQueue;

/**
 * Runs events in the order of their virtual time, which is in nanoseconds. Events of the same time
 * run in the order in which they were added. Not thread-safe.
 */
public final class EventQueue {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long lastSequence;
  private long eventsRun;

  private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(time, other.time);
      return byTime == 0 ? Long.compare(sequence, other.sequence) : byTime;
    }
  }

  /** Returns the present virtual time, in nanoseconds. */
  public long now() {
    return now;
  }

  /** Returns the number of events run so far. */
  public long eventsRun() {
    return eventsRun;
  }

  /** Schedules an action after a delay in nanoseconds; a negative delay counts as 0. */
  public void after(long delay, Runnable action) {
    lastSequence++;
    events.add(new Event(now + Math.max(0, delay), lastSequence, action));
  }

  /**
   * Runs the events up to a time, and a check after each.
   *
   * @param end the last time to run, in nanoseconds
   * @param check runs after each event
   */
  public void runUntil(long end, Runnable check) {
    while (true) {
      Event next = events.peek();
      if (next == null || next.time() > end) {
        break;
      }
      events.remove();
      now = next.time();
      next.action().run();
      eventsRun++;
      check.run();
    }
    now = Math.max(now, end);
  }
}
