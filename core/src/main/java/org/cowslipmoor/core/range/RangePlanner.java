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
 * Places the ranges of one service on its targets by measured load.
 *
 * <p>Answers skewed keys, hot keys that come and go, targets of unequal speed, and targets that
 * join empty. Keys move only where a target is well above the others or well below them, and no
 * more than brings it back to the mean, so that churn stays near the least possible.
 */
final class RangePlanner {
  /** Utilization, relative to the mean, above which a target gives keys away. */
  private static final double OVERLOADED = 1.3;

  /** Utilization, relative to the mean, below which a target is given keys. */
  private static final double UNDERLOADED = 0.4;

  /** Most pieces that start to move in one round. */
  private static final int MOVES_PER_ROUND = 32;

  /** Least part of a service's work that is worth a move. */
  private static final double LEAST_WEIGHT = 0.002;

  /** Excess over the wanted amount that is taken for an error of rounding. */
  private static final double ROUNDING = 1.01;

  private final ImmutableList<DiscoveredTarget> targets;
  private final ServiceLoad load;
  private final double totalCapacity;

  /**
   * A piece of a target's keys that is to move.
   *
   * @param entry the entry that the piece is part of
   * @param piece the keys
   * @param to where they go
   */
  record Move(RangeEntry entry, KeyRange piece, DiscoveredTarget to) {

    /** Returns what the owner keeps of the entry. */
    ImmutableList<RangeEntry> remainder() {
      ImmutableList.Builder<RangeEntry> parts = ImmutableList.builder();
      KeyRange all = entry.range();
      if (all.from() < piece.from()) {
        parts.add(entry.part(all.from(), piece.from() - 1));
      }
      if (piece.to() < all.to()) {
        parts.add(entry.part(piece.to() + 1, all.to()));
      }
      return parts.build();
    }
  }

  /**
   * Creates a planner.
   *
   * @param targets targets that may be given keys, at least one
   */
  RangePlanner(ImmutableList<DiscoveredTarget> targets, ServiceLoad load) {
    checkArgument(!targets.isEmpty(), "there are no targets");
    this.targets = targets;
    this.load = load;
    this.totalCapacity = targets.stream().mapToDouble(this::capacity).sum();
  }

  /** Divides all keys among the targets in proportion to what they can do. */
  ImmutableList<RangeEntry> initial(String service, long lastFence) {
    ImmutableList.Builder<RangeEntry> entries = ImmutableList.builder();
    int from = 0;
    for (int i = 0; i < targets.size(); i++) {
      DiscoveredTarget t = targets.get(i);
      int left = targets.size() - i - 1;
      KeyRange rest = new KeyRange(from, KeyRange.LAST_KEY);
      KeyRange share = left == 0 ? rest : load.head(rest, capacity(t) / totalCapacity);
      // Each of the later targets gets a key at least.
      int to = Math.min(share.to(), KeyRange.LAST_KEY - left);
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

  /** Returns the target that is used least once it has the given range as well. */
  DiscoveredTarget newOwner(KeyRange range, List<RangeEntry> placed) {
    Map<String, Double> loads = loads(placed);
    double weight = load.weight(range);
    return targets.stream()
        .min(
            Comparator.comparingDouble(
                t -> (loads.getOrDefault(t.id(), 0.0) + weight) / capacity(t)))
        .orElseThrow();
  }

  /**
   * Returns the pieces that should move now, in the order in which they are cut; empty when the
   * load is balanced well enough. A piece may be cut from what earlier pieces left of an entry.
   *
   * @param placed all entries of the service
   * @param fixed those that can't be cut now
   */
  ImmutableList<Move> moves(List<RangeEntry> placed, Set<RangeEntry> fixed) {
    final Map<String, Double> loads = loads(placed);
    double mean = 1 / totalCapacity;
    ImmutableList.Builder<Move> moves = ImmutableList.builder();
    Set<String> stuck = new HashSet<>();
    List<RangeEntry> movable = new ArrayList<>(placed);
    movable.removeAll(fixed);
    for (int i = 0; i < MOVES_PER_ROUND; i++) {
      Optional<DiscoveredTarget> busiest =
          targets.stream()
              .filter(t -> !stuck.contains(t.id()))
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
          utilization(from, loads) > OVERLOADED * mean
              || utilization(idlest, loads) < UNDERLOADED * mean;
      double excess = loads.getOrDefault(from.id(), 0.0) - mean * capacity(from);
      double room = mean * capacity(idlest) - loads.getOrDefault(idlest.id(), 0.0);
      double amount = Math.min(excess, room);
      if (!needed || amount < LEAST_WEIGHT) {
        break;
      }
      Optional<Move> move = bestPiece(from, idlest, amount, movable, loads);
      if (move.isEmpty()) {
        stuck.add(from.id());
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

  /** Returns the piece at an edge of the target's entries that comes nearest to the amount. */
  private Optional<Move> bestPiece(
      DiscoveredTarget from,
      DiscoveredTarget to,
      double amount,
      List<RangeEntry> movable,
      Map<String, Double> loads) {
    List<Move> moves = new ArrayList<>();
    for (RangeEntry e : movable) {
      if (e.owner().equals(from.incarnation())) {
        moves.add(new Move(e, load.head(e.range(), amount), to));
        moves.add(new Move(e, load.tail(e.range(), amount), to));
      }
    }
    return moves.stream()
        .filter(m -> weight(m) >= LEAST_WEIGHT)
        .filter(m -> weight(m) <= amount * ROUNDING || isBusyKeyWorthMoving(m, from, loads))
        .max(Comparator.comparingDouble(this::weight));
  }

  /** Tells whether a single key, which can't be cut, leaves its owner busier than its new one. */
  private boolean isBusyKeyWorthMoving(Move m, DiscoveredTarget from, Map<String, Double> loads) {
    double left = loads.getOrDefault(from.id(), 0.0) - weight(m);
    double there = loads.getOrDefault(m.to().id(), 0.0) + weight(m);
    return m.piece().size() == 1 && there / capacity(m.to()) < left / capacity(from);
  }

  private double weight(Move m) {
    return load.weight(m.piece());
  }

  private Map<String, Double> loads(List<RangeEntry> placed) {
    Map<String, Double> loads = new HashMap<>();
    for (RangeEntry e : placed) {
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
