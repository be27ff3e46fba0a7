package org.cowslipmoor.core.range;

import java.util.PriorityQueue;

/**
 * A clock and scheduler for tests. Time is in nanoseconds and passes only when a test advances it,
 * which runs the work that is due.
 */
public final class VirtualTime {
  public static final long NANOS_PER_MILLI = 1_000_000L;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now = 1;
  private long sequence;

  private record Event(long at, long sequence, Runnable work) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at == other.at ? Long.compare(sequence, other.sequence) : Long.compare(at, other.at);
    }
  }

  /** Returns the current time. */
  public long now() {
    return now;
  }

  /** Schedules work to run after a delay. */
  public void schedule(long delayNanos, Runnable work) {
    events.add(new Event(now + delayNanos, sequence++, work));
  }

  /** Advances the time, and runs the work that is due in it. */
  public void advance(long durationNanos) {
    long end = now + durationNanos;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.poll();
      now = event.at();
      event.work().run();
    }
    now = end;
  }
}
