package org.cowslipmoor.core.range;

import java.util.PriorityQueue;

/** Time that passes only as far as a test lets it, in nanoseconds; work is done when it is due. */
public final class VirtualTime {
  public static final long MS = 1_000_000L;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now = 1;
  private long order;

  private record Event(long at, long order, Runnable work) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
    }
  }

  /** Returns the present time. */
  public long now() {
    return now;
  }

  /** Does work after a delay. */
  public void schedule(long delay, Runnable work) {
    events.add(new Event(now + delay, order++, work));
  }

  /** Lets time pass, and does what is due in it. */
  public void advance(long duration) {
    long end = now + duration;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.poll();
      now = event.at();
      event.work().run();
    }
    now = end;
  }
}
