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
 * A bounded priority queue of requests that wait for capacity. A request whose deadline can't be
 * met is rejected immediately. When the queue is full, a request displaces the newest of the least
 * urgent requests if that has a lower priority. Not thread-safe; times are nanoseconds.
 *
 * @param <T> type of the requests
 */
public final class AdmissionQueue<T> {
  /** Weight of the newest interval between departures in the exponential moving average. */
  private static final double SMOOTHING_FACTOR = 0.1;

  private final int capacity;
  private final Map<Priority, ArrayDeque<Entry<T>>> queues = new EnumMap<>(Priority.class);
  private int size;
  private double departureIntervalNanos;
  private long lastDepartureAt;
  private boolean hasDeparted;

  /**
   * A queued request.
   *
   * @param request the request
   * @param priority priority of the request
   * @param deadline time by which the response is due
   * @param <T> type of the requests
   */
  public record Entry<T>(T request, Priority priority, long deadline) {}

  /**
   * The result of {@link #offer}.
   *
   * @param accepted whether the request was queued
   * @param displaced request that was removed to make room, to be rejected as not run
   * @param <T> type of the requests
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
   * @param capacity maximum number of queued requests, at least 1
   * @throws IllegalArgumentException if the capacity is less than 1
   */
  public static <T> AdmissionQueue<T> create(int capacity) {
    checkArgument(capacity >= 1, "capacity must be at least 1, but is %s", capacity);
    return new AdmissionQueue<>(capacity);
  }

  /** Queues a request unless its deadline can't be met or the queue is full. */
  public Offer<T> offer(Entry<T> entry, long now) {
    if (now + expectedWaitNanos(entry.priority()) >= entry.deadline()) {
      return new Offer<>(false, Optional.empty());
    }
    Optional<T> displaced = Optional.empty();
    if (size >= capacity) {
      displaced = displaceLowerPriority(entry.priority());
      if (displaced.isEmpty()) {
        return new Offer<>(false, Optional.empty());
      }
    }
    queue(entry.priority()).addLast(entry);
    size++;
    return new Offer<>(true, displaced);
  }

  /** Removes and returns the next request; empty if none is queued. */
  public Optional<Entry<T>> poll(long now) {
    for (Priority p : Priority.values()) {
      Entry<T> entry = queue(p).pollFirst();
      if (entry != null) {
        size--;
        recordDeparture(now);
        return Optional.of(entry);
      }
    }
    return Optional.empty();
  }

  /** Removes and returns the requests whose deadline has passed, to be rejected as not run. */
  public List<T> expire(long now) {
    List<T> expired = new ArrayList<>();
    for (Priority p : Priority.values()) {
      Iterator<Entry<T>> all = queue(p).iterator();
      while (all.hasNext()) {
        Entry<T> entry = all.next();
        if (entry.deadline() - now <= 0) {
          all.remove();
          size--;
          expired.add(entry.request());
        }
      }
    }
    return expired;
  }

  /** Removes and returns all requests, in order, and resets the departure rate. */
  public List<T> clear() {
    List<T> all = new ArrayList<>();
    for (Priority p : Priority.values()) {
      queue(p).forEach(entry -> all.add(entry.request()));
      queue(p).clear();
    }
    size = 0;
    departureIntervalNanos = 0;
    hasDeparted = false;
    return all;
  }

  /** Returns the number of queued requests. */
  public int size() {
    return size;
  }

  /** Returns the estimated time in nanoseconds that a request of the given priority would wait. */
  public long expectedWaitNanos(Priority priority) {
    int ahead = 0;
    for (Priority p : Priority.values()) {
      if (p.compareTo(priority) <= 0) {
        ahead += queue(p).size();
      }
    }
    return (long) (ahead * departureIntervalNanos);
  }

  private Optional<T> displaceLowerPriority(Priority priority) {
    for (Priority p : Lists.reverse(List.of(Priority.values()))) {
      Entry<T> newest = p.compareTo(priority) > 0 ? queue(p).pollLast() : null;
      if (newest != null) {
        size--;
        return Optional.of(newest.request());
      }
    }
    return Optional.empty();
  }

  private void recordDeparture(long now) {
    if (hasDeparted && size > 0) {
      double intervalNanos = now - lastDepartureAt;
      departureIntervalNanos += SMOOTHING_FACTOR * (intervalNanos - departureIntervalNanos);
    }
    hasDeparted = true;
    lastDepartureAt = now;
  }

  private ArrayDeque<Entry<T>> queue(Priority p) {
    return queues.computeIfAbsent(p, unused -> new ArrayDeque<>());
  }
}
