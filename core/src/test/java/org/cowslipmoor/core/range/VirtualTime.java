package org.cowslipmoor.core.range;

import java.util.PriorityQueue;

/** Time that passes only as far as a test lets it, in nanoseconds; work is done when it is due. */
final class VirtualTime {
  static final long MS = 1_000_000L;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now = 1;
  private long order;

  private record Event(long at, long order, Runnable work) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
    }
  }

  long now() {
    return now;
  }

  void after(long delay, Runnable work) {
    events.add(new Event(now + delay, order++, work));
  }

  void run(long duration) {
    long end = now + duration;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.poll();
      now = event.at();
      event.work().run();
    }
    now = end;
  }
}
