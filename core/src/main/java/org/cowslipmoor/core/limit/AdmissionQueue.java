package org.cowslipmoor.core.limit;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.Lists;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipmoor.core.configuration.Priority;

/**
 * Keeps requests that wait for capacity: bounded, urgent ones first, and refusing at once those
 * whose deadline can't be met. When it is full, a more urgent request takes the place of the newest
 * of the least urgent ones. Not thread-safe; times are nanoseconds.
 *
 * @param <T> what stands for a request
 */
public final class AdmissionQueue<T> {
  /** Weight of the newest interval between departures in the smoothed one. */
  private static final double NEW_SHARE = 0.1;

  private final int capacity;
  private final Map<Priority, ArrayDeque<Entry<T>>> queues = new EnumMap<>(Priority.class);
  private int size;
  private double departureInterval;
  private long lastDeparture;
  private boolean hasDeparted;

  /**
   * A request that waits.
   *
   * @param request the request
   * @param priority its rank
   * @param deadline time by which it must be answered
   * @param <T> what stands for a request
   */
  public record Entry<T>(T request, Priority priority, long deadline) {}

  /**
   * The outcome of an offer.
   *
   * @param accepted whether the request waits now
   * @param displaced request that had to give up its place, to be refused as not run
   * @param <T> what stands for a request
   */
  public record Offer<T>(boolean accepted, Optional<T> displaced) {}

  private AdmissionQueue(int capacity) {
    this.capacity = capacity;
    for (Priority p : Priority.values()) {
      queues.put(p, new ArrayDeque<>());
    }
  }

  /**
   * Creates an empty queue.
   *
   * @param capacity most requests that wait, at least 1
   * @throws IllegalArgumentException if the capacity is less than 1
   */
  public static <T> AdmissionQueue<T> create(int capacity) {
    checkArgument(capacity >= 1, "capacity must be at least 1, but is %s", capacity);
    return new AdmissionQueue<>(capacity);
  }

  /** Offers a request; it is refused when its deadline can't be met or there is no room. */
  public Offer<T> offer(Entry<T> w, long now) {
    if (now + expectedWait(w.priority()) >= w.deadline()) {
      return new Offer<>(false, Optional.empty());
    }
    Optional<T> displaced = Optional.empty();
    if (size >= capacity) {
      displaced = displaceLessUrgent(w.priority());
      if (displaced.isEmpty()) {
        return new Offer<>(false, Optional.empty());
      }
    }
    queue(w.priority()).addLast(w);
    size++;
    return new Offer<>(true, displaced);
  }

  /** Takes the request that is to go next; empty when none waits. */
  public Optional<Entry<T>> poll(long now) {
    for (Priority p : Priority.values()) {
      Entry<T> w = queue(p).pollFirst();
      if (w != null) {
        size--;
        noteDeparture(now);
        return Optional.of(w);
      }
    }
    return Optional.empty();
  }

  /** Removes and returns the requests whose deadline has passed, to be refused as not run. */
  public List<T> expire(long now) {
    List<T> expired = new ArrayList<>();
    for (Priority p : Priority.values()) {
      Iterator<Entry<T>> all = queue(p).iterator();
      while (all.hasNext()) {
        Entry<T> w = all.next();
        if (w.deadline() - now <= 0) {
          all.remove();
          size--;
          expired.add(w.request());
        }
      }
    }
    return expired;
  }

  /** Removes and returns all requests, in order, and forgets how fast they used to leave. */
  public List<T> clear() {
    List<T> all = new ArrayList<>();
    for (Priority p : Priority.values()) {
      queue(p).forEach(w -> all.add(w.request()));
      queue(p).clear();
    }
    size = 0;
    departureInterval = 0;
    hasDeparted = false;
    return all;
  }

  /** Returns the number of requests that wait. */
  public int size() {
    return size;
  }

  /** Estimates the nanoseconds that a request of the given rank would wait. */
  public long expectedWait(Priority priority) {
    int ahead = 0;
    for (Priority p : Priority.values()) {
      if (p.compareTo(priority) <= 0) {
        ahead += queue(p).size();
      }
    }
    return (long) (ahead * departureInterval);
  }

  private Optional<T> displaceLessUrgent(Priority priority) {
    for (Priority p : Lists.reverse(List.of(Priority.values()))) {
      Entry<T> newest = p.compareTo(priority) > 0 ? queue(p).pollLast() : null;
      if (newest != null) {
        size--;
        return Optional.of(newest.request());
      }
    }
    return Optional.empty();
  }

  private void noteDeparture(long now) {
    if (hasDeparted && size > 0) {
      double interval = now - lastDeparture;
      departureInterval += NEW_SHARE * (interval - departureInterval);
    }
    hasDeparted = true;
    lastDeparture = now;
  }

  private ArrayDeque<Entry<T>> queue(Priority p) {
    return queues.computeIfAbsent(p, unused -> new ArrayDeque<>());
  }
}
