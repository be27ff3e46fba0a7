package org.cowslipmoor.core.range;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipmoor.core.discovery.DiscoveredTarget;

/**
 * Assigns the key ranges of one service to its targets by measured load.
 *
 * <p>Handles skewed key distributions, hot keys that come and go, targets of unequal speed, and
 * targets that join without keys. Keys are moved only if a target's utilization is well above or
 * well below the mean, and no more of them than bring it back to the mean, which keeps the number
 * of moved keys near the minimum.
 */
final class RangePlanner {
  /** Ratio to the mean utilization above which keys are moved away from a target. */
  private static final double OVERLOAD_RATIO = 1.3;

  /** Ratio to the mean utilization below which keys are moved to a target. */
  private static final double UNDERLOAD_RATIO = 0.4;

  /** Maximum number of moves that one round starts. */
  private static final int MAX_MOVES_PER_ROUND = 32;

  /** Minimum share of a service's work that is worth a move. */
  private static final double MIN_MOVE_WEIGHT = 0.002;

  /** Factor by which a piece may exceed the wanted amount, to allow for rounding errors. */
  private static final double ROUNDING_TOLERANCE = 1.01;

  private final ImmutableList<DiscoveredTarget> targets;
  private final ServiceLoad load;
  private final double totalCapacity;

  /**
   * A transfer of a part of an entry's keys to another target.
   *
   * @param entry the entry that the piece is part of
   * @param piece the keys
   * @param to the target that is to own them
   */
  record Move(RangeEntry entry, KeyRange piece, DiscoveredTarget to) {

    /** Returns the parts of the entry that its owner keeps. */
    ImmutableList<RangeEntry> remainder() {
      ImmutableList.Builder<RangeEntry> parts = ImmutableList.builder();
      KeyRange all = entry.range();
      if (all.from() < piece.from()) {
        parts.add(entry.subrange(all.from(), piece.from() - 1));
      }
      if (piece.to() < all.to()) {
        parts.add(entry.subrange(piece.to() + 1, all.to()));
      }
      return parts.build();
    }
  }

  /**
   * Creates a planner.
   *
   * @param targets the targets that keys may be assigned to, at least one
   */
  RangePlanner(ImmutableList<DiscoveredTarget> targets, ServiceLoad load) {
    checkArgument(!targets.isEmpty(), "targets must not be empty");
    this.targets = targets;
    this.load = load;
    this.totalCapacity = targets.stream().mapToDouble(this::capacity).sum();
  }

  /** Divides all keys among the targets in proportion to their capacities. */
  ImmutableList<RangeEntry> initialAssignment(String service, long lastFence) {
    ImmutableList.Builder<RangeEntry> entries = ImmutableList.builder();
    int from = 0;
    for (int i = 0; i < targets.size(); i++) {
      DiscoveredTarget t = targets.get(i);
      int remaining = targets.size() - i - 1;
      KeyRange rest = new KeyRange(from, KeyRange.LAST_KEY);
      KeyRange share =
          remaining == 0 ? rest : load.longestPrefix(rest, capacity(t) / totalCapacity);
      // Each of the remaining targets gets at least one key.
      int to = Math.min(share.to(), KeyRange.LAST_KEY - remaining);
      entries.add(
          new RangeEntry(
              service,
              new KeyRange(from, to),
              t.incarnation(),
              t.address(),
              lastFence + i + 1,
              null));
      from = to + 1;
    }
    return entries.build();
  }

  /** Returns the target whose utilization is lowest with the given range added. */
  DiscoveredTarget newOwner(KeyRange range, List<RangeEntry> assigned) {
    Map<String, Double> loads = loads(assigned);
    double weight = load.weight(range);
    return targets.stream()
        .min(
            Comparator.comparingDouble(
                t -> (loads.getOrDefault(t.id(), 0.0) + weight) / capacity(t)))
        .orElseThrow();
  }

  /**
   * Returns the moves to start now, in the order in which they apply; empty if the load is balanced
   * well enough. A move may refer to an entry that is the remainder of an earlier move.
   *
   * @param assigned all entries of the service
   * @param fixed those entries that can't be split now
   */
  ImmutableList<Move> moves(List<RangeEntry> assigned, Set<RangeEntry> fixed) {
    final Map<String, Double> loads = loads(assigned);
    double mean = 1 / totalCapacity;
    ImmutableList.Builder<Move> moves = ImmutableList.builder();
    Set<String> exhausted = new HashSet<>();
    List<RangeEntry> movable = new ArrayList<>(assigned);
    movable.removeAll(fixed);
    for (int i = 0; i < MAX_MOVES_PER_ROUND; i++) {
      Optional<DiscoveredTarget> busiest =
          targets.stream()
              .filter(t -> !exhausted.contains(t.id()))
              .max(Comparator.comparingDouble(t -> utilization(t, loads)));
      DiscoveredTarget idlest =
          targets.stream()
              .min(Comparator.comparingDouble(t -> utilization(t, loads)))
              .orElseThrow();
      if (busiest.isEmpty() || busiest.get().equals(idlest)) {
        break;
      }
      DiscoveredTarget from = busiest.get();
      boolean needed =
          utilization(from, loads) > OVERLOAD_RATIO * mean
              || utilization(idlest, loads) < UNDERLOAD_RATIO * mean;
      double excess = loads.getOrDefault(from.id(), 0.0) - mean * capacity(from);
      double headroom = mean * capacity(idlest) - loads.getOrDefault(idlest.id(), 0.0);
      double amount = Math.min(excess, headroom);
      if (!needed || amount < MIN_MOVE_WEIGHT) {
        break;
      }
      Optional<Move> move = bestPiece(from, idlest, amount, movable, loads);
      if (move.isEmpty()) {
        exhausted.add(from.id());
        continue;
      }
      moves.add(move.get());
      movable.remove(move.get().entry());
      movable.addAll(move.get().remainder());
      double weight = load.weight(move.get().piece());
      loads.merge(from.id(), -weight, Double::sum);
      loads.merge(idlest.id(), weight, Double::sum);
    }
    return moves.build();
  }

  /**
   * Returns the move of the heaviest suitable piece at an edge of one of the target's entries. A
   * piece is suitable if it does not exceed the wanted amount or is a single busy key that is worth
   * moving.
   */
  private Optional<Move> bestPiece(
      DiscoveredTarget from,
      DiscoveredTarget to,
      double amount,
      List<RangeEntry> movable,
      Map<String, Double> loads) {
    List<Move> moves = new ArrayList<>();
    for (RangeEntry e : movable) {
      if (e.owner().equals(from.incarnation())) {
        moves.add(new Move(e, load.longestPrefix(e.range(), amount), to));
        moves.add(new Move(e, load.longestSuffix(e.range(), amount), to));
      }
    }
    return moves.stream()
        .filter(m -> weight(m) >= MIN_MOVE_WEIGHT)
        .filter(
            m -> weight(m) <= amount * ROUNDING_TOLERANCE || isBusyKeyWorthMoving(m, from, loads))
        .max(Comparator.comparingDouble(this::weight));
  }

  /**
   * Returns whether the piece is a single key, which can't be split, and its move leaves the new
   * owner less utilized than the former one.
   */
  private boolean isBusyKeyWorthMoving(Move m, DiscoveredTarget from, Map<String, Double> loads) {
    double formerOwnerLoad = loads.getOrDefault(from.id(), 0.0) - weight(m);
    double newOwnerLoad = loads.getOrDefault(m.to().id(), 0.0) + weight(m);
    return m.piece().size() == 1
        && newOwnerLoad / capacity(m.to()) < formerOwnerLoad / capacity(from);
  }

  private double weight(Move m) {
    return load.weight(m.piece());
  }

  private Map<String, Double> loads(List<RangeEntry> assigned) {
    Map<String, Double> loads = new HashMap<>();
    for (RangeEntry e : assigned) {
      loads.merge(e.owner().id(), load.weight(e.range()), Double::sum);
    }
    return loads;
  }

  private double utilization(DiscoveredTarget t, Map<String, Double> loads) {
    return loads.getOrDefault(t.id(), 0.0) / capacity(t);
  }

  private double capacity(DiscoveredTarget t) {
    return t.slots() * load.speed(t.id());
  }
}
